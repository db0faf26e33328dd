// A backend server that says in its responses that it leaves, before or without any announcement.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

constexpr auto drainTime = 2s; // After a response that said so was passed on

void sayLeaving(EndpointStandin& endpoint)
{
    endpoint.setScript([](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        const HTTPHeaders headers { { std::string(platform::header::attemptID),
                                        std::string(findHeader(request.headers, platform::header::attemptID)) },
            { std::string(platform::header::seal), "seal" }, { "Server-Leaving", "1" } };
        connection->respond({ 200, headers, "done" }, false, MonotonicClock::now());
    });
}

void fetchThroughAll(SidecarHarness& mesh, size_t daemons)
{
    for (size_t i = 0; i < 10 * daemons; ++i)
        EXPECT_EQ(mesh.fetch(i % daemons, "/read/1").status(), 200);
}

TEST(SidecarPath, ABackendServerThatSaysInAResponseThatItLeavesGetsNoNewRequests)
{
    constexpr size_t daemons = 3;
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    sayLeaving(mesh.endpoint(0));
    fetchThroughAll(mesh, daemons);
    mesh.runFor(drainTime);
    const auto before = mesh.endpoint(0).requests().size();
    fetchThroughAll(mesh, daemons);
    // Its announcements still say that it is ready.
    mesh.endpoint(0).announce();
    mesh.runFor(200ms);
    fetchThroughAll(mesh, daemons);
    EXPECT_EQ(mesh.endpoint(0).requests().size(), before);
    // The daemon beside it restarts; the health probe and the announcements do not tell of the leave.
    mesh.stop(0);
    mesh.start(0);
    mesh.runFor(1s);
    fetchThroughAll(mesh, daemons);
    EXPECT_EQ(mesh.endpoint(0).requests().size(), before);
}

} // namespace
} // namespace shallot
