#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

typedef struct _GSocketAddress GSocketAddress;

namespace shallot {

// An IP address and a port. Host names are not supported.
struct SocketAddress {
    std::string host { "127.0.0.1" };
    uint16_t port { 0 };

    std::string toString() const;
};

// Parses "IP:port" or "[IPv6]:port"; BadRequest for any other text.
Result<SocketAddress> parseSocketAddress(std::string_view);
// The caller owns the result; null when the host is not an IP address.
GSocketAddress* makeGSocketAddress(const SocketAddress&);

} // namespace shallot
