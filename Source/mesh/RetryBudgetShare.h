#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace shallot {

struct MeshSettings;

// Origin of a request.
enum class RequestOrigin : uint8_t {
    Caller,        // The request is the root of a call graph
    BackendServer, // A nested call, made on behalf of another request
};

// One daemon's share of the retries that the fleet may send to a service, for the requests of one origin. Designed for services
// that fail at every level of a call graph at once: a retried run makes its nested calls again, and those count as retries at the
// services below. Unused budget decays quickly, so that many daemons cannot spend at once what each of them has accumulated. A
// daemon with a budget of less than one retry may send one with that probability.
class RetryBudgetShare {
public:
    RetryBudgetShare(const MeshSettings&, RequestOrigin, uint64_t seed);

    // A first attempt of a request to the service was sent by this daemon.
    void recordRequest(TimePoint now);
    // Takes one retry from the budget if there is one. `members`: number of daemons in the fleet.
    bool tryTake(size_t members, TimePoint now);

private:
    void decay(TimePoint now);

    const MeshSettings& m_settings;
    double m_fraction;
    double m_earned { 0 }; // Retries earned by recent requests, decaying
    double m_spent { 0 };  // Recent retries, decaying
    TimePoint m_decayedAt {};
    std::minstd_rand m_random;
};

} // namespace shallot
