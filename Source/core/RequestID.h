#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace shallot {

// 128-bit identifier that a request keeps over all its hops.
struct RequestID {
    uint64_t high { 0 };
    uint64_t low { 0 };

    auto operator<=>(const RequestID&) const = default;
};

// Returns an identifier from the system's random number generator. It cannot be guessed, so it also serves as an egress token.
// Aborts the process when the generator fails.
RequestID makeRandomRequestID();
std::string toHex(RequestID);
// Parses 32 hexadecimal digits; returns the zero identifier for any other text.
RequestID requestIDFromHex(std::string_view);

struct RequestIDHash {
    size_t operator()(RequestID id) const noexcept { return std::hash<uint64_t>()(id.high ^ (id.low * 0x9e3779b97f4a7c15ULL)); }
};

} // namespace shallot
