// Whose word a daemon takes for what runs at its backend server's address.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

constexpr uint64_t earlierStart = 1; // Before that of each stand-in

std::string_view callerServiceOf(EndpointStandin& endpoint)
{
    return findHeader(endpoint.requests().back().headers, platform::header::callerService);
}

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
