#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace shallot {

using namespace std::chrono_literals;

// Parameters of all overload control decisions. The defaults suit both deployments.
struct PolicySettings {
    // Queue beside the backend server
    Duration targetDelay { 20ms };    // Estimated queueing delay above which the service counts as overloaded
    double queueLengthPerSlot { 4 };  // Maximum queue length per unit of the concurrency limit
    size_t minimumQueueLength { 32 }; // Lower bound of the maximum queue length, for small backend servers

    // Admission level
    Duration levelWindow { 50ms };         // Interval between adjustments of the level
    double levelAdmittedFraction { 0.97 }; // Fraction of the measured throughput that is admitted while overloaded
    double levelDecreaseStep { 0.10 };     // Decrease of the level per window without overload
    double levelIdleDecreaseStep { 0.60 }; // Decrease per window with idle slots
    Duration levelLifetime { 400ms };      // How long a calling daemon uses a level that a response carried

    // Concurrency limit
    double coldStartFraction { 0.25 };    // Fraction of the slots that a newly started backend server gets
    Duration coldStartRamp { 2s };        // Time from that fraction to all slots
    double limitDecrease { 0.9 };         // Factor on the limit after a failed window
    double limitRecoveryStep { 0.05 };    // Fraction of the slots regained per window without failure
    double failureRatioThreshold { 0.2 }; // Ratio of failed exchanges above which a window counts as failed

    // Retries
    uint16_t retryTokens { 3 };             // Retries that one request may use over its whole call graph
    double retryDepositPerSuccess { 0.05 }; // Retries earned per success, so that retries cease under overload
    double retryBalanceMaximum { 5 };       // Maximum balance of retries per daemon
    uint8_t rerouteMaximum { 2 };           // Other backend servers tried after refusals that did not run the request

    // Load balancing
    Duration refusalPenalty { 100ms }; // How long an endpoint is avoided after a refusal
    Duration failurePenalty { 2s };    // How long an endpoint is avoided after a failure
    double latencyWeight { 0.2 };      // Weight of the latest latency in the moving average

    // Crashing requests
    uint8_t crashThreshold { 3 };           // Crashes after which a fingerprint is refused
    Duration crashRefusalDuration { 600s }; // How long it is refused after its last crash
};

} // namespace shallot
