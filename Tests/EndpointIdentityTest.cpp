// Whose word a daemon takes for what runs at its backend server's address.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

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

} // namespace
} // namespace shallot
