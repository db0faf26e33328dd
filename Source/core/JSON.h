#pragma once

#include "core/Numbers.h"

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

// Parses a JSON text whose root is an object; null for any other text and for one of more than 64 levels.
JSONNodePtr parseJSONObject(std::string_view);
std::string serializeJSON(JsonNode*, bool pretty = false);

// Members of an object by name. Returns the fallback (or null, or an empty list) for a member that is missing or has another
// type.
std::string jsonString(JsonObject*, const char* name, std::string_view fallback = {});
double jsonNumber(JsonObject*, const char* name, double fallback = 0);
template <std::integral Integer> Integer jsonInteger(JsonObject* object, const char* name, Integer fallback = 0)
{
    return saturatedCast<Integer>(jsonNumber(object, name, static_cast<double>(fallback)));
}
bool jsonBoolean(JsonObject*, const char* name, bool fallback = false);
JsonObject* jsonObject(JsonObject*, const char* name);
JsonArray* jsonArray(JsonObject*, const char* name);
std::vector<std::string> jsonStrings(JsonObject*, const char* name);
// The element at the index, or null if it is not an object. The index must be in range.
JsonObject* jsonObjectAt(JsonArray*, unsigned index);

// Builds a JSON object and serializes it; wraps JsonBuilder.
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
