#pragma once

#include "core/Time.h"

#include <cstdint>
#include <vector>

namespace shallot {

// Which requests the backend server has answered lately. The table has a fixed size: of two requests with the same place the
// later one is kept, and a popular request returns to its place with its next answer.
class AnsweredRequests {
public:
    AnsweredRequests();

    // `fingerprint`: see requestFingerprint().
    void record(uint64_t fingerprint, TimePoint now);
    bool contains(uint64_t fingerprint, TimePoint now) const;

private:
    struct Entry {
        uint64_t fingerprint { 0 };
        TimePoint answeredAt {};
    };

    std::vector<Entry> m_entries; // By fingerprint modulo their number
};

} // namespace shallot
