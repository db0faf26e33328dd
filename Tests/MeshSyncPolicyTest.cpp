// Synchronisation of configuration and member list, without a network: the member list by itself, and 95 daemons in five zones
// that start at once, lose store readers, are isolated, killed and replaced, while messages and store calls have random
// delays.

#include "mesh/MeshSyncPolicy.h"
#include "core/Digest.h"
#include "mesh/ConfigurationFreshness.h"
#include "mesh/MemberList.h"
#include "mesh/MeshSettings.h"
#include "mesh/RemoteEndpoints.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace shallot {
namespace {

constexpr TimePoint start { 1000s };

MeshMember memberNumber(size_t i)
{
    return { "m" + std::to_string(i), "z", "1.1.1.1:1", "s" };
}

MemberListState stateAt(uint64_t offset, uint64_t digest = 0)
{
    return { true, offset, digest };
}

TEST(MemberList, SendsTheRecordsSinceAnOffsetOrASnapshot)
{
    MemberList list;
    EXPECT_FALSE(list.updateFor({}).state.isKnown);
    list.applySnapshot(40, { memberNumber(0) });
    EXPECT_TRUE(list.updateFor(stateAt(40)).members.empty());
    EXPECT_TRUE(list.updateFor(stateAt(41)).members.empty()); // The requester is ahead
    EXPECT_TRUE(list.updateFor(stateAt(39)).isSnapshot);      // The records in between are not known here
    EXPECT_TRUE(list.updateFor({}).isSnapshot);
    list.applyRecords(40, 42, { memberNumber(1), memberNumber(2) });
    list.applyRecords(42, 43, { memberNumber(3) });
    EXPECT_EQ(list.updateFor(stateAt(40)).members.size(), 3U);
    EXPECT_FALSE(list.updateFor(stateAt(40)).isSnapshot);
    ASSERT_EQ(list.updateFor(stateAt(42)).members.size(), 1U);
    EXPECT_EQ(list.updateFor(stateAt(42)).members.front().name, "m3");
    list.applyRecords(40, 42, { memberNumber(1) }); // An old read that completes late
    EXPECT_EQ(list.updateFor(stateAt(40)).members.size(), 3U);
    list.applyRecords(50, 51, { memberNumber(9) }); // Records in between are missing
    EXPECT_EQ(list.state().offset, 43U);
    list.applySnapshot(51, { memberNumber(0), memberNumber(9) }); // The log's history was dropped in between
    EXPECT_TRUE(list.updateFor(stateAt(43)).isSnapshot);
    EXPECT_EQ(list.updateFor(stateAt(43)).members.size(), 2U);
    for (uint64_t i = 51; i < 6000; ++i)
        list.applyRecords(i, i + 1, { memberNumber(1) });
    EXPECT_TRUE(list.updateFor(stateAt(51)).isSnapshot); // The history is bounded
    EXPECT_EQ(list.updateFor(stateAt(5990)).members.size(), 10U);
}

TEST(MemberList, AnEmptyListIsKnownAndTakesUpdates)
{
    MemberList reader;
    MemberList follower;
    reader.applySnapshot(0, {});
    follower.applySnapshot(0, {});
    reader.applyRecords(0, 2, { memberNumber(1), memberNumber(2) });
    EXPECT_EQ(follower.applyUpdate(reader.updateFor(follower.state())), MemberList::UpdateResult::Consistent);
    EXPECT_EQ(follower.size(), 2U);
}

TEST(MemberList, DigestsDoNotDependOnTheOrderAndShowAMissingMember)
{
    MemberList one;
    MemberList two;
    one.applySnapshot(3, { memberNumber(1), memberNumber(2), memberNumber(3) });
    two.applySnapshot(0, {});
    two.applyRecords(0, 1, { memberNumber(3) });
    two.applyRecords(1, 3, { memberNumber(2), memberNumber(1) });
    EXPECT_EQ(one.state().digest, two.state().digest);
    EXPECT_EQ(one.applyUpdate(two.updateFor(stateAt(0))), MemberList::UpdateResult::Consistent);
    MemberList partial;
    partial.applySnapshot(3, { memberNumber(1), memberNumber(2) });
    EXPECT_EQ(partial.applyUpdate(one.updateFor(partial.state())), MemberList::UpdateResult::Diverged);
    EXPECT_TRUE(one.differsFrom(partial.state()));
    // A member whose address changed is listed once.
    auto moved = memberNumber(1);
    moved.address = "2.2.2.2:2";
    one.applyRecords(3, 4, { moved });
    EXPECT_EQ(one.size(), 3U);
    partial.applySnapshot(4, { memberNumber(3), memberNumber(2), moved });
    EXPECT_EQ(one.state().digest, partial.state().digest);
}

TEST(MemberList, AGapIsNotTakenForAnUpdate)
{
    MemberList list;
    list.applySnapshot(5, { memberNumber(1) });
    EXPECT_EQ(list.applyUpdate({ stateAt(9, 7), false, 8, { memberNumber(2) } }), MemberList::UpdateResult::Gap);
    EXPECT_EQ(list.state().offset, 5U);
    EXPECT_EQ(list.applyUpdate({ {}, false, 0, {} }),
        MemberList::UpdateResult::Consistent); // A peer without a list, or with an older version
    MemberList unknown;
    EXPECT_EQ(unknown.applyUpdate({ stateAt(9, 7), false, 8, { memberNumber(2) } }), MemberList::UpdateResult::Gap);
    EXPECT_FALSE(unknown.state().isKnown);
}

TEST(MemberList, StartsAgainInALaterEraOfTheStore)
{
    MemberList reader;
    MemberList follower;
    reader.applySnapshot(7, { memberNumber(1), memberNumber(2) }, 1);
    follower.applySnapshot(7, { memberNumber(1), memberNumber(2) }, 1);
    reader.applySnapshot(4, { memberNumber(1) }, 2); // The copy is older
    EXPECT_EQ(reader.state().offset, 4U);
    EXPECT_EQ(follower.updateFor(reader.state()).members.size(), 0U);
    EXPECT_EQ(reader.applyUpdate(follower.updateFor({})), MemberList::UpdateResult::Consistent); // Of the earlier era
    EXPECT_EQ(reader.state().offset, 4U);
    follower.applyRecords(7, 8, { memberNumber(3) }, 2); // Its offsets count in the later era
    EXPECT_EQ(follower.state().offset, 7U);
    const auto update = reader.updateFor(follower.state());
    ASSERT_TRUE(update.isSnapshot);
    EXPECT_EQ(follower.applyUpdate(update), MemberList::UpdateResult::Consistent);
    EXPECT_EQ(follower.state().digest, reader.state().digest);
    EXPECT_EQ(follower.state().era, 2U);
    follower.applySnapshot(9, { memberNumber(1), memberNumber(2), memberNumber(3) }, 1); // A late read of the earlier era
    EXPECT_EQ(follower.state().offset, 4U);
    EXPECT_EQ(follower.applyUpdate({ { true, 3, 0, 3 }, false, 2, { memberNumber(2) } }), MemberList::UpdateResult::Gap);
}

// The store's member list and configuration version.
struct ModelStore {
    std::vector<MeshMember> records;
    uint64_t version { 1 };
    size_t calls { 0 };
    bool isDown { false };
};

// Daemons with their sync policy, their links to each other and their store reads, in simulated time.
class SyncFleet {
public:
    SyncFleet(size_t members, size_t zones, unsigned seed)
        : m_random(seed)
        , m_zones(zones)
    {
        for (size_t i = 0; i < members; ++i)
            add(start + randomDuration(0ms, 300ms));
    }

    void add(TimePoint startAt)
    {
        const auto index = m_daemons.size();
        const MeshMember own { "member-" + std::to_string(index), "zone-" + std::to_string(index % m_zones),
            "10.0.0.1:" + std::to_string(index), "s" };
        m_daemons.push_back(std::make_unique<Daemon>());
        m_daemons.back()->own = own;
        at(startAt, [this, index] { boot(index); });
    }

    void kill(size_t index) { ++m_daemons[index]->incarnation, m_daemons[index]->isUp = false; }
    void restart(size_t index, TimePoint when)
    {
        at(when, [this, index] { boot(index); });
    }
    // Isolates a zone from the other zones and from the store.
    void isolateZone(size_t zone) { m_isolatedZone = "zone-" + std::to_string(zone); }
    void healPartition() { m_isolatedZone.clear(); }
    ModelStore& store() { return m_store; }
    void publish(const MeshMember& member)
    {
        m_store.records.push_back(member);
        wakeHeldReads();
    }
    // Removes one member from a daemon's list without a change of its offset.
    void dropMember(size_t index)
    {
        auto& list = m_daemons[index]->sync->members();
        std::vector<MeshMember> remaining(m_store.records.begin() + 1, m_store.records.end());
        list.applySnapshot(list.state().offset, remaining);
    }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_now = end;
    }

    // Runs until all running daemons agree with the store. Returns the time it took; nothing if it exceeded the limit.
    std::optional<Duration> timeUntilConverged(Duration limit)
    {
        const auto begin = m_now;
        while (!hasConverged()) {
            if (m_now - begin > limit)
                return std::nullopt;
            runUntil(m_now + 10ms);
        }
        return m_now - begin;
    }

    bool hasConverged() const
    {
        MemberList expected;
        expected.applySnapshot(m_store.records.size(), m_store.records);
        for (const auto& daemon : m_daemons) {
            if (!daemon->isUp)
                continue;
            const auto& state = daemon->sync->members().state();
            if (!state.isKnown || state.offset != expected.state().offset || state.digest != expected.state().digest
                || daemon->version != m_store.version || m_now - daemon->freshness.confirmedAt > settings.keyStaleness)
                return false;
            if (daemon->endpoints->all().size() < expected.size())
                return false;
        }
        return true;
    }

    // Store readers by zone, as chosen by the daemons of the zone, which must agree on one.
    std::map<std::string, std::set<std::string>> readers() const
    {
        std::map<std::string, std::set<std::string>> named;
        for (const auto& daemon : m_daemons) {
            if (!daemon->isUp)
                continue;
            for (const auto* reader : daemon->endpoints->readersOf(daemon->own.zone, 1, m_now))
                named[daemon->own.zone].insert(reader->member.name);
        }
        return named;
    }

    // The owners of one ledger from the view of each daemon.
    std::set<std::string> ledgerOwners(size_t ledger) const
    {
        std::set<std::string> named;
        for (const auto& daemon : m_daemons) {
            const auto* owner = daemon->endpoints->ledgerOwner(ledger);
            if (daemon->isUp)
                named.insert(owner ? owner->member.name : "");
        }
        return named;
    }

    size_t size() const { return m_daemons.size(); }
    const std::string& nameOf(size_t index) const { return m_daemons[index]->own.name; }
    size_t indexOf(const std::string& name) const
    {
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i]->own.name == name)
                return i;
        }
        return m_daemons.size();
    }
    TimePoint now() const { return m_now; }

    MeshSettings settings;

private:
    struct Daemon {
        MeshMember own;
        std::unique_ptr<RemoteEndpoints> endpoints;
        ConfigurationFreshness freshness;
        std::unique_ptr<MeshSyncPolicy> sync;
        uint64_t version { 0 };
        uint64_t incarnation { 0 }; // Counts starts and kills; events for an earlier incarnation are dropped
        bool isUp { false };
        bool follows { false };
        bool readsConfiguration { false };
        bool readsMembers { false };
        bool isAnnounced { false };
    };

    struct Event {
        TimePoint at {};
        uint64_t order { 0 };
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    void at(TimePoint when, std::function<void()> run) { m_events.push({ std::max(when, m_now), m_order++, std::move(run) }); }
    Duration randomDuration(Duration from, Duration to)
    {
        return Duration(std::uniform_int_distribution<int64_t>(from.count(), to.count())(m_random));
    }
    // Runs only if the daemon is still in the same incarnation.
    void later(size_t index, Duration delay, std::function<void()> run)
    {
        at(m_now + delay, [this, index, incarnation = m_daemons[index]->incarnation, run = std::move(run)] {
            if (m_daemons[index]->isUp && m_daemons[index]->incarnation == incarnation)
                run();
        });
    }

    bool isIsolated(const Daemon& daemon) const { return !m_isolatedZone.empty() && daemon.own.zone == m_isolatedZone; }
    bool reachesStore(const Daemon& daemon) const { return !m_store.isDown && !isIsolated(daemon); }

    void boot(size_t index)
    {
        auto& daemon = *m_daemons[index];
        const auto own = daemon.own;
        const auto incarnation = daemon.incarnation + 1;
        daemon = Daemon {};
        daemon.own = own;
        daemon.incarnation = incarnation;
        daemon.isUp = true;
        daemon.endpoints = std::make_unique<RemoteEndpoints>(settings, own.zone);
        daemon.endpoints->update(own);
        daemon.sync = std::make_unique<MeshSyncPolicy>(settings, *daemon.endpoints, daemon.freshness, own);
        daemon.follows = true;
        readMembers(index, true);
        readConfiguration(index, false);
        later(index, randomDuration(0ms, 250ms), [this, index] { tick(index); });
    }

    void tick(size_t index)
    {
        auto& daemon = *m_daemons[index];
        const auto actions = daemon.sync->planSync(m_now);
        const bool resumes = actions.followsStore && !daemon.follows;
        daemon.follows = actions.followsStore;
        if (actions.readsConfiguration || resumes)
            readConfiguration(index, false);
        if (resumes)
            readMembers(index, false);
        for (const auto& name : actions.syncTargets) {
            if (const auto to = indexOf(name); to < m_daemons.size())
                requestSync(index, to);
            else
                reportUnreachable(index, name);
        }
        later(index, 250ms, [this, index] { tick(index); });
    }

    void reportUnreachable(size_t from, const std::string& name)
    {
        later(from, 600ms,
            [this, from, name, since = m_now] { m_daemons[from]->endpoints->recordUnreachable(name, since, m_now); });
    }

    // Delivers to the other daemon, or reports it as unreachable to the sender if it is down or isolated.
    void send(size_t from, size_t to, std::function<void()> deliver)
    {
        auto& sender = *m_daemons[from];
        auto& receiver = *m_daemons[to];
        const bool isPartitioned = isIsolated(sender) != isIsolated(receiver);
        if (!receiver.isUp || isPartitioned) {
            reportUnreachable(from, receiver.own.name);
            return;
        }
        const bool sameZone = sender.own.zone == receiver.own.zone;
        later(to, sameZone ? randomDuration(200us, 2ms) : randomDuration(900us, 8ms),
            [this, from, to, deliver = std::move(deliver)] {
                // A frame makes both ends of the link known to each other.
                for (const auto& [here, there] : { std::pair(from, to), std::pair(to, from) }) {
                    auto& endpoints = *m_daemons[here]->endpoints;
                    endpoints.update(m_daemons[there]->own);
                    endpoints.recordReachable(m_daemons[there]->own.name, m_now);
                }
                deliver();
            });
    }

    void requestSync(size_t from, size_t to)
    {
        auto& daemon = *m_daemons[from];
        const auto number = daemon.sync->recordSyncRequest(m_daemons[to]->own.name, m_now);
        const auto state = daemon.sync->members().state();
        send(from, to, [this, from, to, number, state] {
            auto& responder = *m_daemons[to];
            const auto update = responder.sync->members().updateFor(state);
            repair(to, responder.sync->compareMemberLists(state, m_now));
            const auto age = std::min<Duration>(1h, m_now - responder.freshness.confirmedAt);
            send(to, from, [this, from, to, number, update, age, version = responder.version] {
                auto& requester = *m_daemons[from];
                requester.version = std::max(requester.version, version);
                const auto repairNeeded = requester.sync->applyMemberUpdate(update, m_now);
                learnMembers(from, update.members);
                repair(from, repairNeeded);
                requester.sync->recordSyncResponse(number, m_daemons[to]->own.name, age, version >= requester.version, m_now);
            });
        });
    }

    void learnMembers(size_t index, const std::vector<MeshMember>& members)
    {
        auto& daemon = *m_daemons[index];
        for (const auto& member : members)
            daemon.endpoints->update(member);
        if (!daemon.sync->members().state().isKnown || std::exchange(daemon.isAnnounced, true))
            return;
        for (const auto& [name, endpoint] : daemon.endpoints->all()) {
            if (const auto to = indexOf(name); to < m_daemons.size() && to != index)
                send(index, to, [] {});
        }
        if (!daemon.sync->members().contains(daemon.own.name))
            announce(index);
    }

    void announce(size_t index)
    {
        auto& daemon = *m_daemons[index];
        if (!reachesStore(daemon)) {
            later(index, 700ms, [this, index] { announce(index); });
            return;
        }
        ++m_store.calls;
        later(index, randomDuration(4ms, 40ms), [this, index] { publish(m_daemons[index]->own); });
    }

    void repair(size_t index, MemberListRepair repair)
    {
        if (repair != MemberListRepair::None)
            readMembers(index, repair == MemberListRepair::ReadSnapshot);
    }

    void readMembers(size_t index, bool asSnapshot)
    {
        auto& daemon = *m_daemons[index];
        if (!asSnapshot && std::exchange(daemon.readsMembers, true))
            return;
        if (!reachesStore(daemon)) {
            later(index, randomDuration(500ms, 1500ms), [this, index, asSnapshot] {
                m_daemons[index]->readsMembers = false;
                if (m_daemons[index]->follows)
                    readMembers(index, asSnapshot || !m_daemons[index]->sync->members().state().isKnown);
            });
            return;
        }
        ++m_store.calls;
        const auto& list = daemon.sync->members();
        if (!asSnapshot && list.state().isKnown && list.state().offset == m_store.records.size()) {
            m_held.emplace_back(index, daemon.incarnation);
            return;
        }
        later(index, randomDuration(4ms, 30ms), [this, index, asSnapshot, snapshot = m_store.records] {
            auto& reader = *m_daemons[index];
            auto& members = reader.sync->members();
            const bool first = !members.state().isKnown;
            if (asSnapshot || first)
                members.applySnapshot(snapshot.size(), snapshot);
            else
                members.applyRecords(members.state().offset, snapshot.size(),
                    { snapshot.begin() + static_cast<ptrdiff_t>(std::min<uint64_t>(members.state().offset, snapshot.size())),
                        snapshot.end() });
            if (asSnapshot)
                reader.sync->recordRepaired();
            learnMembers(index, snapshot);
            reader.readsMembers = reader.readsMembers && asSnapshot && !first;
            later(index, first ? Duration(800ms) : Duration(400ms), [this, index] {
                if (m_daemons[index]->follows)
                    readMembers(index, false);
            });
        });
    }

    void wakeHeldReads()
    {
        const auto held = std::exchange(m_held, {});
        for (const auto& [index, incarnation] : held) {
            if (m_daemons[index]->incarnation != incarnation || !m_daemons[index]->isUp)
                continue;
            m_daemons[index]->readsMembers = false;
            if (reachesStore(*m_daemons[index]))
                readMembers(index, false);
            else
                later(index, 700ms, [this, i = index] { readMembers(i, false); });
        }
    }

    void readConfiguration(size_t index, bool held)
    {
        auto& daemon = *m_daemons[index];
        if (std::exchange(daemon.readsConfiguration, true))
            return;
        const auto hold = held ? settings.readHold : Duration::zero();
        const bool reaches = reachesStore(daemon);
        m_store.calls += reaches ? 1 : 0;
        later(index, hold + (reaches ? randomDuration(4ms, 30ms) : Duration(700ms)),
            [this, index, hold, reaches, requestedAt = m_now] {
                auto& reader = *m_daemons[index];
                reader.readsConfiguration = false;
                if (reaches && reachesStore(reader)) {
                    reader.version = m_store.version;
                    reader.sync->recordStoreRead(requestedAt + hold);
                }
                if (reader.follows)
                    readConfiguration(index, reaches);
            });
    }

    std::mt19937 m_random;
    size_t m_zones;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::priority_queue<Event> m_events;
    ModelStore m_store;
    std::vector<std::pair<size_t, uint64_t>> m_held; // Held reads of the member list: daemon and its incarnation
    std::string m_isolatedZone;
    TimePoint m_now { start };
    uint64_t m_order { 0 };
};

constexpr size_t fleetSize = 95;
constexpr size_t fleetZones = 5;
constexpr unsigned seeds = 12;
constexpr auto convergenceAfterStart = 2s; // Target for a fleet of this size
constexpr auto convergenceAfterFault = 4s; // Recovery time that the strictest deployment allows

void expectOneReaderAZone(const SyncFleet& fleet)
{
    const auto readers = fleet.readers();
    for (const auto& [zone, named] : readers)
        EXPECT_EQ(named.size(), 1U) << zone;
    for (size_t ledger = 0; ledger < fleet.settings.ledgerCount; ++ledger)
        EXPECT_EQ(fleet.ledgerOwners(ledger).size(), 1U) << "ledger " << ledger;
}

TEST(MeshSyncPolicy, AFleetThatStartsAtOnceConverges)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        SyncFleet fleet(fleetSize, fleetZones, seed);
        fleet.runUntil(start + 300ms);
        const auto took = fleet.timeUntilConverged(10s);
        ASSERT_TRUE(took);
        EXPECT_LE(*took + 300ms, convergenceAfterStart);
        fleet.runUntil(start + 5s);
        EXPECT_TRUE(fleet.hasConverged());
        expectOneReaderAZone(fleet);
    }
}

TEST(MeshSyncPolicy, ConvergenceTimeGrowsLessThanTheFleet)
{
    const auto timeFor = [](size_t members) {
        SyncFleet fleet(members, fleetZones, 1);
        fleet.runUntil(start + 300ms);
        return fleet.timeUntilConverged(10s).value_or(1h);
    };
    EXPECT_LE(timeFor(300), timeFor(100) * 2);
}

TEST(MeshSyncPolicy, FailedStoreReadersAreReplacedByOthersWithCompleteLists)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        SyncFleet fleet(fleetSize, fleetZones, seed);
        fleet.runUntil(start + 5s);
        for (int round = 0; round < 3; ++round) {
            for (const auto& [zone, named] : fleet.readers())
                fleet.kill(fleet.indexOf(*named.begin()));
            fleet.publish(memberNumber(static_cast<size_t>(round)));
            ++fleet.store().version;
            fleet.runUntil(fleet.now() + 100ms);
            EXPECT_TRUE(fleet.timeUntilConverged(convergenceAfterFault));
            fleet.runUntil(fleet.now() + 4s);
        }
        expectOneReaderAZone(fleet);
    }
}

TEST(MeshSyncPolicy, AFleetThatIsKilledAndRestartedConverges)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        SyncFleet fleet(fleetSize, fleetZones, seed);
        fleet.runUntil(start + 5s);
        for (size_t i = 0; i < fleet.size(); ++i) {
            fleet.kill(i);
            fleet.restart(i, fleet.now() + 1s + std::chrono::milliseconds(i % 7 * 40));
        }
        fleet.runUntil(fleet.now() + 1300ms);
        EXPECT_TRUE(fleet.timeUntilConverged(convergenceAfterStart));
        fleet.runUntil(fleet.now() + 5s);
        EXPECT_TRUE(fleet.hasConverged());
        expectOneReaderAZone(fleet);
    }
}

TEST(MeshSyncPolicy, AnIsolatedZoneCatchesUpAfterThePartitionHeals)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        SyncFleet fleet(fleetSize, fleetZones, seed);
        fleet.runUntil(start + 5s);
        fleet.isolateZone(seed % fleetZones);
        for (size_t i = 0; i < 10; ++i)
            fleet.add(fleet.now() + std::chrono::milliseconds(500 * i));
        ++fleet.store().version;
        fleet.runUntil(fleet.now() + 8s);
        fleet.healPartition();
        EXPECT_TRUE(fleet.timeUntilConverged(convergenceAfterFault));
    }
}

TEST(MeshSyncPolicy, MembersReplacedInGroupsAreKnownEverywhere)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        SyncFleet fleet(fleetSize, fleetZones, seed);
        fleet.runUntil(start + 4s);
        for (size_t i = 0; i < 30; ++i) {
            fleet.kill(i * 3);
            fleet.add(fleet.now() + std::chrono::milliseconds(10 * i));
        }
        fleet.runUntil(fleet.now() + 1s);
        EXPECT_TRUE(fleet.timeUntilConverged(convergenceAfterFault));
        fleet.runUntil(fleet.now() + 10s); // Until the back-off of the store readers has ended
        EXPECT_TRUE(fleet.hasConverged());
    }
}

// Daemons that start while the store is down synchronise with running daemons.
TEST(MeshSyncPolicy, ARestartWithoutTheStoreSynchronisesWithPeers)
{
    SyncFleet fleet(fleetSize, fleetZones, 3);
    fleet.runUntil(start + 5s);
    fleet.store().isDown = true;
    for (size_t i = 0; i < 10; ++i) {
        fleet.kill(i * 9);
        fleet.restart(i * 9, fleet.now() + 200ms);
    }
    fleet.runUntil(fleet.now() + 20s);
    fleet.store().isDown = false;
    EXPECT_TRUE(fleet.timeUntilConverged(convergenceAfterFault));
}

// A member is missing from a store reader's list and from another daemon's, without a difference in their offsets.
TEST(MeshSyncPolicy, AnIncompleteListIsDetectedAndReadAgain)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        SyncFleet fleet(fleetSize, fleetZones, seed);
        fleet.runUntil(start + 5s);
        ASSERT_TRUE(fleet.hasConverged());
        const auto reader = fleet.indexOf(*fleet.readers().begin()->second.begin());
        fleet.dropMember(reader);
        fleet.dropMember((reader + 1) % fleet.size());
        EXPECT_FALSE(fleet.hasConverged());
        const auto calls = fleet.store().calls;
        EXPECT_TRUE(fleet.timeUntilConverged(fleet.settings.comparisonInterval + convergenceAfterFault));
        // Each daemon with its list in doubt reads it once: those with incomplete lists, and those that compared with them.
        EXPECT_LE(fleet.store().calls - calls, 2 * fleetSize);
    }
}

TEST(MeshSyncPolicy, AnIdleFleetCallsTheStoreOnlyFromItsStoreReaders)
{
    SyncFleet fleet(fleetSize, fleetZones, 5);
    fleet.runUntil(start + 6s);
    const auto calls = fleet.store().calls;
    constexpr size_t seconds = 20;
    fleet.runUntil(start + 6s + std::chrono::seconds(seconds));
    constexpr size_t readsPerReaderAndSecond = 2; // Held for 0.7 s each
    EXPECT_LE(fleet.store().calls - calls, fleetZones * seconds * readsPerReaderAndSecond);
}

} // namespace
} // namespace shallot
