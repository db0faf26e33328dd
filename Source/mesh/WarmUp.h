#pragma once

#include "core/Time.h"
#include "mesh/ColdStart.h"

#include <cstdint>
#include <optional>

namespace shallot {

struct MeshSettings;

// The requests per second that the backend server may get while it is cold and until it has warmed up. A cold one crashes when it
// gets many more than it takes, comes back cold and would crash again. Its own daemon sees all requests to it, so the rate holds
// whatever other daemons know.
class WarmUp {
public:
    explicit WarmUp(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    void setColdStart(const ColdStart& coldStart) { m_coldStart = coldStart; }
    bool isLimitedByService() const { return m_coldStart.requestsPerSecond > 0; }
    // The backend server announces how much longer it stays cold. An announcement may be late, so it never ends a cold state.
    void recordAnnouncement(Duration coldFor, TimePoint now);
    // The same by a response to a probe sent at that time.
    void recordProbe(Duration coldFor, TimePoint sentAt, TimePoint now);
    // It may have become cold since anything was heard of it: it counts as cold until a probe sent later is answered.
    void recordUnknown(TimePoint now);
    // Another run is at the address, which says how cold it is.
    void reset();

    bool isUnknown() const { return m_unknownSince.has_value(); }
    // Time until it is warm; zero if it is, or if nothing is known.
    Duration coldFor(TimePoint now) const;
    // `capacity`: requests per second that the backend server takes once it is warm. Empty: any number.
    std::optional<double> rateLimit(double capacity, TimePoint now) const;
    // Time until the rate limit changes by itself; empty if it does not.
    std::optional<Duration> nextChangeIn(double capacity, TimePoint now) const;
    // Limits `coldFor` to what the service allows. Returns whether it was within that.
    bool limit(Duration& coldFor) const;

private:
    unsigned rampSteps(TimePoint now) const;

    const MeshSettings& m_settings;
    ColdStart m_coldStart;
    std::optional<TimePoint> m_coldUntil;    // Of the last cold state; the ramp follows
    std::optional<TimePoint> m_unknownSince;
};

} // namespace shallot
