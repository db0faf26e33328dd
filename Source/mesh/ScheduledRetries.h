#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace shallot {

// Refused requests that were given a retry time, so that they take precedence over new requests when they return.
class ScheduledRetries {
public:
    void add(uint64_t fingerprint, Duration retryAfter, TimePoint now);
    // Whether the request is an expected retry. Removes its entry, so that each refusal counts once.
    bool consume(uint64_t fingerprint, TimePoint now);

private:
    struct Entry {
        uint64_t fingerprint { 0 };
        TimePoint expiresAt {};
    };

    void expire(TimePoint now);

    std::deque<Entry> m_entries;
    std::unordered_map<uint64_t, uint32_t> m_counts; // Entries by fingerprint
};

} // namespace shallot
