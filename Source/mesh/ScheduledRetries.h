#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace shallot {

// Refused requests that were told when to come back, so that they go before new ones when they do.
class ScheduledRetries {
public:
    void add(uint64_t fingerprint, Duration retryAfter, TimePoint now);
    // Whether the request was told to come back; each promise counts once.
    bool consume(uint64_t fingerprint, TimePoint now);

private:
    struct Entry {
        uint64_t fingerprint { 0 };
        TimePoint expiresAt {};
    };

    void expire(TimePoint now);

    std::deque<Entry> m_entries;
    std::unordered_map<uint64_t, uint32_t> m_counts; // Open promises by fingerprint
};

} // namespace shallot
