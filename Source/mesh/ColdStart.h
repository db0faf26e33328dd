#pragma once

#include "core/Time.h"

namespace shallot {

// How backend servers of a service must be treated after a start.
struct ColdStart {
    double requestsPerSecond { 0 }; // That a cold one takes; 0: any number
    Duration longest {};            // That one stays cold; 0: not named

    bool operator==(const ColdStart&) const = default;
};

} // namespace shallot
