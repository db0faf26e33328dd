#include "config/ConfigurationJSON.h"

#include "core/JSON.h"

#include <optional>

namespace shallot {

namespace {

using List = ConfigurationChange::List;

Organisation readOrganisation(JsonObject* object)
{
    return { jsonString(object, "plan"), jsonStrings(object, "keyDigests") };
}

Plan readPlan(JsonObject* object)
{
    return { jsonNumber(object, "rate", -1), jsonNumber(object, "burst", -1), jsonStrings(object, "routes") };
}

// Replaces a number outside the range of the target type by one that validate() rejects.
template <typename Integer> Integer readInteger(JsonObject* object, const char* name, Integer fallback, Integer refused)
{
    const double value = jsonNumber(object, name, fallback);
    if (!(value >= 0) || value > 1e9 || value != static_cast<double>(static_cast<uint32_t>(value)))
        return refused;
    if (value > static_cast<double>(std::numeric_limits<Integer>::max()))
        return refused;
    return static_cast<Integer>(value);
}

Route readRoute(JsonObject* object)
{
    Route route;
    route.path = jsonString(object, "path");
    route.service = jsonString(object, "service");
    route.priority = readInteger<uint8_t>(object, "priority", route.priority, UINT8_MAX);
    route.timeoutMs = readInteger<uint32_t>(object, "timeoutMs", route.timeoutMs, 0);
    route.idempotent = jsonBoolean(object, "idempotent", true);
    route.open = jsonBoolean(object, "open", false);
    return route;
}

Zone readZone(JsonObject* object)
{
    return { readInteger<uint32_t>(object, "weight", 1, 0) };
}

void writeItem(JSONWriter& writer, const Organisation& organisation)
{
    writer.add("plan", organisation.plan);
    writer.addStrings("keyDigests", organisation.keyDigests);
}

void writeItem(JSONWriter& writer, const Plan& plan)
{
    writer.add("rate", plan.rate).add("burst", plan.burst);
    writer.addStrings("routes", plan.routes);
}

void writeItem(JSONWriter& writer, const Route& route)
{
    writer.add("path", route.path).add("service", route.service);
    writer.add("priority", int64_t { route.priority }).add("timeoutMs", int64_t { route.timeoutMs });
    writer.add("idempotent", route.idempotent).add("open", route.open);
}

void writeItem(JSONWriter& writer, const Zone& zone)
{
    writer.add("weight", int64_t { zone.weight });
}

void writeItem(JSONWriter&, std::monostate) { }

template <typename Item> void writeList(JSONWriter& writer, const char* name, const std::map<std::string, Item>& items)
{
    writer.beginObject(name);
    for (const auto& [itemName, item] : items) {
        writer.beginObject(itemName.c_str());
        writeItem(writer, item);
        writer.endObject();
    }
    writer.endObject();
}

template <typename Item, typename Reader>
Result<void> readList(JsonObject* object, const char* list, std::map<std::string, Item>& items, Reader&& readItem)
{
    JsonObject* members = jsonObject(object, list);
    if (!members)
        return json_object_has_member(object, list) ? fail(ErrorKind::EditInvalid, std::string(list) + " must be an object")
                                                    : Result<void>();
    GList* names = json_object_get_members(members);
    Result<void> result;
    for (GList* name = names; name; name = name->next) {
        const auto* text = static_cast<const char*>(name->data);
        JsonObject* item = jsonObject(members, text);
        if (!item) {
            result = fail(ErrorKind::EditInvalid, std::string(list) + " \"" + text + "\" must be an object");
            break;
        }
        items[text] = readItem(item);
    }
    g_list_free(names);
    return result;
}

std::optional<List> listFromName(std::string_view name)
{
    for (const auto list : { List::Organisations, List::Plans, List::Routes, List::Zones }) {
        if (toString(list) == name)
            return list;
    }
    return std::nullopt;
}

ConfigurationChange::Value readValue(List list, JsonObject* object)
{
    switch (list) {
    case List::Organisations:
        return readOrganisation(object);
    case List::Plans:
        return readPlan(object);
    case List::Routes:
        return readRoute(object);
    case List::Zones:
        return readZone(object);
    }
    return std::monostate();
}

} // namespace

Result<Configuration> readConfiguration(JsonObject* object)
{
    Configuration configuration;
    if (auto result = readList(object, "organisations", configuration.organisations, readOrganisation); !result)
        return tl::unexpected(result.error());
    if (auto result = readList(object, "plans", configuration.plans, readPlan); !result)
        return tl::unexpected(result.error());
    if (auto result = readList(object, "routes", configuration.routes, readRoute); !result)
        return tl::unexpected(result.error());
    if (auto result = readList(object, "zones", configuration.zones, readZone); !result)
        return tl::unexpected(result.error());
    return configuration;
}

Result<Configuration> parseConfiguration(std::string_view text)
{
    const auto root = parseJSONObject(text);
    if (!root)
        return fail(ErrorKind::EditInvalid, "the configuration is not a JSON object");
    return readConfiguration(json_node_get_object(root.get()));
}

void writeConfiguration(JSONWriter& writer, const Configuration& configuration)
{
    writeList(writer, "organisations", configuration.organisations);
    writeList(writer, "plans", configuration.plans);
    writeList(writer, "routes", configuration.routes);
    writeList(writer, "zones", configuration.zones);
}

std::string formatConfiguration(const Configuration& configuration, bool pretty)
{
    JSONWriter writer;
    writer.beginObject();
    writeConfiguration(writer, configuration);
    writer.endObject();
    return writer.finish(pretty);
}

Result<ConfigurationEdit> readEdit(JsonObject* object)
{
    ConfigurationEdit edit;
    edit.base = jsonInteger<uint64_t>(object, "base", 0);
    edit.author = jsonString(object, "author");
    edit.note = jsonString(object, "note");
    edit.wallClockMs = jsonInteger<int64_t>(object, "wallClockMs", 0);
    JsonArray* changes = jsonArray(object, "changes");
    if (!changes)
        return fail(ErrorKind::EditInvalid, "the edit has no array \"changes\"");
    for (unsigned i = 0; i < json_array_get_length(changes); ++i) {
        JsonObject* item = jsonObjectAt(changes, i);
        const auto list = listFromName(jsonString(item, "list"));
        if (!item || !list)
            return fail(ErrorKind::EditInvalid, "change " + std::to_string(i) + " does not name an existing list");
        JsonObject* value = jsonObject(item, "value");
        edit.changes.push_back({ *list, jsonString(item, "name"), value ? readValue(*list, value) : std::monostate() });
    }
    return edit;
}

void writeEdit(JSONWriter& writer, const ConfigurationEdit& edit)
{
    writer.add("base", edit.base).add("author", edit.author).add("note", edit.note).add("wallClockMs", edit.wallClockMs);
    writer.beginArray("changes");
    for (const auto& change : edit.changes) {
        writer.beginObject().add("list", toString(change.list)).add("name", change.name);
        if (!std::holds_alternative<std::monostate>(change.value)) {
            writer.beginObject("value");
            std::visit([&writer](const auto& item) { writeItem(writer, item); }, change.value);
            writer.endObject();
        }
        writer.endObject();
    }
    writer.endArray();
}

} // namespace shallot
