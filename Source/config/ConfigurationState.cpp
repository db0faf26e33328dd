#include "config/ConfigurationState.h"

#include "config/ConfigurationJSON.h"
#include "core/JSON.h"

namespace shallot {

namespace {

constexpr size_t maximumAuditEntries = 1000; // Audit entries kept in memory; older ones stay in the log until it trims them

Configuration selectItems(const Configuration& configuration, const std::vector<ConfigurationChange>& changes)
{
    Configuration selected;
    const auto copy = [](const auto& from, auto& to, const std::string& name) {
        if (const auto found = from.find(name); found != from.end())
            to.insert(*found);
    };
    for (const auto& change : changes) {
        switch (change.list) {
        case ConfigurationChange::List::Organisations:
            copy(configuration.organisations, selected.organisations, change.name);
            break;
        case ConfigurationChange::List::Plans:
            copy(configuration.plans, selected.plans, change.name);
            break;
        case ConfigurationChange::List::Routes:
            copy(configuration.routes, selected.routes, change.name);
            break;
        case ConfigurationChange::List::Zones:
            copy(configuration.zones, selected.zones, change.name);
            break;
        }
    }
    return selected;
}

std::string describeChanges(
    const Configuration& before, const Configuration& after, const std::vector<ConfigurationChange>& changes)
{
    JSONWriter writer;
    writer.beginObject();
    writer.beginObject("before");
    writeConfiguration(writer, selectItems(before, changes));
    writer.endObject();
    writer.beginObject("after");
    writeConfiguration(writer, selectItems(after, changes));
    writer.endObject().endObject();
    return writer.finish();
}

} // namespace

Result<Configuration> ConfigurationState::candidate(const ConfigurationEdit& edit) const
{
    // These error texts are stored in the audit trail and must be identical on all daemons.
    if (edit.changes.empty())
        return fail(ErrorKind::EditInvalid, "the edit changes nothing");
    for (const auto& change : edit.changes) {
        const auto found = m_itemRevisions.find({ change.list, change.name });
        if (found != m_itemRevisions.end() && found->second > edit.base) {
            return fail(ErrorKind::EditConflict,
                std::string(toString(change.list)) + " \"" + change.name + "\" was changed at revision "
                    + std::to_string(found->second) + ", after the edit's base " + std::to_string(edit.base));
        }
    }
    Configuration next = m_configuration;
    applyChanges(next, edit.changes);
    if (auto valid = validate(next); !valid)
        return tl::unexpected(valid.error());
    return next;
}

Result<void> ConfigurationState::check(const ConfigurationEdit& edit) const
{
    if (auto next = candidate(edit); !next)
        return tl::unexpected(next.error());
    return {};
}

Result<void> ConfigurationState::apply(uint64_t offset, int64_t timeMs, const ConfigurationEdit& edit)
{
    auto next = candidate(edit);
    recordOutcome(offset, timeMs, edit, next);
    if (!next)
        return tl::unexpected(next.error());
    m_configuration = std::move(*next);
    m_revision = offset;
    for (const auto& change : edit.changes)
        m_itemRevisions[{ change.list, change.name }] = offset;
    return {};
}

void ConfigurationState::recordOutcome(
    uint64_t offset, int64_t timeMs, const ConfigurationEdit& edit, const Result<Configuration>& next)
{
    AuditEntry entry { offset, timeMs, edit.author, edit.note, next.has_value(), {}, {} };
    if (next)
        entry.changes = describeChanges(m_configuration, *next, edit.changes);
    else
        entry.outcome = std::string(errorInfo(next.error().kind).name) + ": " + next.error().detail;
    m_history.push_back(std::move(entry));
    if (m_history.size() > maximumAuditEntries)
        m_history.pop_front();
}

void ConfigurationState::writeHistory(JSONWriter& writer) const
{
    writer.beginArray("history");
    for (const auto& entry : m_history) {
        writer.beginObject().add("revision", entry.revision).add("timeMs", entry.timeMs).add("author", entry.author);
        writer.add("note", entry.note)
            .add("accepted", entry.accepted)
            .add("outcome", entry.outcome)
            .add("changes", entry.changes);
        writer.endObject();
    }
    writer.endArray();
}

std::string ConfigurationState::serialize() const
{
    JSONWriter writer;
    writer.beginObject().add("revision", m_revision);
    writer.beginObject("configuration");
    writeConfiguration(writer, m_configuration);
    writer.endObject();
    writer.beginArray("items");
    for (const auto& [key, revision] : m_itemRevisions)
        writer.beginObject()
            .add("list", static_cast<int64_t>(key.first))
            .add("name", key.second)
            .add("revision", revision)
            .endObject();
    writer.endArray();
    writeHistory(writer);
    writer.endObject();
    return writer.finish();
}

bool ConfigurationState::restore(std::string_view text)
{
    const auto root = parseJSONObject(text);
    JsonObject* object = root ? json_node_get_object(root.get()) : nullptr;
    JsonObject* document = jsonObject(object, "configuration");
    JsonArray* items = jsonArray(object, "items");
    JsonArray* history = jsonArray(object, "history");
    if (!document || !items || !history)
        return false;
    auto configuration = readConfiguration(document);
    if (!configuration)
        return false;
    m_configuration = std::move(*configuration);
    m_revision = jsonInteger<uint64_t>(object, "revision");
    m_itemRevisions.clear();
    for (unsigned i = 0; i < json_array_get_length(items); ++i) {
        JsonObject* item = jsonObjectAt(items, i);
        const auto list = static_cast<ConfigurationChange::List>(jsonInteger<uint8_t>(item, "list"));
        m_itemRevisions[{ list, jsonString(item, "name") }] = jsonInteger<uint64_t>(item, "revision");
    }
    m_history.clear();
    for (unsigned i = 0; i < json_array_get_length(history); ++i) {
        JsonObject* item = jsonObjectAt(history, i);
        m_history.push_back({ jsonInteger<uint64_t>(item, "revision"), jsonInteger<int64_t>(item, "timeMs"),
            jsonString(item, "author"), jsonString(item, "note"), jsonBoolean(item, "accepted"), jsonString(item, "outcome"),
            jsonString(item, "changes") });
    }
    return true;
}

} // namespace shallot
