#include "mesh/LeaveSchedule.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr int runTimeReserve = 2;                    // Times the time within which most runs end, for the others
constexpr auto endReserve = std::chrono::seconds(1); // Free of new runs in any case

} // namespace

// A backend server is out of use from its last start until its next daemon is there. Runs that end when the callers are gone
// delay the end of the process by nothing, and later ones shift that time without a gain, unless others are out of use now.
TimePoint lastRunStart(const LeaveSchedule& schedule, TimePoint now)
{
    const auto latest = schedule.endBy - runTimeReserve * schedule.runTime - endReserve;
    const auto regular = std::min(latest, schedule.callersGoneAt - schedule.runTime);
    return std::max(now, schedule.isLastInZone ? latest : regular);
}

} // namespace shallot
