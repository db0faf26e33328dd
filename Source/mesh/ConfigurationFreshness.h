#pragma once

#include "core/Time.h"

#include <algorithm>

namespace shallot {

// When this daemon last knew for certain that its configuration was the newest. A key is honoured only while that is recent:
// a daemon that cannot ask must assume that the key was withdrawn.
struct ConfigurationFreshness {
    TimePoint confirmedAt {}; // Zero: never

    // The question was sent at `asked`; its answer showed nothing newer.
    void confirm(TimePoint requestedAt) { confirmedAt = std::max(confirmedAt, requestedAt); }
    bool isFresh(TimePoint now, Duration maximumAge) const
    {
        return confirmedAt != TimePoint() && now - confirmedAt < maximumAge;
    }
};

} // namespace shallot
