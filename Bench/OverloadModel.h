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

// Overload control mechanisms that are enabled in a run.
enum class Mechanisms : uint8_t {
    None = 0,
    Queue = 1 << 0,           // Bounded queues by class and organisation; expired requests are dropped before they run
    Levels = 1 << 1,          // Each service sheds load by its admission level
    IngressShedding = 1 << 2, // Responses carry the levels of downstream services, and ingress sheds by them
    RetryControl = 1 << 3,    // Retry tokens per request and a retry budget per daemon
    Limits = 1 << 4,          // Ingress limits each organisation to its rate
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

// A service of the call chain; each service calls the next one.
struct ServiceShape {
    std::string name;
    uint32_t endpoints { 3 };
    uint32_t slots { 35 }; // Of each endpoint
    double workMs { 5 };   // Service time of a request, without nested calls
};

// The requests of one priority class.
struct ClassShape {
    uint8_t priority { 3 };
    double weight { 1 };   // Value of one request that is served in time
    double share { 0.25 }; // Fraction of the demand
};

struct Scenario {
    std::vector<ServiceShape> chain;
    std::vector<ClassShape> classes;
    double capacity { 0 };    // Requests per second that the bottleneck service completes while healthy; 0: computed
    double demand { 0.7 };    // As a multiple of the capacity
    double surgeDemand { 3 }; // During the surge, as a multiple of the capacity
    Duration surgeStart { 5s };
    Duration surgeEnd { 15s };
    Duration end { 25s };
    double slowdownFactor { 1 }; // Factor on the service time of the last service during the surge
    Duration timeLimit { 500ms };
    int resends { 2 };               // How often a caller resends a failed request, without backoff
    int hopRetries { 3 };            // Retries at each hop, without retry control
    bool lastServiceFails { false }; // The last service fails every request during the surge
    uint32_t organisations { 8 };
    uint32_t noisyOrganisationFactor { 0 }; // Rate of organisation 0 as a multiple of each other's; 0 is taken as 1
};

struct ScenarioResult {
    double goodput { 0 };                // Weighted value served during the surge, over the maximum that the capacity allows
    double unweightedGoodput { 0 };      // The same without weights
    double topClassSuccess { 0 };        // Fraction of the top class's requests that were served, including resends
    double recoverySeconds { 0 };        // From the end of the surge until goodput is back at 95% of the demand
    double worstOrganisationRatio { 0 }; // Requests served of the worst-served organisation in the surge, over its fair share
    double amplification { 0 };          // Executions at the last service per request that reached ingress, in the surge
    std::vector<double> timeline;        // Requests served in each interval of 100 ms
};

// Runs the production policy classes against simulated backend servers and callers, in simulated time.
ScenarioResult runScenario(const Scenario&, Mechanisms, uint32_t seed);

// Throughput of the bottleneck service in requests per second, when each request passes each service once.
double healthyCapacity(const std::vector<ServiceShape>&);

} // namespace shallot
