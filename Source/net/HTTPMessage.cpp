#include "net/HTTPMessage.h"

#include <array>

namespace shallot {

namespace {

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

constexpr std::array<std::string_view, 11> hopByHopHeaders { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lowerCase(x) == lowerCase(y); });
}

std::string_view findHeader(const HTTPHeaders& headers, std::string_view name)
{
    for (const auto& [headerName, value] : headers) {
        if (equalsIgnoringCase(headerName, name))
            return value;
    }
    return {};
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(
        hopByHopHeaders.begin(), hopByHopHeaders.end(), [name](auto hop) { return equalsIgnoringCase(hop, name); });
}

bool isSafeHeader(std::string_view name, std::string_view value)
{
    const auto isTokenByte = [](unsigned char c) { return c > ' ' && c < 0x7f && c != ':'; };
    const auto isValueByte = [](unsigned char c) { return (c >= ' ' && c != 0x7f) || c == '\t'; };
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenByte)
        && std::all_of(value.begin(), value.end(), isValueByte);
}

} // namespace shallot
