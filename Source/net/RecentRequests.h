#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace shallot {

// The identifiers of requests that were sent on a connection and may be sent again. Holds 16 bytes for each; two identifiers with
// the same hash are not told apart.
class RecentRequests {
public:
    // `until`: when the request can no longer be sent again.
    void record(std::string_view identifier, TimePoint until, TimePoint now);
    bool contains(std::string_view identifier, TimePoint now) const;
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        uint64_t hash { 0 };
        TimePoint until {};
    };

    void dropExpired(TimePoint now);

    std::vector<Entry> m_entries;
    size_t m_sizeAtNextDrop { 0 };
};

} // namespace shallot
