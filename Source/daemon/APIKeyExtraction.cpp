#include "daemon/APIKeyExtraction.h"

#include <algorithm>
#include <array>
#include <glib.h>
#include <vector>

namespace shallot {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::array<std::string_view, 5> strippedHeaders { "authorization", "x-api-key", "proxy-authorization",
    "x-shallot-token", "x-shallot-deadline-ms" };

std::string decodePercent(std::string_view text)
{
    char* decoded = g_uri_unescape_segment(text.data(), text.data() + text.size(), nullptr);
    std::string result = decoded ? decoded : std::string(text);
    g_free(decoded);
    return result;
}

struct SplitTarget {
    std::string path;
    std::vector<std::string> parameters; // Percent-encoded, as in the query
};

SplitTarget splitTarget(std::string_view target)
{
    SplitTarget split;
    const auto question = target.find('?');
    split.path = target.substr(0, question);
    if (question == std::string_view::npos)
        return split;
    auto query = target.substr(question + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        split.parameters.emplace_back(query.substr(0, end));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return split;
}

std::string keyFromHeaders(const HTTPHeaders& headers)
{
    const auto authorization = findHeader(headers, "Authorization");
    if (authorization.size() > bearer.size() && equalsIgnoringCase(authorization.substr(0, bearer.size()), bearer))
        return std::string(authorization.substr(bearer.size()));
    return std::string(findHeader(headers, "X-Api-Key"));
}

std::string keyFromQuery(const SplitTarget& split)
{
    for (const auto& parameter : split.parameters) {
        if (parameter.starts_with("key="))
            return decodePercent(std::string_view(parameter).substr(4));
    }
    return {};
}

bool containsKey(std::string_view text, const std::string& key)
{
    return text.find(key) != std::string_view::npos || decodePercent(text).find(key) != std::string::npos;
}

void removeHeaders(HTTPHeaders& headers, const std::string& key)
{
    std::erase_if(headers, [&key](const auto& header) {
        const bool isStripped = std::any_of(strippedHeaders.begin(), strippedHeaders.end(),
            [&header](auto name) { return equalsIgnoringCase(header.first, name); });
        return isStripped || (!key.empty() && (containsKey(header.second, key) || containsKey(header.first, key)));
    });
}

std::string joinTarget(SplitTarget split, const std::string& key)
{
    std::erase_if(split.parameters,
        [&key](const auto& parameter) { return parameter.starts_with("key=") || (!key.empty() && containsKey(parameter, key)); });
    std::string target = split.path;
    for (size_t i = 0; i < split.parameters.size(); ++i)
        target += (i ? "&" : "?") + split.parameters[i];
    return target;
}

} // namespace

Result<std::string> extractAPIKey(HTTPRequest& request)
{
    auto split = splitTarget(request.target);
    auto key = keyFromHeaders(request.headers);
    if (key.empty())
        key = keyFromQuery(split);
    removeHeaders(request.headers, key);
    if (!key.empty() && containsKey(split.path, key))
        return fail(ErrorKind::BadRequest, "the path contains the API key; send it in a header instead");
    if (!key.empty() && containsKey(request.body, key))
        return fail(ErrorKind::BadRequest, "the body contains the API key; send it in a header instead");
    request.target = joinTarget(std::move(split), key);
    return key;
}

} // namespace shallot
