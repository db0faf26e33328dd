#include "core/RequestID.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <sys/random.h>

namespace shallot {

RequestID makeRandomRequestID()
{
    RequestID id;
    // getrandom() never returns fewer than 16 bytes once the entropy pool is ready. Without random bytes there is no safe way to
    // continue.
    if (getrandom(&id, sizeof(id), 0) != static_cast<ssize_t>(sizeof(id)))
        std::abort();
    return id;
}

std::string toHex(RequestID id)
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(id.high),
        static_cast<unsigned long long>(id.low));
    return text.data();
}

RequestID requestIDFromHex(std::string_view text)
{
    RequestID id;
    if (text.size() != 32)
        return {};
    const auto high = std::from_chars(text.data(), text.data() + 16, id.high, 16);
    const auto low = std::from_chars(text.data() + 16, text.data() + 32, id.low, 16);
    if (high.ptr != text.data() + 16 || low.ptr != text.data() + 32)
        return {};
    return id;
}

} // namespace shallot
