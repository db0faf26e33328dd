// Evacuation of a zone, over real sockets: a daemon that never heard of it, or forgot it, sends requests to backend servers that
// the operators want to be left alone.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

const std::string topic(platform::store::operatorTopic);

// One backend server of the service in each zone, and two daemons without one of it.
class Evacuation : public testing::Test {
protected:
    Evacuation()
        : mesh({ "zone-a/alpha", "zone-b/alpha", "zone-a/beta", "zone-b/beta" })
    {
    }

    void SetUp() override { ASSERT_TRUE(mesh.waitUntilServing()); }

    void evacuate(const std::string& zone, const std::string& value = "{}")
    {
        mesh.store().put(topic, "evacuate/" + zone, value);
    }

    // Whether the daemons have learned of a change; a request to each of them shows it.
    bool isServedBy(size_t daemon, size_t endpoint)
    {
        const auto before = mesh.endpoint(endpoint).requests().size();
        return mesh.fetch(daemon, "/read/1").status() == 200 && mesh.endpoint(endpoint).requests().size() > before;
    }

    SidecarHarness mesh;
};

TEST_F(Evacuation, NoDaemonSendsToTheZoneUntilItIsRevoked)
{
    ASSERT_TRUE(isServedBy(2, 0)) << "the own zone comes first";
    evacuate("zone-a");
    for (const size_t daemon : { 0U, 2U, 3U })
        ASSERT_TRUE(mesh.runUntil([&] { return isServedBy(daemon, 1); })) << daemon;
    const auto atEvacuated = mesh.endpoint(0).requests().size();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(mesh.fetch(static_cast<size_t>(i % 4), "/read/1").status(), 200);
    EXPECT_EQ(mesh.endpoint(0).requests().size(), atEvacuated);
    evacuate("zone-a", "");
    EXPECT_TRUE(mesh.runUntil([&] { return isServedBy(2, 0); }));
}

// A daemon that restarts while the store is down must not forget what its peers know.
TEST_F(Evacuation, ARestartWithoutTheStoreKeepsIt)
{
    evacuate("zone-a");
    ASSERT_TRUE(mesh.runUntil([&] { return isServedBy(2, 1) && isServedBy(3, 1); }));
    const auto atEvacuated = mesh.endpoint(0).requests().size();
    mesh.store().setMode(StoreStandin::Mode::Refusing);
    mesh.stop(0);
    mesh.start(0);
    for (int i = 0; i < 10; ++i) {
        mesh.fetch(0, "/read/1");
        mesh.runFor(20ms);
    }
    EXPECT_EQ(mesh.endpoint(0).requests().size(), atEvacuated);
}

TEST_F(Evacuation, WithAllZonesEvacuatedRequestsAreRefusedAsNotRun)
{
    evacuate("zone-a");
    evacuate("zone-b");
    evacuate("zone-of-nobody");
    ASSERT_TRUE(
        mesh.runUntil([&] { return mesh.fetch(3, "/read/1").status() == 503 && mesh.fetch(2, "/read/1").status() == 503; }));
    const auto runs = mesh.endpoint(0).requests().size() + mesh.endpoint(1).requests().size();
    for (size_t daemon = 0; daemon < 4; ++daemon)
        EXPECT_EQ(mesh.wait(mesh.send(daemon, { "POST", "/order/1", {}, "tiles" })).status(), 503) << daemon;
    EXPECT_EQ(mesh.endpoint(0).requests().size() + mesh.endpoint(1).requests().size(), runs);
    evacuate("zone-b", "");
    EXPECT_TRUE(mesh.runUntil([&] { return isServedBy(2, 1); }));
}

TEST_F(Evacuation, AnUnreadableRecordChangesNothing)
{
    evacuate("zone-a");
    ASSERT_TRUE(mesh.runUntil([&] { return isServedBy(2, 1); }));
    evacuate("zone-a", "[]");
    evacuate("zone-b", "7");
    mesh.writeConfiguration(2);
    mesh.runFor(1s);
    EXPECT_TRUE(isServedBy(2, 1));
}

} // namespace
} // namespace shallot
