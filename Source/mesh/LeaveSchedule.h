#pragma once

#include "core/Time.h"

namespace shallot {

// How long a daemon that leaves goes on sending requests to its backend server.
struct LeaveSchedule {
    TimePoint callersGoneAt {};  // The process may end from here on
    TimePoint endBy {};          // What still runs then is ended
    Duration runTime {};         // Within which most runs end
    bool isLastInZone { false }; // No other backend server of its service is in use in its availability zone
};

// When the last run may begin; not after `now` if none may.
TimePoint lastRunStart(const LeaveSchedule&, TimePoint now);

} // namespace shallot
