#include "core/JSON.h"

namespace shallot {

namespace {

JsonNode* memberOfType(JsonObject* object, const char* name, JsonNodeType type)
{
    JsonNode* node = object ? json_object_get_member(object, name) : nullptr;
    return node && json_node_get_node_type(node) == type ? node : nullptr;
}

} // namespace

JSONNodePtr parseJSONObject(std::string_view text)
{
    JsonParser* parser = json_parser_new();
    JSONNodePtr result;
    if (json_parser_load_from_data(parser, text.data(), static_cast<gssize>(text.size()), nullptr)) {
        JsonNode* root = json_parser_get_root(parser);
        if (root && JSON_NODE_HOLDS_OBJECT(root))
            result.reset(json_node_ref(root));
    }
    g_object_unref(parser);
    return result;
}

std::string serializeJSON(JsonNode* node, bool pretty)
{
    char* text = json_to_string(node, pretty);
    std::string result(text);
    g_free(text);
    return result;
}

std::string jsonString(JsonObject* object, const char* name, std::string_view fallback)
{
    JsonNode* node = memberOfType(object, name, JSON_NODE_VALUE);
    if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
        return std::string(fallback);
    return json_node_get_string(node);
}

double jsonNumber(JsonObject* object, const char* name, double fallback)
{
    JsonNode* node = memberOfType(object, name, JSON_NODE_VALUE);
    if (!node)
        return fallback;
    const GType type = json_node_get_value_type(node);
    return type == G_TYPE_INT64 || type == G_TYPE_DOUBLE ? json_node_get_double(node) : fallback;
}

bool jsonBoolean(JsonObject* object, const char* name, bool fallback)
{
    JsonNode* node = memberOfType(object, name, JSON_NODE_VALUE);
    return node && json_node_get_value_type(node) == G_TYPE_BOOLEAN ? json_node_get_boolean(node) : fallback;
}

JsonObject* jsonObject(JsonObject* object, const char* name)
{
    JsonNode* node = memberOfType(object, name, JSON_NODE_OBJECT);
    return node ? json_node_get_object(node) : nullptr;
}

JsonArray* jsonArray(JsonObject* object, const char* name)
{
    JsonNode* node = memberOfType(object, name, JSON_NODE_ARRAY);
    return node ? json_node_get_array(node) : nullptr;
}

std::vector<std::string> jsonStrings(JsonObject* object, const char* name)
{
    std::vector<std::string> result;
    JsonArray* array = jsonArray(object, name);
    const unsigned length = array ? json_array_get_length(array) : 0;
    for (unsigned i = 0; i < length; ++i) {
        JsonNode* node = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_STRING)
            result.emplace_back(json_node_get_string(node));
    }
    return result;
}

JsonObject* jsonObjectAt(JsonArray* array, unsigned index)
{
    JsonNode* node = json_array_get_element(array, index);
    return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : nullptr;
}

void JSONWriter::setName(const char* name)
{
    if (name)
        json_builder_set_member_name(m_builder, name);
}

JSONWriter& JSONWriter::beginObject(const char* name)
{
    setName(name);
    json_builder_begin_object(m_builder);
    return *this;
}

JSONWriter& JSONWriter::endObject()
{
    json_builder_end_object(m_builder);
    return *this;
}

JSONWriter& JSONWriter::beginArray(const char* name)
{
    setName(name);
    json_builder_begin_array(m_builder);
    return *this;
}

JSONWriter& JSONWriter::endArray()
{
    json_builder_end_array(m_builder);
    return *this;
}

JSONWriter& JSONWriter::add(const char* name, std::string_view value)
{
    setName(name);
    return addString(value);
}

JSONWriter& JSONWriter::add(const char* name, double value)
{
    setName(name);
    json_builder_add_double_value(m_builder, value);
    return *this;
}

JSONWriter& JSONWriter::add(const char* name, int64_t value)
{
    setName(name);
    json_builder_add_int_value(m_builder, value);
    return *this;
}

JSONWriter& JSONWriter::add(const char* name, bool value)
{
    setName(name);
    json_builder_add_boolean_value(m_builder, value);
    return *this;
}

JSONWriter& JSONWriter::addString(std::string_view value)
{
    json_builder_add_string_value(m_builder, std::string(value).c_str());
    return *this;
}

JSONWriter& JSONWriter::addStrings(const char* name, const std::vector<std::string>& values)
{
    beginArray(name);
    for (const auto& value : values)
        addString(value);
    return endArray();
}

std::string JSONWriter::finish(bool pretty)
{
    JSONNodePtr root(json_builder_get_root(m_builder));
    return serializeJSON(root.get(), pretty);
}

} // namespace shallot
