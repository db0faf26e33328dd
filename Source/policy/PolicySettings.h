#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace shallot {

using namespace std::chrono_literals;

// Every knob of the decisions under load. The defaults serve both deployments of the brief.
struct PolicySettings {
    // Queue beside the backend server
    Duration targetDelay { 20ms };    // Estimated wait above which the queue counts as overloaded
    double queueLengthPerSlot { 4 };  // Bound of the queue, per unit of the concurrency limit
    size_t minimumQueueLength { 32 }; // Bound of the queue of a small backend server

    // Admission level
    Duration levelWindow { 50ms };         // How often the level is set
    double levelAdmittedFraction { 0.97 }; // Part of the measured throughput that is admitted while overloaded
    double levelDecreaseStep { 0.10 };     // How far the level falls in a window without overload
    double levelIdleDecreaseStep { 0.60 }; // How far it falls while slots stand idle
    Duration levelLifetime { 400ms };      // How long a caller trusts a level that an answer carried

    // Concurrency limit
    double coldStartFraction { 0.25 };    // Part of the slots that a fresh backend server gets
    Duration coldStartRamp { 2s };        // Time from that part to all slots
    double limitDecrease { 0.9 };         // Factor after a failed window
    double limitRecoveryStep { 0.05 };    // Part of the slots regained in a good window
    double failureRatioThreshold { 0.2 }; // Share of failed exchanges that makes a window failed

    // Retries
    uint16_t retryTokens { 3 };             // Retries that one request may make over its whole call graph
    double retryDepositPerSuccess { 0.05 }; // Retries earned by one success, so retries vanish under overload
    double retryBalanceMaximum { 5 };       // Retries that a daemon may save up
    uint8_t rerouteMaximum { 2 };           // Other backend servers tried after "not run" refusals

    // Choice of backend server
    Duration refusalPenalty { 100ms }; // How long an endpoint that refused is avoided
    Duration failurePenalty { 2s };    // How long an endpoint that failed is avoided
    double latencyWeight { 0.2 };      // Weight of the newest latency in the average

    // Crashing requests
    uint8_t crashThreshold { 3 };           // Deaths after which a fingerprint is refused
    Duration crashRefusalDuration { 600s }; // How long it is refused
};

} // namespace shallot
