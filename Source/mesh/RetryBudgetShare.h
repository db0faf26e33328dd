#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace shallot {

struct MeshSettings;

// Who makes a request.
enum class RequestOrigin : uint8_t {
    Caller,        // It stands at the root of a call graph
    BackendServer, // A call made on behalf of another request
};

// One daemon's part of the repeats that the fleet may send to a service, for the requests of one origin. The load it answers:
// services that fail at every level of a call graph at once. A repeated run makes its calls again, and those count as repeats
// at the services below it. What is not used is soon forgotten, so that many daemons cannot spend at once what each of them
// saved; a daemon with less than one repeat to its name may take one with that probability.
class RetryBudgetShare {
public:
    RetryBudgetShare(const MeshSettings&, RequestOrigin, uint64_t seed);

    // A request for the service, sent by this daemon for the first time.
    void recordRequest(TimePoint now);
    // Whether one more repeat may be sent, in a fleet of so many daemons.
    bool tryTake(size_t members, TimePoint now);

private:
    void decay(TimePoint now);

    const MeshSettings& m_settings;
    double m_fraction;
    double m_earned { 0 }; // Repeats, by the requests of late
    double m_spent { 0 };  // Repeats of late beyond those
    TimePoint m_decayedAt {};
    std::minstd_rand m_random;
};

} // namespace shallot
