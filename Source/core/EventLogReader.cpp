#include "core/EventLogReader.h"

#include "core/JSON.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>

namespace shallot {

namespace {

// The identifier of a call starts with the identifier of the request that it serves, followed by a dot.
bool belongsTo(std::string_view request, std::string_view root)
{
    return request.starts_with(root) && (request.size() == root.size() || request[root.size()] == '.');
}

std::string fieldText(JsonNode* node)
{
    if (json_node_get_value_type(node) == G_TYPE_DOUBLE) {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.6g", json_node_get_double(node));
        return text.data();
    }
    const auto text = serializeJSON(node);
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

LoggedEvent readEvent(JsonObject* object)
{
    LoggedEvent event;
    event.time = jsonNumber(object, "time");
    event.instance = jsonString(object, "instance");
    event.event = jsonString(object, "event");
    event.request = jsonString(object, "request");
    GList* names = json_object_get_members(object);
    for (GList* item = names; item; item = item->next) {
        const std::string name = static_cast<const char*>(item->data);
        if (name == "time" || name == "instance" || name == "event" || name == "request")
            continue;
        if (const auto text = fieldText(json_object_get_member(object, name.c_str())); !text.empty())
            event.fields.append(event.fields.empty() ? "" : " ").append(name).append("=").append(text);
    }
    g_list_free(names);
    return event;
}

} // namespace

std::vector<LoggedEvent> readRequestTrace(std::istream& stream, std::string_view requestID)
{
    std::vector<LoggedEvent> trace;
    for (std::string line; std::getline(stream, line);) {
        const auto brace = line.find('{');
        if (brace == std::string::npos || line.find(requestID) == std::string::npos)
            continue;
        const auto node = parseJSONObject(std::string_view(line).substr(brace));
        if (!node)
            continue;
        auto event = readEvent(json_node_get_object(node.get()));
        if (belongsTo(event.request, requestID))
            trace.push_back(std::move(event));
    }
    std::stable_sort(trace.begin(), trace.end(), [](const auto& a, const auto& b) { return a.time < b.time; });
    return trace;
}

std::string describeEvent(const LoggedEvent& event, double firstTime)
{
    std::array<char, 32> offset {};
    std::snprintf(offset.data(), offset.size(), "%+9.3f s", event.time - firstTime);
    return std::string(offset.data()) + "  " + event.instance + "  " + event.event + " of " + event.request + "  " + event.fields;
}

} // namespace shallot
