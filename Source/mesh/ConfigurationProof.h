#pragma once

#include "core/Time.h"

#include <algorithm>

namespace shallot {

// When this daemon last knew for certain that its configuration was the newest. A key is honoured only while that is recent:
// a daemon that cannot ask must assume that the key was withdrawn.
struct ConfigurationProof {
    TimePoint provenAt {}; // Zero: never

    // The question was sent at `asked`; its answer showed nothing newer.
    void record(TimePoint asked) { provenAt = std::max(provenAt, asked); }
    bool isFresh(TimePoint now, Duration staleness) const { return provenAt != TimePoint() && now - provenAt < staleness; }
};

} // namespace shallot
