#pragma once

#include "core/Time.h"

#include <cstdint>
#include <optional>

namespace shallot {

// Load of one backend server as measured by its local daemon. Sent with every response.
struct EndpointReport {
    bool available { true };         // Accepts new requests
    uint32_t running { 0 };          // Requests that the backend server is running
    uint32_t queued { 0 };           // Requests that wait in the daemon's queue
    uint32_t limit { 1 };            // Requests that may run concurrently
    Duration serviceTime {};         // Average time of a run; 0 before the first run
    std::optional<double> rateLimit; // Requests per second that the backend server takes; empty: any number
    Duration rateWait {};            // Time until that limit allows one more request behind those that wait
    Duration pressure {};            // Longest queueing time of the call answered, here or in the services called on its behalf
    double recentRuns { 1000 };      // Runs that the service time is known from, older ones counted less
    Duration takesRunsFor {};        // Of a daemon that leaves: how much longer its backend server takes requests
    double pace { 0 };               // How long work takes on its machine now, 1 as usual; 0: not known
    Duration paceAge {};             // Since the backend server said so
    double retryLevel { 0 };         // Highest score below which services on the path of the call give out no retry budget
    bool keepsRetryBudget { false }; // Its daemon admits repeats by the budget of the service
    bool leaving { false };          // The daemon is shutting down; set only in reports sent by themselves, not with responses
};

} // namespace shallot
