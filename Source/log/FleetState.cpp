#include "log/FleetState.h"

#include "core/JSON.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t maximumWriters = 4000; // For duplicate detection; about ten days of replacements at the design size

constexpr uint64_t recordsPerSnapshot = 2000;
constexpr int64_t snapshotIntervalMs = 600'000; // Well within any useful retention time of the log

const SnapshotEntry* findSnapshot(const LogRecord& record)
{
    for (const auto& entry : record.entries) {
        if (const auto* snapshot = std::get_if<SnapshotEntry>(&entry))
            return snapshot;
    }
    return nullptr;
}

void writeRoster(JSONWriter& writer, const MembershipTable& membership)
{
    writer.beginArray("members");
    for (const auto& [name, member] : membership.members()) {
        writer.beginObject().add("name", name).add("zone", member.zone).add("address", member.address);
        writer.add("joinOffset", member.joinOffset).add("endedOffset", member.endedOffset).add("revoked", member.revoked);
        writer.addStrings("witnesses", member.witnesses).endObject();
    }
    writer.endArray();
}

void readRoster(JsonArray* members, MembershipTable& membership)
{
    for (unsigned i = 0; members && i < json_array_get_length(members); ++i) {
        JsonObject* item = jsonObjectAt(members, i);
        membership.restoreMember(jsonString(item, "name"),
            { jsonString(item, "zone"), jsonString(item, "address"), jsonStrings(item, "witnesses"),
                jsonInteger<uint64_t>(item, "joinOffset"), jsonInteger<uint64_t>(item, "endedOffset"),
                jsonBoolean(item, "revoked") });
    }
}

void writeOwnerships(JSONWriter& writer, const OwnershipTable& table)
{
    writer.beginArray("parts");
    for (const auto& [id, ownership] : table.partitions()) {
        writer.beginObject()
            .add("zone", id.zone)
            .add("part", id.partition)
            .add("owner", ownership.owner)
            .add("epoch", ownership.epoch);
        writer.add("fractionPpm", ownership.fractionPpm).add("wait", static_cast<int64_t>(ownership.wait)).endObject();
    }
    writer.endArray();
}

void readOwnerships(JsonArray* partitions, OwnershipTable& table)
{
    for (unsigned i = 0; partitions && i < json_array_get_length(partitions); ++i) {
        JsonObject* item = jsonObjectAt(partitions, i);
        table.restorePartition({ jsonString(item, "zone"), jsonInteger<uint32_t>(item, "part") },
            { jsonString(item, "owner"), jsonInteger<uint64_t>(item, "epoch"), jsonInteger<uint32_t>(item, "fractionPpm"),
                static_cast<OwnerWait>(jsonInteger<uint8_t>(item, "wait")) });
    }
}

} // namespace

bool FleetState::apply(const StoredRecord& stored)
{
    if (stored.offset < m_nextOffset)
        return true;
    const auto record = parseRecord(stored.bytes);
    if (stored.offset > m_nextOffset) {
        // After a gap, only a snapshot that covers the missing records can continue.
        const auto* snapshot = record ? findSnapshot(*record) : nullptr;
        if (!snapshot || snapshot->upTo < m_nextOffset || !restore(snapshot->state))
            return false;
        if (m_nextOffset != stored.offset)
            return false;
    }
    m_nextOffset = stored.offset + 1;
    m_lastTimeMs = std::max(m_lastTimeMs, stored.timeMs);
    if (!record) {
        ++m_skippedRecords;
        return true;
    }
    m_skippedRecords += record->skipped;
    if (isDuplicate(*record))
        return true;
    recordWriter(*record, stored.offset);
    for (size_t i = 0; i < record->entries.size(); ++i)
        m_applied.push_back(
            { record->writer, record->sequence, i, stored.offset + 1, applyEntry(stored, *record, record->entries[i]) });
    return true;
}

Result<void> FleetState::applyEntry(const StoredRecord& stored, const LogRecord& record, const LogEntry& entry)
{
    const uint64_t position = stored.offset + 1;
    if (const auto* edit = std::get_if<EditEntry>(&entry))
        return m_configuration.apply(position, stored.timeMs, edit->edit);
    if (const auto* join = std::get_if<JoinEntry>(&entry))
        m_membership.apply(position, *join);
    else if (const auto* leave = std::get_if<LeaveEntry>(&entry))
        m_membership.apply(position, *leave);
    else if (const auto* revoke = std::get_if<RevokeEntry>(&entry))
        m_membership.apply(position, *revoke);
    else if (const auto* own = std::get_if<OwnershipEntry>(&entry))
        m_ownerships.apply(position, *own, record.writer, m_membership);
    else if (const auto* claim = std::get_if<ClaimEntry>(&entry))
        m_claims.apply(position, stored.timeMs, *claim);
    else if (const auto* release = std::get_if<ReleaseEntry>(&entry))
        m_claims.apply(*release);
    else if (std::holds_alternative<SnapshotEntry>(entry))
        recordSnapshot(stored);
    return {};
}

void FleetState::recordSnapshot(const StoredRecord& stored)
{
    m_snapshotOffset = stored.offset;
    m_snapshotTimeMs = stored.timeMs;
}

bool FleetState::isSnapshotDue() const
{
    const uint64_t records = m_nextOffset - m_snapshotOffset;
    return records >= recordsPerSnapshot || (records > 1 && m_lastTimeMs - m_snapshotTimeMs >= snapshotIntervalMs);
}

bool FleetState::isDuplicate(const LogRecord& record) const
{
    return hasApplied(record.writer, record.sequence);
}

bool FleetState::hasApplied(const std::string& writer, uint64_t sequence) const
{
    const auto found = m_writers.find(writer);
    return found != m_writers.end() && sequence <= found->second.sequence;
}

void FleetState::recordWriter(const LogRecord& record, uint64_t offset)
{
    m_writers[record.writer] = { record.sequence, offset };
    if (m_writers.size() <= maximumWriters)
        return;
    m_writers.erase(std::min_element(
        m_writers.begin(), m_writers.end(), [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; }));
}

std::string FleetState::serialize() const
{
    JSONWriter writer;
    writer.beginObject().add("nextOffset", m_nextOffset).add("skippedRecords", m_skippedRecords).add("timeMs", m_lastTimeMs);
    writer.add("configuration", m_configuration.serialize()).add("claims", m_claims.serialize());
    writeRoster(writer, m_membership);
    writeOwnerships(writer, m_ownerships);
    writer.beginArray("writers");
    for (const auto& [name, state] : m_writers)
        writer.beginObject().add("name", name).add("sequence", state.sequence).add("offset", state.offset).endObject();
    writer.endArray().endObject();
    return writer.finish();
}

bool FleetState::restore(std::string_view text)
{
    const auto root = parseJSONObject(text);
    JsonObject* object = root ? json_node_get_object(root.get()) : nullptr;
    const auto nextOffset = jsonInteger<uint64_t>(object, "nextOffset");
    if (nextOffset <= m_nextOffset)
        return false;
    FleetState next;
    if (!next.m_configuration.restore(jsonString(object, "configuration"))
        || !next.m_claims.restore(jsonString(object, "claims")))
        return false;
    next.m_nextOffset = nextOffset;
    next.m_snapshotOffset = nextOffset;
    next.m_snapshotTimeMs = next.m_lastTimeMs = jsonInteger<int64_t>(object, "timeMs");
    next.m_skippedRecords = jsonInteger<uint64_t>(object, "skippedRecords");
    readRoster(jsonArray(object, "members"), next.m_membership);
    readOwnerships(jsonArray(object, "parts"), next.m_ownerships);
    JsonArray* writers = jsonArray(object, "writers");
    for (unsigned i = 0; writers && i < json_array_get_length(writers); ++i) {
        JsonObject* item = jsonObjectAt(writers, i);
        next.m_writers[jsonString(item, "name")]
            = { jsonInteger<uint64_t>(item, "sequence"), jsonInteger<uint64_t>(item, "offset") };
    }
    *this = std::move(next);
    return true;
}

} // namespace shallot
