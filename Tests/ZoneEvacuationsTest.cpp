// Evacuated zones: a message that is late must not evacuate a zone again, and a record that cannot be read must not end one.

#include "mesh/MeshSettings.h"
#include "mesh/RemoteEndpoints.h"
#include "mesh/ZoneEvacuations.h"
#include "platform/EvacuationCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shallot {
namespace {

using Kind = EvacuationRecord::Kind;

EvacuationRecord record(const std::string& zone, uint64_t offset, Kind kind = Kind::Evacuated)
{
    return { zone, offset, kind };
}

TEST(ZoneEvacuations, RecordsAreDecodedStrictly)
{
    const auto kindOf = [](const std::string& key, const std::string& value) {
        const auto decoded = platform::decodeEvacuation({ key, value, 7 });
        return decoded ? std::optional(decoded->kind) : std::nullopt;
    };
    EXPECT_EQ(kindOf("config", "{}"), std::nullopt);
    EXPECT_EQ(kindOf("evacuate/a", "{}"), Kind::Evacuated);
    EXPECT_EQ(kindOf("evacuate/a", ""), Kind::Revoked);
    for (const auto* value : { "[]", "1", "{", "true", "\"x\"" })
        EXPECT_EQ(kindOf("evacuate/a", value), Kind::Unreadable) << value;
    EXPECT_EQ(kindOf("evacuate/", "{}"), Kind::Unreadable);
    EXPECT_EQ(platform::decodeEvacuation({ "evacuate/a/b", "{}", 7 })->zone, "a/b");
}

TEST(ZoneEvacuations, AnUnreadableRecordKeepsTheStateBeforeIt)
{
    ZoneEvacuations state;
    state.applySnapshot({ 0, 5 }, std::vector { record("a", 3) });
    EXPECT_FALSE(state.applyRecords({ 0, 7 }, std::vector { record("a", 5, Kind::Unreadable), record("b", 6, Kind::Unreadable) }));
    EXPECT_TRUE(state.isEvacuated("a"));
    EXPECT_FALSE(state.isEvacuated("b"));
    state.applySnapshot({ 0, 8 }, std::vector { record("a", 5, Kind::Unreadable) });
    EXPECT_TRUE(state.isEvacuated("a"));
}

TEST(ZoneEvacuations, ALateCopyDoesNotEvacuateAgain)
{
    ZoneEvacuations reader;
    reader.applySnapshot({ 1, 0 }, {});
    reader.applyRecords({ 1, 1 }, std::vector { record("a", 0) });
    const auto late = reader.zones();
    const auto latePosition = reader.position();
    reader.applyRecords({ 1, 2 }, std::vector { record("a", 1, Kind::Revoked) });
    EXPECT_FALSE(reader.applyCopy(latePosition, late));
    EXPECT_FALSE(reader.isEvacuated("a"));
    // The store came back from an earlier copy, in which the zone is evacuated.
    EXPECT_TRUE(reader.applySnapshot({ 2, 1 }, std::vector { record("a", 0) }));
    EXPECT_FALSE(reader.applyRecords({ 1, 9 }, std::vector { record("a", 8, Kind::Revoked) }));
    EXPECT_TRUE(reader.isEvacuated("a"));
}

// Any order of reads, snapshots, copies from others and repetitions ends with the state at the highest position.
RC_GTEST_PROP(ZoneEvacuationsFuzz, CopiesConvergeToTheLog, ())
{
    const auto bits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    std::vector<EvacuationRecord> log;
    std::vector<ZoneEvacuations::Zones> states { {} };
    for (const int bit : bits) {
        const std::string zone(1, static_cast<char>('a' + bit % 3));
        log.push_back(record(zone, log.size(), bit < 3 ? Kind::Evacuated : Kind::Revoked));
        auto zones = states.back();
        if (bit < 3)
            zones[zone] = log.size() - 1;
        else
            zones.erase(zone);
        states.push_back(zones);
    }
    const auto end = static_cast<int>(log.size());
    std::vector<ZoneEvacuations> daemons(3);
    for (auto& daemon : daemons)
        daemon.applySnapshot({ 0, 0 }, {});
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
        auto& daemon = daemons[static_cast<size_t>(step % 3)];
        const auto next = static_cast<size_t>((step / 3) % (end + 1));
        const auto from = daemon.position().next;
        if (step % 2) {
            const auto& other = daemons[static_cast<size_t>((step / 7) % 3)];
            daemon.applyCopy(other.position(), other.zones());
        } else if (next > from) {
            daemon.applyRecords({ 0, next }, std::span(log).subspan(from - from % 2, next - (from - from % 2)));
        }
        RC_ASSERT(daemon.zones() == states[daemon.position().next]);
    }
}

TEST(AllowedMembers, AreOutsideEvacuatedZonesAndInsideAllowedRegions)
{
    const MeshSettings settings;
    RemoteEndpoints endpoints(settings, "a");
    const TimePoint now(100s);
    for (const auto* zone : { "a", "b", "c" }) {
        endpoints.update({ std::string("in-") + zone, zone, "10.0.0.1:1", "s" });
        endpoints.recordReport(std::string("in-") + zone, {}, now);
    }
    const std::vector<std::string> north { "north" };
    const std::vector<std::string> south { "south" };
    endpoints.setRegions({ { "a", "north" }, { "b", "south" } });
    const auto choose = [&](AllowedRegions regions) {
        const auto* endpoint = endpoints.choose("s", now, {}, { .regions = regions });
        return endpoint ? endpoint->member.zone : "none";
    };
    EXPECT_EQ(choose({}), "a");
    EXPECT_EQ(choose({ .byRoute = south }), "b");
    EXPECT_EQ(choose({ .byRoute = south, .byOrganisation = north }), "none") << "both lists apply";
    endpoints.setEvacuatedZones({ "a" });
    EXPECT_NE(choose({}), "a") << "the own zone is evacuated as well";
    EXPECT_EQ(choose({ .byOrganisation = north }), "none") << "the region of zone c is not known";
    EXPECT_FALSE(endpoints.reasonForNone("s", { .byOrganisation = north }).empty());
    endpoints.setEvacuatedZones({ "a", "b", "c" });
    EXPECT_EQ(choose({}), "none");
    EXPECT_EQ(endpoints.reasonForNone("s", {}), "all zones of the service are evacuated");
    endpoints.setEvacuatedZones({});
    EXPECT_EQ(choose({}), "a");
}

} // namespace
} // namespace shallot
