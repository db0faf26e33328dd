#include "core/JSON.h"

#include <algorithm>
#include <cctype>

namespace shallot {

namespace {

constexpr int maximumDepth = 64; // Of objects and arrays in one another; the platform's documents have fewer than ten levels

bool isOutsideStrings(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) || std::string_view("{}[]:,+-. \t\r\n").find(c) != std::string_view::npos;
}

bool isHexNumber(std::string_view text)
{
    return text.size() == 4 && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

// Returns the length of the escape sequence at the beginning of the text; zero if it is invalid.
size_t escapeLength(std::string_view text)
{
    if (!text.substr(1).starts_with('u'))
        return 2;
    constexpr size_t length = 6;
    const auto digits = text.substr(2).substr(0, 4);
    if (!isHexNumber(digits))
        return 0;
    const auto kind = static_cast<char>(std::tolower(static_cast<unsigned char>(digits[1])));
    const bool isSurrogate = (digits[0] == 'd' || digits[0] == 'D') && kind >= '8';
    if (!isSurrogate)
        return length;
    const auto second = text.substr(length);
    const bool isPair = kind < 'c' && second.starts_with("\\u") && isHexNumber(second.substr(2).substr(0, 4));
    return isPair ? 2 * length : 0;
}

// json-glib parses recursively without a limit, and a text that exhausts the stack would end the process. It also reads texts
// that are no JSON, such as comments and cut escape sequences, in which this scan would lose count of the levels.
bool isFlatEnough(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (size_t i = 0; i < text.size() && depth <= maximumDepth; ++i) {
        const char c = text[i];
        if (c == '"') {
            isInString = !isInString;
        } else if (isInString && c == '\\') {
            const auto length = escapeLength(text.substr(i));
            if (!length)
                return false;
            i += length - 1;
        } else if (!isInString) {
            if (!isOutsideStrings(c))
                return false;
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= c == '}' || c == ']' ? 1 : 0;
        }
    }
    return depth <= maximumDepth;
}

JsonNode* memberOfType(JsonObject* object, const char* name, JsonNodeType type)
{
    JsonNode* node = object ? json_object_get_member(object, name) : nullptr;
    return node && json_node_get_node_type(node) == type ? node : nullptr;
}

} // namespace

JSONNodePtr parseJSONObject(std::string_view text)
{
    if (!isFlatEnough(text))
        return nullptr;
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
