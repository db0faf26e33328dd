// Whose word a daemon takes for what runs at its backend server's address.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t laterStart = 900'000; // After that of each stand-in
constexpr uint64_t earlierStart = 1;     // Before that of each stand-in

std::string_view callerServiceOf(EndpointStandin& endpoint)
{
    return findHeader(endpoint.requests().back().headers, platform::header::callerService);
}

// The backend server stays available throughout, so only its service changes.
TEST(EndpointIdentity, ABackendServerThatIsReplacedByOneOfAnotherServiceServesThatService)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).replaceBy("beta");
    mesh.runFor(500ms);
    EXPECT_EQ(mesh.fetch(1, "/inner/1", "").status(), 200);
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
    EXPECT_EQ(callerServiceOf(mesh.endpoint(1)), "beta");
}

// After a restart the daemon knows no run yet, so a late announcement of an earlier one comes first.
TEST(EndpointIdentity, ALateAnnouncementAfterARestartDoesNotNameTheCallersService)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setAnnouncing(false);
    mesh.stop(0);
    mesh.start(0);
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/inner/1", "").status() == 200; }));
    mesh.endpoint(0).sendAnnouncement("earlier", mesh.endpoint(0).announcementOf("beta", earlierStart));
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.fetch(0, "/inner/2", "").status(), 200);
    EXPECT_EQ(callerServiceOf(mesh.endpoint(1)), "alpha");
}

// A foreign run that was announced first must not shut out the one that really runs there, whose start is earlier.
TEST(EndpointIdentity, TheRunningBackendServerIsUsedThoughAnotherOneWasAnnouncedFirst)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setAnnouncing(false);
    mesh.stop(0);
    mesh.start(0);
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/inner/1", "").status() == 200; }));
    mesh.endpoint(0).sendAnnouncement("foreign", mesh.endpoint(0).announcementOf("beta", laterStart));
    mesh.runFor(200ms);
    mesh.endpoint(0).setAnnouncing(true);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.fetch(1, "/read/1").status() == 200; }));
}

TEST(EndpointIdentity, AnAnnouncementOfAnotherRunDoesNotReplaceARunningBackendServer)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<RefPtr<StrictHTTPConnection>> open;
    mesh.endpoint(0).setScript([&open](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        if (request.target == "/order/running")
            open.push_back(connection);
        else
            EndpointStandin::respond(*connection, request);
    });
    const auto running = mesh.send(1, { "POST", "/order/running", {}, "tiles" });
    ASSERT_TRUE(mesh.runUntil([&] { return !open.empty(); }));
    for (const auto* service : { "alpha", "beta" }) {
        mesh.endpoint(0).sendAnnouncement("foreign", mesh.endpoint(0).announcementOf(service, laterStart));
        mesh.runFor(300ms);
        EXPECT_EQ(mesh.fetch(1, "/read/1").status(), 200);
        EXPECT_EQ(mesh.fetch(0, "/inner/1", "").status(), 200);
        EXPECT_EQ(callerServiceOf(mesh.endpoint(1)), "alpha");
    }
    EXPECT_FALSE(running->done);
    EXPECT_EQ(mesh.endpoint(0).disconnectCount(), 0U);
}

// Its runs began before its first announcement, since it has the name of the former run.
TEST(EndpointIdentity, TheFirstAnnouncementOfANextRunDoesNotBreakOffWhatItRuns)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    auto& endpoint = mesh.endpoint(0);
    endpoint.restartUnannounced();
    mesh.runFor(50ms);
    std::vector<std::pair<RefPtr<StrictHTTPConnection>, HTTPRequest>> held;
    endpoint.setScript([&held](const auto& connection, const HTTPRequest& request) { held.emplace_back(connection, request); });
    const auto running = mesh.send(1, { "POST", "/order/1", {}, "tiles" });
    ASSERT_TRUE(mesh.runUntil([&] { return !held.empty(); }));
    endpoint.announce();
    mesh.runFor(200ms);
    EXPECT_EQ(endpoint.disconnectCount(), 0U);
    EndpointStandin::respond(*held.front().first, held.front().second);
    EXPECT_EQ(mesh.wait(running).status(), 200);
}

// The leave comes before the first announcement after a restart of the daemon, and an earlier announcement after it.
TEST(EndpointIdentity, ALateAnnouncementDoesNotRevokeALeave)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setAnnouncing(false);
    mesh.stop(0);
    mesh.start(0);
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/read/1").status() == 200; }));
    mesh.endpoint(0).leave();
    mesh.runFor(300ms);
    mesh.endpoint(0).announce();
    mesh.runFor(300ms);
    const auto before = mesh.endpoint(0).requests().size();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(mesh.fetch(i % 2, "/read/2").status(), 200);
    EXPECT_EQ(mesh.endpoint(0).requests().size(), before);
}

// The store refuses the record of the leave, so a kill of the daemon would lose it.
TEST(EndpointIdentity, ALeaveThatIsNotStoredIsNotAcknowledged)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.store().setMode(StoreStandin::Mode::Refusing);
    mesh.endpoint(0).leave();
    mesh.runFor(1s);
    EXPECT_EQ(mesh.endpoint(0).lastNoticeStatus(), 503);
    const auto before = mesh.endpoint(0).requests().size();
    mesh.store().setMode(StoreStandin::Mode::Serving);
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.fetch(1, "/read/1").status() == 200; }));
    EXPECT_EQ(mesh.endpoint(0).requests().size(), before); // Though unacknowledged, it is in force
    mesh.runFor(1s);
    mesh.endpoint(0).sendLeave({});
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.endpoint(0).lastNoticeStatus() == 200; }));
}

// A leave of the former run, which had the same name, arrives after the next run has announced itself.
TEST(EndpointIdentity, ALateLeaveDoesNotRemoveTheNextRunOfTheSameName)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).sendLeave(R"({"born":)" + std::to_string(earlierStart) + "}");
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
}

} // namespace
} // namespace shallot
