#pragma once

#include <json-glib/json-glib.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct JSONNodeDeleter {
    void operator()(JsonNode* node) const { json_node_unref(node); }
};
using JSONNodePtr = std::unique_ptr<JsonNode, JSONNodeDeleter>;

// Parses a text whose top value is an object; null when it is anything else.
JSONNodePtr parseJSONObject(std::string_view);
std::string serializeJSON(JsonNode*, bool pretty = false);

// Members of an object by name. A member that is missing or of another type gives the fallback, never an error.
std::string jsonString(JsonObject*, const char* name, std::string_view fallback = {});
double jsonNumber(JsonObject*, const char* name, double fallback = 0);
bool jsonBoolean(JsonObject*, const char* name, bool fallback = false);
JsonObject* jsonObject(JsonObject*, const char* name);
JsonArray* jsonArray(JsonObject*, const char* name);
std::vector<std::string> jsonStrings(JsonObject*, const char* name);
// Object at an index, or null.
JsonObject* jsonObjectAt(JsonArray*, unsigned index);

// Builds an object and serializes it; a thin owner of JsonBuilder.
class JSONWriter {
public:
    JSONWriter()
        : m_builder(json_builder_new())
    {
    }
    ~JSONWriter() { g_object_unref(m_builder); }
    JSONWriter(const JSONWriter&) = delete;
    JSONWriter& operator=(const JSONWriter&) = delete;

    JSONWriter& beginObject(const char* name = nullptr);
    JSONWriter& endObject();
    JSONWriter& beginArray(const char* name = nullptr);
    JSONWriter& endArray();
    JSONWriter& add(const char* name, std::string_view);
    JSONWriter& add(const char* name, const char* value) { return add(name, std::string_view(value)); }
    JSONWriter& add(const char* name, double);
    JSONWriter& add(const char* name, int64_t);
    JSONWriter& add(const char* name, uint64_t value) { return add(name, static_cast<int64_t>(value)); }
    JSONWriter& add(const char* name, uint32_t value) { return add(name, static_cast<int64_t>(value)); }
    JSONWriter& add(const char* name, int value) { return add(name, static_cast<int64_t>(value)); }
    JSONWriter& add(const char* name, bool);
    JSONWriter& addString(std::string_view);
    JSONWriter& addStrings(const char* name, const std::vector<std::string>&);
    std::string finish(bool pretty = false);

private:
    void setName(const char* name);

    JsonBuilder* m_builder;
};

} // namespace shallot
