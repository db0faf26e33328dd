// A store that comes back from an earlier copy of itself, without what it had acknowledged since.

#include "SidecarHarness.h"
#include "TestPorts.h"
#include "mesh/MeshSettings.h"
#include "sidecar/FollowSettings.h"
#include "sidecar/StoreFollower.h"

#include <algorithm>
#include <glib.h>
#include <gtest/gtest.h>

namespace shallot {
namespace {

constexpr auto timeToRepair = 4s;           // Of the member list: the store's return is noticed, read, and written to again
constexpr auto configurationTimeLimit = 2s; // In which a change must be in force

TEST(RestoredStore, AChangeAtAnOffsetThatWasReadBeforeIsRead)
{
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    StoreStandin store(address);
    platform::StoreClient client(address);
    std::string newest;
    StoreFollower follower(client, followConfiguration({}), [&newest](const FollowerUpdate& read, std::optional<TimePoint>) {
        for (const auto& record : read.records)
            newest = record.value;
    });
    const auto runUntilRead = [&newest](const std::string& value) {
        const auto end = MonotonicClock::now() + configurationTimeLimit;
        Timer wake;
        wake.startRepeating(10ms, [] {});
        while (newest != value && MonotonicClock::now() < end)
            g_main_context_iteration(nullptr, TRUE);
        return newest == value;
    };
    store.put("keyed.op", "config", "first");
    follower.start();
    ASSERT_TRUE(runUntilRead("first"));
    const auto copy = store.copy();
    for (const auto* value : { "second", "third" }) {
        store.put("keyed.op", "config", value);
        ASSERT_TRUE(runUntilRead(value));
    }
    // The operator writes the newest version again and then a new one: the store ends where it ended before.
    store.restore(*copy);
    store.put("keyed.op", "config", "third");
    store.put("keyed.op", "config", "fourth");
    EXPECT_TRUE(runUntilRead("fourth"));
    store.put("keyed.op", "config", "fifth");
    EXPECT_TRUE(runUntilRead("fifth"));
}

TEST(RestoredStore, AnAcknowledgedLeaveIsStoredAgainAndSurvivesARestartOfAllDaemons)
{
    constexpr size_t daemons = 3;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const auto copy = mesh.store().copy();
    for (size_t i = 0; i < 2; ++i) {
        mesh.endpoint(i).setAnnouncing(false);
        mesh.endpoint(i).leave();
    }
    const auto storedLeaves = [&mesh] {
        const auto members = mesh.store().newest("keyed.members");
        return std::count_if(members.begin(), members.end(),
            [](const auto& item) { return item.second.find("left_instance") != std::string::npos; });
    };
    ASSERT_TRUE(mesh.runUntil([&storedLeaves] { return storedLeaves() == 2; }));
    mesh.runFor(100ms);
    mesh.store().restore(*copy);
    mesh.runFor(timeToRepair);
    for (size_t i = 0; i < daemons; ++i)
        mesh.stop(i);
    for (size_t i = 0; i < daemons; ++i)
        mesh.start(i);
    const auto before = mesh.endpoint(0).requests().size() + mesh.endpoint(1).requests().size();
    ASSERT_TRUE(mesh.waitUntilServing());
    for (size_t i = 0; i < 2; ++i)
        mesh.endpoint(i).announce();
    mesh.runFor(1s);
    for (size_t i = 0; i < 10 * daemons; ++i)
        EXPECT_EQ(mesh.fetch(i % daemons, "/read/" + std::to_string(i)).status(), 200);
    EXPECT_EQ(mesh.endpoint(0).requests().size() + mesh.endpoint(1).requests().size(), before);
}

TEST(RestoredStore, DaemonsThatJoinedSinceTheCopyAreListedAgain)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/beta", "zone-b/beta" }, { 2 });
    ASSERT_TRUE(mesh.runUntil([&mesh] { return mesh.readiness(0) == 200 && mesh.readiness(1) == 200; }));
    const auto copy = mesh.store().copy();
    mesh.start(2);
    ASSERT_TRUE(mesh.runUntil([&mesh] { return mesh.readiness(2) == 200; }));
    mesh.store().restore(*copy);
    mesh.runFor(timeToRepair);
    EXPECT_EQ(mesh.store().newest("keyed.members").size(), 3U);
}

TEST(RestoredStore, IsNotReadInALoop)
{
    constexpr size_t daemons = 3;
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.runFor(1s);
    const auto copy = mesh.store().copy();
    mesh.endpoint(0).setAnnouncing(false);
    mesh.endpoint(0).leave();
    mesh.runFor(1s);
    mesh.store().restore(*copy);
    const auto before = mesh.store().callCount();
    mesh.runFor(timeToRepair);
    // As in calm: a held read of the configuration each 0.7 s for each zone, and a few reads and writes for each daemon.
    EXPECT_LE(mesh.store().callCount() - before, 2 * 6 + 8 * daemons);
}

} // namespace
} // namespace shallot
