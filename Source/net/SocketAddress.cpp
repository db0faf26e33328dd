#include "net/SocketAddress.h"

#include <charconv>
#include <gio/gio.h>

namespace shallot {

std::string SocketAddress::toString() const
{
    const bool isIPv6 = host.find(':') != std::string::npos;
    return (isIPv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

Result<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(ErrorKind::BadRequest, "\"" + std::string(text) + "\" is not IP:port");
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const auto portText = text.substr(colon + 1);
    SocketAddress address { std::string(host), 0 };
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), address.port);
    const bool isPort = parsed.ec == std::errc() && parsed.ptr == portText.data() + portText.size();
    if (!isPort || !g_hostname_is_ip_address(address.host.c_str()))
        return fail(ErrorKind::BadRequest, "\"" + std::string(text) + "\" is not IP:port");
    return address;
}

GSocketAddress* makeGSocketAddress(const SocketAddress& address)
{
    return g_inet_socket_address_new_from_string(address.host.c_str(), address.port);
}

} // namespace shallot
