#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace shallot {

using namespace std::chrono_literals;

// Every knob of the decisions on the platform's path. Figures that a deployment sets replace those marked so.
struct MeshSettings {
    // Placing
    Duration zonePenalty { 40ms };        // Least advantage that makes another zone's backend server worth its traffic
    double zonePenaltyShare { 1.0 };      // The same as a share of the service time
    Duration assumedServiceTime { 50ms }; // Of a backend server that has not answered yet
    double loadKnee { 0.7 };              // Share of the slots above which a backend server counts as slower
    Duration reportLifetime { 2s };       // After it a report says nothing about the load; two announcement intervals
    Duration linkPenalty { 1s };          // How long an unreachable member is avoided, doubled at each failure
    Duration linkPenaltyMaximum { 8s };
    Duration unavailablePenalty { 300ms }; // Before a member without a backend server is asked again
    Duration failurePenalty { 500ms };     // How long a backend server that failed a request is avoided

    // Rerouting and repeats
    unsigned reroutes { 3 };      // Other members asked after refusals that reached no backend server
    double retryShare { 0.2 };    // Deployment: repeats a service may get, as a share of its requests
    double retryAllowance { 40 }; // Deployment: repeats beyond that share, over all daemons
    // Parts of both that are used. A repeated run makes its calls again, and those count as repeats at the services below; with
    // calls three deep these parts stay within the whole at the deepest one even if all levels use theirs up.
    double retryFractionAtRoot { 0.1 };
    double retryFractionOfCalls { 0.2 };
    Duration retryBudgetDecayTime {
        2500ms
    }; // After it a repeat that was not used is forgotten; a quarter of the window that is counted

    // Queue beside the backend server
    double slotShare { 0.95 };           // Part of the slots that is used; some backend servers slow down beyond it
    Duration retryAfterMinimum { 30ms }; // Shorter than any target latency
    Duration retryAfterMaximum { 2s };   // A third of the time that the most patient callers have
    double retryAfterShare { 0.5 };      // Of the target latency: a request that returns later is late even if it is served
    double serviceTimeWeight { 0.05 };   // Weight of the newest run in the average
    Duration maximumIdleForNonIdempotent {
        500ms
    };                                       // A request that may run only once goes on no connection that stood idle for longer
    Duration staleConnectionWindow { 20ms }; // A connection that breaks so soon had been dropped before; shorter than any run
    Duration announcementTimeout { 5s };     // Silent for three announcement intervals: gone

    // Shedding at the root of a call graph
    Duration pressureTarget { 20ms };     // Wait at a service below that is no sign of overload; half of a short run
    Duration pressureWindow { 200ms };    // Between two changes of a limit; about half of a call graph's time
    double pressureDecreaseFloor { 0.6 }; // Largest cut in one window
    double pressureIncrease { 1.08 };     // Growth in a window without pressure
    Duration pressureLifetime { 1s };     // A pressure not renewed for longer is gone
    double scheduledRetryShare { 1.25 };  // Of the limit, for requests that come back as they were told

    // Keys
    Duration keyStaleness { 5s };          // Deployment: how long a withdrawn key may still work
    Duration keyStalenessMargin { 400ms }; // For the time between the check and the arrival at the backend server

    // Knowledge of the configuration: a change has to be in force everywhere within 2 s
    size_t readersPerZone { 1 };                // Members that hold a read at the store; the others ask these
    Duration readHold { 700ms };                // How long that read waits for news
    Duration syncInterval { 450ms };            // How often the others ask
    Duration syncRequestTimeout { 300ms };      // Of a question; tens of times the way within a zone
    Duration maximumConfirmationAge { 1400ms }; // Oldest proof that a member is content with: hold, interval and the way
    Duration fallbackReadInterval { 1s }; // How often a member without a fresh proof reads by itself; others may know sooner
    Duration readerPenalty { 3s };        // How long a member whose knowledge was older is not taken for a reader
    size_t randomSyncTargets { 3 };       // Members asked at once while no reader's answer is fresh
    Duration comparisonInterval { 2s };   // Between two comparisons of a reader's member list with another zone's
    Duration probeInterval { 1s };        // Between two questions to members of the zone that were lost
    Duration repairInterval { 2s };       // Least time between two readings of the whole member list

    // Organisations' rates
    unsigned ledgerCount { 4 }; // Parts into which organisations are dealt; each part's ledger is kept by one member
    Duration ledgerHeartbeatInterval { 250ms }; // How often each ledger hears of each member
    Duration shareLease { 600ms };              // A member not heard of for two greetings uses its own part
    Duration ledgerIdleTimeout { 300ms };       // A ledger that nobody greeted for longer was replaced by another meanwhile
    Duration unreachableMemberExpiry { 30s };   // A member unreachable for longer than any cut so far holds no part of a rate
    unsigned maximumLedgerTimeouts { 3 };       // In a row, after which a ledger counts as unreachable
    Duration ledgerRequestTimeout { 60ms };     // Of a question to a ledger; tens of times the way between zones
};

} // namespace shallot
