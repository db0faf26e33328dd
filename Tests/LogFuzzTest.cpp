// Stateful fuzzing of the replicated log: writers with lost acknowledgements, outages, crashes and resends; readers at different
// speeds, some of which start from a snapshot after the log has expired its records. The oracles are plain maps.

#include "config/ConfigurationJSON.h"
#include "log/AppendQueue.h"
#include "log/FleetState.h"
#include "standins/LogStore.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>
#include <set>

namespace shallot {
namespace {

constexpr size_t writerCount = 4;

// The log-related state of one daemon.
struct Writer {
    std::string name;
    FleetState fleetState;
    std::unique_ptr<AppendQueue> appends;
    uint64_t highestRevision { 0 };
};

struct Model { };

struct System {
    System()
    {
        for (size_t i = 0; i < writerCount; ++i)
            start(i);
    }

    void start(size_t index)
    {
        auto& writer = writers[index];
        writer = {};
        writer.name = "writer" + std::to_string(index) + "." + std::to_string(++starts);
        writer.appends = std::make_unique<AppendQueue>(AppendSettings {}, writer.name);
    }

    // One tick of a daemon: appends, then reads the log and applies its records.
    void tick(size_t index)
    {
        auto& writer = writers[index];
        if (auto bytes = writer.appends->takeAppend(now)) {
            if (log.append(*bytes, now.time_since_epoch().count() / 1000) == LogStore::AppendOutcome::Stored)
                writer.appends->onAcknowledged();
            else
                writer.appends->onFailed(now);
        }
        writer.appends->tick(now);
        if (log.faults().down)
            return;
        applyAll(writer.fleetState);
        for (const auto& applied : writer.fleetState.takeApplied())
            writer.appends->onApplied(applied);
        if (writer.fleetState.nextOffset() >= log.next())
            writer.appends->onTailRead(now, writer.fleetState);
    }

    void applyAll(FleetState& fleetState)
    {
        for (bool moved = true; moved;) {
            moved = false;
            const auto before = fleetState.nextOffset();
            for (const auto& record : log.read(before, 100'000)) {
                if (!fleetState.apply(record) && fleetState.nextOffset() != before)
                    break;
            }
            moved = fleetState.nextOffset() != before;
        }
    }

    std::array<Writer, writerCount> writers;
    LogStore log;
    FleetState referenceState; // Reads every record before it can expire
    TimePoint now { std::chrono::seconds(1) };
    int starts { 0 };
    std::vector<std::pair<uint64_t, std::string>> accepted;  // Of each accepted edit: (resulting revision, plan name)
    std::map<std::pair<std::string, uint64_t>, int> winners; // Accepted edits by (item, base revision)
    std::map<std::string, int> runs;                         // Number of executions by claimed key
    std::set<std::string> completedClaims;
};

using Command = rc::state::Command<Model, System>;

void checkInvariants(System& system)
{
    system.applyAll(system.referenceState);
    system.referenceState.takeApplied();
    for (auto& writer : system.writers) {
        const auto revision = writer.fleetState.configuration().revision();
        RC_ASSERT(revision >= writer.highestRevision);
        writer.highestRevision = revision;
        // Readers at the same offset have the same configuration.
        if (writer.fleetState.nextOffset() == system.referenceState.nextOffset())
            RC_ASSERT(writer.fleetState.configuration().configuration() == system.referenceState.configuration().configuration());
    }
    for (const auto& [key, count] : system.winners)
        RC_ASSERT(count <= 1);
    for (const auto& [key, count] : system.runs)
        RC_ASSERT(count <= 1);
    // Each accepted edit is in the audit trail as accepted.
    const auto& history = system.referenceState.configuration().history();
    for (const auto& [revision, plan] : system.accepted) {
        // Edits that were grouped into one record share its revision.
        RC_ASSERT(std::any_of(history.begin(), history.end(), [&, revision = revision, &plan = plan](const auto& entry) {
            return entry.revision == revision && entry.accepted && entry.changes.find(plan) != std::string::npos;
        }));
    }
}

struct Edit : Command {
    size_t writer = *rc::gen::inRange<size_t>(0, writerCount);
    int plan = *rc::gen::inRange(0, 3);
    int rate = *rc::gen::inRange(1, 1000);
    uint64_t staleness = *rc::gen::inRange<uint64_t>(0, 3);

    void run(const Model&, System& system) const override
    {
        auto& target = system.writers[writer];
        const auto name = "plan" + std::to_string(plan);
        const auto revision = target.fleetState.configuration().revision();
        const uint64_t base = revision - std::min(revision, staleness);
        ConfigurationEdit edit { base, "operator", "", 0,
            { { ConfigurationChange::List::Plans, name, Plan { double(rate), 1, {} } } } };
        target.appends->push(
            EditEntry { edit }, system.now + std::chrono::seconds(5), [&system, name, base](const Result<uint64_t>& result) {
                if (!result)
                    return;
                system.accepted.emplace_back(*result, name);
                ++system.winners[{ name, base }];
            });
    }
};

struct ClaimKey : Command {
    size_t writer = *rc::gen::inRange<size_t>(0, writerCount);
    std::string key = "order" + std::to_string(*rc::gen::inRange(0, 6));

    void run(const Model&, System& system) const override
    {
        auto& target = system.writers[writer];
        if (target.fleetState.claims().find("school", key))
            return;
        const auto name = target.name;
        target.appends->push(ClaimEntry { "school", key, 1, name }, system.now + std::chrono::seconds(1),
            [&, name](const Result<uint64_t>& result) {
                const auto* claim = target.fleetState.claims().find("school", key);
                const bool runsNow = result && claim && claim->holder == name && system.completedClaims.insert(key + name).second;
                system.runs[key] += runsNow ? 1 : 0;
            });
    }
};

struct Advance : Command {
    int milliseconds = *rc::gen::inRange(1, 3000);

    void run(const Model&, System& system) const override
    {
        for (int passed = 0; passed < milliseconds; passed += 20) {
            system.now += std::chrono::milliseconds(20);
            for (size_t i = 0; i < writerCount; ++i)
                system.tick(i);
        }
        checkInvariants(system);
    }
};

struct Restart : Command {
    size_t writer = *rc::gen::inRange<size_t>(0, writerCount);

    void run(const Model&, System& system) const override { system.start(writer); }
};

struct Faults : Command {
    bool down = *rc::gen::weightedElement<bool>({ { 2, false }, { 1, true } });
    bool loseAcknowledgements = *rc::gen::arbitrary<bool>();

    void run(const Model&, System& system) const override
    {
        system.log.faults().down = down;
        system.log.faults().loseAcknowledgements = loseAcknowledgements;
    }
};

// Appends a snapshot, then removes all earlier records from the log.
struct Expire : Command {
    void run(const Model&, System& system) const override
    {
        system.log.faults() = {};
        for (size_t i = 0; i < writerCount; ++i)
            system.tick(i);
        system.applyAll(system.referenceState);
        LogRecord record;
        record.writer = "snapshots." + std::to_string(++system.starts);
        record.sequence = 1;
        record.entries.emplace_back(SnapshotEntry { system.referenceState.nextOffset(), system.referenceState.serialize() });
        system.log.append(formatRecord(record), system.now.time_since_epoch().count() / 1000);
        system.applyAll(system.referenceState);
        system.log.retain(1);
    }
};

// Records that cannot be parsed or have a later version do not stop a reader.
struct Garbage : Command {
    int kind = *rc::gen::inRange(0, 4);

    void run(const Model&, System& system) const override
    {
        constexpr const char* texts[] = { "", "not a record", R"({"version":99,"writer":"x","sequence":1,"entries":[]})",
            R"({"version":1,"writer":"x","sequence":1,"entries":[{"type":"of the future"},7]})" };
        system.log.append(texts[kind], system.now.time_since_epoch().count() / 1000);
    }
};

void checkLog()
{
    System system;
    rc::state::check(Model(), system,
        rc::state::gen::execOneOfWithArgs<Edit, Edit, ClaimKey, ClaimKey, Advance, Advance, Restart, Faults, Expire, Garbage>());
}

RC_GTEST_PROP(LogFuzz, AcceptedEditsPersistAndClaimsRunOnce, ())
{
    checkLog();
}

TEST(ConfigurationState, AnEditAtTheStartOfTheLogIsInForce)
{
    // Regression test: an edit at offset 0 once got revision 0, which means "none". Revisions are offsets plus one.
    FleetState fleetState;
    LogRecord record;
    record.writer = "w";
    record.sequence = 1;
    record.entries.emplace_back(
        EditEntry { { 0, "operator", "", 0, { { ConfigurationChange::List::Zones, "zone-a", Zone {} } } } });
    ASSERT_TRUE(fleetState.apply({ 0, 0, formatRecord(record) }));
    EXPECT_EQ(fleetState.configuration().revision(), 1U);
}

TEST(ConfigurationState, RefusesWhatWouldLeaveTheListsInvalid)
{
    ConfigurationState fleetState;
    Configuration wanted;
    wanted.plans["gold"] = { 10, 5, {} };
    wanted.organisations["school"] = { "gold", {} };
    ASSERT_TRUE(fleetState.apply(1, 0, { 0, "operator", "", 0, difference({}, wanted) }));

    const auto refuse = [&fleetState](const Configuration& configuration, std::string_view item) {
        const auto result = fleetState.check({ 1, "operator", "", 0, difference(fleetState.configuration(), configuration) });
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, ErrorKind::EditInvalid);
        EXPECT_NE(result.error().detail.find(item), std::string::npos) << result.error().detail;
    };
    auto configuration = wanted;
    configuration.plans.erase("gold");
    refuse(configuration, "gold");
    configuration = wanted;
    configuration.plans["gold"].burst = 0.5;
    refuse(configuration, "burst");
    configuration = wanted;
    configuration.plans["gold"].routes = { "nowhere" };
    refuse(configuration, "nowhere");
    configuration = wanted;
    configuration.routes["profiles"] = { "/profiles", "" };
    refuse(configuration, "service");
    configuration = wanted;
    configuration.organisations["other"] = { "gold", { std::string(64, 'G') } };
    refuse(configuration, "digest");
}

TEST(ConfigurationState, RacingEditsOfOneItemHaveOneWinner)
{
    ConfigurationState fleetState;
    const auto edit = [](double rate) {
        return ConfigurationEdit { 0, "operator", "", 0, { { ConfigurationChange::List::Plans, "gold", Plan { rate, 1, {} } } } };
    };
    EXPECT_TRUE(fleetState.apply(5, 0, edit(1)));
    const auto second = fleetState.apply(6, 0, edit(2));
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().kind, ErrorKind::EditConflict);
    EXPECT_EQ(fleetState.configuration().plans.at("gold").rate, 1);
    ASSERT_EQ(fleetState.history().size(), 2U);
    EXPECT_FALSE(fleetState.history().back().accepted);
}

} // namespace
} // namespace shallot
