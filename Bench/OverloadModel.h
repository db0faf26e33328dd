#pragma once

#include "core/RequestContext.h"
#include "daemon/DownstreamLevels.h"
#include "limits/TokenBucket.h"
#include "policy/AdmissionLevel.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/FairScore.h"
#include "policy/PolicySettings.h"
#include "policy/RequestQueue.h"
#include "policy/RetryBudget.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace shallot {

// Which mechanisms of the policy are on in one run.
enum class Mechanisms : uint8_t {
    None = 0,
    Queue = 1 << 0,           // Bounded queues by class and organisation, and requests too late are dropped before they run
    Levels = 1 << 1,          // Each service sheds by its admission level
    IngressShedding = 1 << 2, // Levels travel back on answers, and ingress sheds by them
    RetryControl = 1 << 3,    // Retry tokens for the whole request, and the retry budget
    Limits = 1 << 4,          // Each organisation is held to its rate at ingress
    All = Queue | Levels | IngressShedding | RetryControl | Limits,
};

constexpr Mechanisms operator|(Mechanisms a, Mechanisms b)
{
    return static_cast<Mechanisms>(static_cast<int>(a) | static_cast<int>(b));
}
constexpr Mechanisms without(Mechanisms a, Mechanisms b)
{
    return static_cast<Mechanisms>(static_cast<int>(a) & ~static_cast<int>(b));
}
constexpr bool has(Mechanisms set, Mechanisms one)
{
    return static_cast<int>(set) & static_cast<int>(one);
}

// One service of the chain; each calls the next one.
struct ServiceShape {
    std::string name;
    uint32_t endpoints { 3 };
    uint32_t slots { 35 }; // Of each endpoint
    double workMs { 5 };   // Own work of one request, without onward calls
};

// Callers of one class.
struct ClassShape {
    uint8_t priority { 3 };
    double weight { 1 };   // Worth of one request delivered once and in time
    double share { 0.25 }; // Of the demand
};

struct Scenario {
    std::vector<ServiceShape> chain;
    std::vector<ClassShape> classes;
    double capacity { 0 };    // Requests a second that the narrowest service completes while healthy
    double demand { 0.7 };    // In units of the capacity
    double surgeDemand { 3 }; // During the surge
    Duration surgeStart { 5s };
    Duration surgeEnd { 15s };
    Duration end { 25s };
    double slowdownFactor { 1 }; // Work of the last service during the surge, in units of its normal work
    Duration timeLimit { 500ms };
    int resends { 2 };               // How often a caller sends a failed request again at once
    int hopRetries { 3 };            // Without retry control: retries at each hop
    bool lastServiceFails { false }; // The last service answers every request with an error during the surge
    uint32_t organisations { 8 };
    uint32_t noisyOrganisationFactor { 0 }; // 1 and more: organisation 0 sends this many times the rate of the others
};

struct ScenarioResult {
    double goodput { 0 };                // Weighted worth a second during the surge, in units of what the capacity allows
    double unweightedGoodput { 0 };      // Unweighted
    double topClassSuccess { 0 };        // Part of the top class's requests that were delivered, resends included
    double recoverySeconds { 0 };        // After the surge, until goodput is back at 95% of the demand
    double worstOrganisationRatio { 0 }; // Served in the surge by the worst-served organisation, over its fair share
    double amplification { 0 };          // Runs at the last service per request that reached ingress, in the surge
    std::vector<double> timeline;        // Requests delivered in each tenth of a second
};

// Runs the policy's own tables against fakes of backend servers and callers, in simulated time.
ScenarioResult runScenario(const Scenario&, Mechanisms, uint32_t seed);

// The narrowest service's throughput, one request passing each service once.
double healthyCapacity(const std::vector<ServiceShape>&);

} // namespace shallot
