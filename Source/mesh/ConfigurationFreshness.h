#pragma once

#include "core/Time.h"

#include <algorithm>

namespace shallot {

// Time at which this daemon's configuration was last confirmed to be the newest. API keys are accepted only while that time is
// recent: a daemon that cannot confirm its configuration must assume that the key has been withdrawn.
struct ConfigurationFreshness {
    TimePoint confirmedAt {}; // Zero: never confirmed

    // A request sent at `requestedAt` found no newer configuration. An earlier time than the recorded one has no effect.
    void confirm(TimePoint requestedAt) { confirmedAt = std::max(confirmedAt, requestedAt); }
    bool isFresh(TimePoint now, Duration maximumAge) const
    {
        return confirmedAt != TimePoint() && now - confirmedAt < maximumAge;
    }
};

} // namespace shallot
