#include "log/LogEntry.h"

#include "config/ConfigurationJSON.h"
#include "core/JSON.h"

#include <charconv>
#include <optional>

namespace shallot {

namespace {

constexpr int64_t recordVersion = 1;

// As a string: a JSON number cannot hold every 64-bit value exactly.
std::string formatHash(uint64_t value)
{
    return std::to_string(value);
}

uint64_t parseHash(const std::string& text)
{
    uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void writeEntry(JSONWriter& writer, const EditEntry& entry)
{
    writer.add("type", "edit");
    writeEdit(writer, entry.edit);
}

void writeEntry(JSONWriter& writer, const JoinEntry& entry)
{
    writer.add("type", "join").add("member", entry.member).add("zone", entry.zone).add("address", entry.address);
    writer.addStrings("witnesses", entry.witnesses);
}

void writeEntry(JSONWriter& writer, const LeaveEntry& entry)
{
    writer.add("type", "leave").add("member", entry.member);
}

void writeEntry(JSONWriter& writer, const RevokeEntry& entry)
{
    writer.add("type", "revoke").add("member", entry.member).add("joinOffset", entry.joinOffset);
    writer.addStrings("promises", entry.votes);
}

void writeEntry(JSONWriter& writer, const OwnershipEntry& entry)
{
    writer.add("type", "own").add("zone", entry.zone).add("part", entry.partition).add("epoch", entry.expectedEpoch);
    writer.add("owner", entry.owner).add("fractionPpm", entry.fractionPpm).add("clean", entry.cleanTransfer);
}

void writeEntry(JSONWriter& writer, const ClaimEntry& entry)
{
    writer.add("type", "claim").add("organisation", entry.organisation).add("key", entry.key);
    writer.add("fingerprint", formatHash(entry.fingerprint)).add("holder", entry.holder);
}

void writeEntry(JSONWriter& writer, const ReleaseEntry& entry)
{
    writer.add("type", "release").add("organisation", entry.organisation).add("key", entry.key).add("holder", entry.holder);
}

void writeEntry(JSONWriter& writer, const SnapshotEntry& entry)
{
    writer.add("type", "snapshot").add("upTo", entry.upTo).add("state", entry.state);
}

uint64_t readUnsigned(JsonObject* object, const char* name)
{
    return jsonInteger<uint64_t>(object, name, 0);
}

std::optional<LogEntry> readEntry(JsonObject* object)
{
    const auto type = jsonString(object, "type");
    if (type == "edit") {
        auto edit = readEdit(object);
        return edit ? std::optional<LogEntry>(EditEntry { std::move(*edit) }) : std::nullopt;
    }
    if (type == "join") {
        return JoinEntry { jsonString(object, "member"), jsonString(object, "zone"), jsonString(object, "address"),
            jsonStrings(object, "witnesses") };
    }
    if (type == "leave")
        return LeaveEntry { jsonString(object, "member") };
    if (type == "revoke")
        return RevokeEntry { jsonString(object, "member"), readUnsigned(object, "joinOffset"), jsonStrings(object, "promises") };
    if (type == "own") {
        return OwnershipEntry { jsonString(object, "zone"), static_cast<uint32_t>(readUnsigned(object, "part")),
            readUnsigned(object, "epoch"), jsonString(object, "owner"),
            static_cast<uint32_t>(readUnsigned(object, "fractionPpm")), jsonBoolean(object, "clean") };
    }
    if (type == "claim") {
        return ClaimEntry { jsonString(object, "organisation"), jsonString(object, "key"),
            parseHash(jsonString(object, "fingerprint")), jsonString(object, "holder") };
    }
    if (type == "release")
        return ReleaseEntry { jsonString(object, "organisation"), jsonString(object, "key"), jsonString(object, "holder") };
    if (type == "snapshot")
        return SnapshotEntry { readUnsigned(object, "upTo"), jsonString(object, "state") };
    return std::nullopt;
}

} // namespace

std::string formatRecord(const LogRecord& record)
{
    JSONWriter writer;
    writer.beginObject().add("version", recordVersion).add("writer", record.writer).add("sequence", record.sequence);
    writer.beginArray("entries");
    for (const auto& entry : record.entries) {
        writer.beginObject();
        std::visit([&writer](const auto& item) { writeEntry(writer, item); }, entry);
        writer.endObject();
    }
    writer.endArray().endObject();
    return writer.finish();
}

Result<LogRecord> parseRecord(std::string_view bytes)
{
    const auto root = parseJSONObject(bytes);
    if (!root)
        return fail(ErrorKind::BadRequest, "the record is not a JSON object");
    JsonObject* object = json_node_get_object(root.get());
    if (jsonInteger<int64_t>(object, "version") != recordVersion)
        return fail(ErrorKind::BadRequest, "unsupported record version");
    LogRecord record;
    record.writer = jsonString(object, "writer");
    record.sequence = readUnsigned(object, "sequence");
    JsonArray* entries = jsonArray(object, "entries");
    if (record.writer.empty() || !record.sequence || !entries)
        return fail(ErrorKind::BadRequest, "the record has no writer, sequence number or entries");
    for (unsigned i = 0; i < json_array_get_length(entries); ++i) {
        JsonObject* item = jsonObjectAt(entries, i);
        auto entry = item ? readEntry(item) : std::nullopt;
        if (entry)
            record.entries.push_back(std::move(*entry));
        else
            ++record.skipped;
    }
    return record;
}

} // namespace shallot
