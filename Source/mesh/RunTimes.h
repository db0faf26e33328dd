#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace shallot {

// Times of the latest runs at one backend server.
class RunTimes {
public:
    void record(Duration);
    size_t count() const { return m_count; }
    // The time within which this share (0 to 1) of the latest runs ended; empty if no run is known.
    std::optional<Duration> quantile(double share) const;

private:
    std::array<Duration, 128> m_times {};
    size_t m_count { 0 }; // Of all runs, of which the latest are kept
};

} // namespace shallot
