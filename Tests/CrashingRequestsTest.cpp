// Requests that crash each backend server that runs them, resent by their callers.

#include "SidecarHarness.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace shallot {
namespace {

constexpr auto downtime = 300ms;      // Of a backend server that crashed
constexpr auto pauseOfCaller = 600ms; // Between two resends
constexpr auto timeToKnow = 3s;       // From the third crash on; then the whole fleet must refuse the request
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

TEST(SidecarPath, ARequestThatCrashesBackendServersStaysRefusedAfterAllDaemonsRestarted)
{
    constexpr size_t daemons = 4;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const HTTPRequest request { "POST", "/order/crash", {}, "crash" };
    crashOn(mesh, daemons, request.target);
    crashThree(mesh, daemons, request);
    mesh.runFor(timeToKnow);
    for (size_t i = 0; i < daemons; ++i)
        mesh.stop(i);
    for (size_t i = 0; i < daemons; ++i)
        mesh.start(i);
    ASSERT_TRUE(mesh.waitUntilServing());
    const auto before = mesh.executionCount(request.target);
    for (size_t i = 0; i < daemons; ++i) {
        const auto& exchange = mesh.wait(mesh.send(i, request));
        EXPECT_EQ(exchange.status(), 503);
        EXPECT_GT(std::stod(std::string(findHeader(exchange.response->headers, "Retry-After"))), 60);
    }
    EXPECT_EQ(mesh.executionCount(request.target), before);
}

// The culprit and a request that runs beside it each time; the latter is answered at other times.
TEST(SidecarPath, ARequestThatRanBesideTheCulpritOfThreeCrashesIsServed)
{
    constexpr size_t daemons = 4;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<RefPtr<StrictHTTPConnection>> open;
    bool holds = false;
    for (size_t i = 0; i < daemons; ++i) {
        auto& endpoint = mesh.endpoint(i);
        endpoint.setScript([&](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            if (request.target == "/order/crash")
                endpoint.crash(downtime);
            else if (request.target == "/order/beside" && holds)
                open.push_back(connection);
            else
                EndpointStandin::respond(*connection, request);
        });
    }
    const HTTPRequest beside { "POST", "/order/beside", {}, "innocent" };
    for (size_t round = 0; round < crashesBeforeRefusal + 1; ++round) {
        holds = true;
        std::vector<std::shared_ptr<SidecarHarness::Exchange>> running;
        for (size_t i = 0; i < daemons; ++i)
            running.push_back(mesh.send(i, beside));
        mesh.runUntil([&] { return open.size() >= daemons; });
        mesh.wait(mesh.send(round % daemons, { "POST", "/order/crash", {}, "crash" }));
        holds = false;
        open.clear();
        for (const auto& exchange : running)
            mesh.wait(exchange);
        mesh.runFor(pauseOfCaller);
        for (size_t i = 0; i < daemons; ++i)
            EXPECT_EQ(mesh.wait(mesh.send(i, beside)).status(), 200);
    }
    EXPECT_EQ(mesh.wait(mesh.send(0, { "POST", "/order/crash", {}, "crash" })).status(), 503);
    EXPECT_LE(mesh.executionCount("/order/crash"), crashesBeforeRefusal + 1);
}

// The crashed backend servers still accept connections, and the caller comes again before the next instance announces itself.
TEST(SidecarPath, ACrashIsFoundBeforeTheNextInstanceAnnouncesItself)
{
    constexpr size_t daemons = 6;
    constexpr auto longDowntime = 2s;
    constexpr size_t resends = 14;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha", "zone-b/alpha", "zone-c/alpha", "zone-c/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<TimePoint> crashes;
    for (size_t i = 0; i < daemons; ++i) {
        auto& endpoint = mesh.endpoint(i);
        endpoint.setScript([&](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            if (request.target == "/read/crash") {
                crashes.push_back(MonotonicClock::now());
                endpoint.crash(longDowntime, true);
            } else {
                EndpointStandin::respond(*connection, request);
            }
        });
    }
    Timer load;
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> bystanders;
    load.startRepeating(25ms, [&] {
        bystanders.push_back(
            mesh.send(bystanders.size() % daemons, { "GET", "/read/" + std::to_string(bystanders.size()), {}, {} }));
    });
    const HTTPRequest culprit { "GET", "/read/crash", {}, {} };
    for (size_t i = 0; i < resends; ++i) {
        mesh.send(i % daemons, culprit);
        mesh.runFor(700ms);
    }
    load.stop();
    mesh.runFor(1s);
    ASSERT_GE(crashes.size(), crashesBeforeRefusal);
    const auto late = std::count_if(
        crashes.begin(), crashes.end(), [&](TimePoint at) { return at > crashes[crashesBeforeRefusal - 1] + timeToKnow; });
    EXPECT_LE(late, static_cast<long>(arrivalsAllowed));
    EXPECT_LE(crashes.size(), 2 * crashesBeforeRefusal);
    const auto served
        = std::count_if(bystanders.begin(), bystanders.end(), [](const auto& exchange) { return exchange->status() == 200; });
    EXPECT_GE(static_cast<double>(served), 0.95 * static_cast<double>(bystanders.size()));
}

// All daemons receive the culprit at the same moment, and again once the backend servers have been back for a while.
TEST(SidecarPath, ARequestThatCrashedManyBackendServersAtOnceReachesFewFurtherOnes)
{
    constexpr size_t daemons = 6;
    constexpr size_t rounds = 3;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha", "zone-b/alpha", "zone-c/alpha", "zone-c/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const HTTPRequest culprit { "POST", "/order/crash", {}, "crash" };
    crashOn(mesh, daemons, culprit.target);
    size_t before = 0;
    for (size_t round = 0; round < rounds; ++round) {
        for (size_t i = 0; i < daemons; ++i)
            mesh.send(i, culprit);
        mesh.runFor(timeToKnow + pauseOfCaller);
        if (!round)
            before = mesh.executionCount(culprit.target);
    }
    ASSERT_GE(before, crashesBeforeRefusal);
    EXPECT_LE(mesh.executionCount(culprit.target) - before, arrivalsAllowed);
    for (size_t i = 0; i < daemons; ++i)
        EXPECT_EQ(mesh.fetch(i, "/read/other").status(), 200);
}

} // namespace
} // namespace shallot
