#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace shallot {

// 128-bit identifier that one request keeps over all of its hops.
struct RequestID {
    uint64_t high { 0 };
    uint64_t low { 0 };

    auto operator<=>(const RequestID&) const = default;
};

// Draws an identifier from the system's random source; unguessable, so it also serves as an egress token.
RequestID makeRandomRequestID();
std::string toHex(RequestID);
// Returns the zero identifier when the text is not 32 hexadecimal digits.
RequestID requestIDFromHex(std::string_view);

struct RequestIDHash {
    size_t operator()(RequestID id) const noexcept { return std::hash<uint64_t>()(id.high ^ (id.low * 0x9e3779b97f4a7c15ULL)); }
};

} // namespace shallot
