// Requests that crash each backend server that runs them, resent by their callers.

#include "SidecarHarness.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace shallot {
namespace {

constexpr auto downtime = 300ms;          // Of a backend server that crashed
constexpr auto pauseOfCaller = 600ms;     // Between two resends
constexpr auto timeToKnow = 3s;           // From the third crash on; then the whole fleet must refuse the request
constexpr size_t crashesBeforeRefusal = 3;
constexpr size_t arrivalsAllowed = 3; // After that time

void crashOn(SidecarHarness& mesh, size_t daemons, const std::string& target)
{
    for (size_t i = 0; i < daemons; ++i) {
        auto& endpoint = mesh.endpoint(i);
        endpoint.setScript([&endpoint, target](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            if (request.target == target)
                endpoint.crash(downtime);
            else
                EndpointStandin::respond(*connection, request);
        });
    }
}

// Resends the request through one daemon after the other until three backend servers have crashed.
void crashThree(SidecarHarness& mesh, size_t daemons, const HTTPRequest& request)
{
    for (size_t i = 0; i < 3 * crashesBeforeRefusal && mesh.executionCount(request.target) < crashesBeforeRefusal; ++i) {
        mesh.wait(mesh.send(i % daemons, request));
        mesh.runFor(pauseOfCaller);
    }
}

void resend(SidecarHarness& mesh, size_t daemons, const HTTPRequest& request, size_t times)
{
    for (size_t i = 0; i < times; ++i) {
        mesh.wait(mesh.send(i % daemons, request));
        mesh.runFor(pauseOfCaller);
    }
}

class CrashingRequests : public testing::TestWithParam<const char*> { };

TEST_P(CrashingRequests, ARequestThatCrashedThreeBackendServersReachesNoFurtherOnes)
{
    constexpr size_t daemons = 6;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha", "zone-b/alpha", "zone-c/alpha", "zone-c/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const HTTPRequest request { "POST", GetParam(), {}, "crash" };
    crashOn(mesh, daemons, request.target);
    crashThree(mesh, daemons, request);
    ASSERT_GE(mesh.executionCount(request.target), crashesBeforeRefusal);
    mesh.runFor(timeToKnow);
    const auto before = mesh.executionCount(request.target);
    resend(mesh, daemons, request, 2 * daemons);
    EXPECT_LE(mesh.executionCount(request.target) - before, arrivalsAllowed);
    for (size_t i = 0; i < daemons; ++i)
        EXPECT_EQ(mesh.fetch(i, "/read/other").status(), 200);
}

INSTANTIATE_TEST_SUITE_P(SidecarPath, CrashingRequests, testing::Values("/read/crash", "/order/crash"),
    [](const auto& info) { return std::string(info.param).starts_with("/read") ? "Idempotent" : "NonIdempotent"; });

} // namespace
} // namespace shallot
