#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

typedef struct _GSocketAddress GSocketAddress;

namespace shallot {

// An IP number and a port; names are never resolved.
struct SocketAddress {
    std::string host { "127.0.0.1" };
    uint16_t port { 0 };

    std::string toString() const;
};

// BadRequest unless the text is "IP:port".
Result<SocketAddress> parseSocketAddress(std::string_view);
// The caller owns the result; null when the host is not an IP number.
GSocketAddress* makeGSocketAddress(const SocketAddress&);

} // namespace shallot
