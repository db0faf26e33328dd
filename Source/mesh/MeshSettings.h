#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace shallot {

using namespace std::chrono_literals;

// Parameters of all decisions on the request path. Those marked "deployment" are overridden by the deployment's settings.
struct MeshSettings {
    // Endpoint choice
    Duration zonePenalty { 40ms };        // Least time saved that justifies the traffic to another zone's backend server
    double zonePenaltyShare { 1.0 };      // The same as a fraction of the service time; the larger of the two applies
    Duration assumedServiceTime { 50ms }; // Of a backend server without measurements
    double loadKnee { 0.7 };              // Fraction of the slots in use above which the expected time rises with the load
    Duration reportLifetime { 2s };       // An older load report is ignored; two announcement intervals
    // Senders average a service time, weighted by the recent runs that it is known from, with the shortest one of the service,
    // weighted as this many runs.
    double assumedRuns { 20 };
    Duration runsLifetime { 500ms }; // Time constant at which a run stops to count as a recent one
    Duration linkPenalty { 1s };     // How long an unreachable member is avoided, doubled at each failure
    Duration linkPenaltyMaximum { 8s };
    Duration unavailablePenalty { 300ms }; // How long a member without an available backend server is avoided
    Duration leaveSlope { 800ms };         // How long before its last request a leaving member begins to get fewer of them
    Duration failurePenalty { 500ms };     // How long a backend server that failed a request is avoided

    // Rerouting and retries
    unsigned reroutes { 3 };      // Other members tried after refusals that did not reach a backend server
    double retryShare { 0.2 };    // Deployment: retries that a service may receive, as a fraction of its requests
    double retryAllowance { 40 }; // Deployment: retries beyond that fraction, over all daemons and per budget window
    // Fractions of both limits that are used. A retried run makes its nested calls again, and those count as retries at the
    // services below; with calls three levels deep, these fractions keep the deepest service within its full limit even if all
    // levels use up theirs.
    double retryFractionAtRoot { 0.1 };
    double retryFractionOfCalls { 0.2 };
    // Of the share of repeats, where the daemon beside the backend server admits them. Senders that keep budgets of their own
    // need the rest.
    double retryFractionAtBackend { 0.75 };
    double allowanceFractionAtBackend { 0.5 }; // The same of the allowance, divided by the backend servers of the service
    unsigned maximumSendings { 8 };            // Of one request, where backend servers refuse it and their daemons admit repeats
    Duration retryBudgetDecayTime { 2500ms };  // Time constant of the decay of unused budget; a quarter of the budget window

    // Cold backend servers
    Duration warmUpStep { 200ms };          // The rate of one that was cold doubles in each; from 7.5/s to 250/s in one second
    Duration longestColdTime { 60s };       // Where the service names none
    Duration warmUpProbeInterval { 500ms }; // Until a probe that was not answered is repeated

    // Queue of the backend server
    double slotShare { 0.95 };           // Fraction of the slots that is used; some backend servers slow down beyond it
    Duration retryAfterMinimum { 30ms }; // Shorter than any target latency
    Duration retryAfterMaximum { 2s };   // A third of the longest time that callers wait
    double retryAfterShare { 0.5 };      // Fraction of the target latency; a later retry misses the target even if served
    double serviceTimeWeight { 0.05 };   // Weight of the newest run in the moving average
    // A non-idempotent request is not sent on a connection that was idle for longer.
    Duration maximumIdleForNonIdempotent { 500ms };
    // A connection that breaks this soon after a request was sent had been closed before; shorter than any run.
    Duration staleConnectionWindow { 20ms };
    // Of the rate that a backend server names: what may be sent at once after a pause, and the least rate, at which it is asked
    // whether it takes more again. Two requests in four seconds are within what it allows beyond any limit.
    Duration rateLimitBurst { 250ms };
    double minimumRateLimit { 0.5 };
    // Bodies of the requests that wait for the backend server or that it has not answered. While they are received and written
    // they take up to three times as much memory.
    size_t maximumHeldBodyBytes { 40 * 1024 * 1024 };
    size_t maximumResentBodyBytes { 64 * 1024 }; // A larger one is not kept for a resend on a new connection
    // Without an announcement for this long, three announcement intervals, a backend server counts as unavailable.
    Duration announcementTimeout { 5s };

    // Deployment: of the responses that callers have not read; a quarter of the instance's memory, ten of the longest ones on the
    // smallest instance. Then callers that read nothing are cut off.
    size_t maximumUnreadResponseBytes { 40 * 1024 * 1024 };
    static constexpr double unreadResponseShare = 0.25;

    // Deployment: of the responses that are being received from the backend server and of those that wait for a link; then long
    // ones are received one after the other.
    size_t maximumReceivedResponseBytes { 24 * 1024 * 1024 };
    static constexpr double receivedResponseShare = 0.09;

    // Calls whose link has ended
    // Until a call that may run more than once is sent elsewhere if its daemon does not tell what became of it; tens of round
    // trips between zones.
    Duration callQueryTimeout { 200ms };
    // A call that was held up for longer on its way is refused: its sender has dispatched the request elsewhere by then, or its
    // caller may have left. Below the half second after which no work is begun for a caller that has left.
    Duration maximumTransitDelay { 400ms };
    Duration callQueryInterval { 50ms }; // Between two links to a daemon that is asked; below detachedCallLifetime
    // How long a call runs on without a link. Longer than the query takes; a run whose caller left must end within 0.5 s.
    Duration detachedCallLifetime { 300ms };
    // An answer that was sent this long before the end of its link, or later, may not have arrived.
    Duration lostAnswerWindow { 300ms };
    // How long a call is known that its sender was told would not begin.
    Duration refusedCallLifetime { 2s };
    // How much longer than until its deadline a call that ended is known: responses may come shortly after it.
    Duration servedCallMargin { 100ms };
    size_t maximumServedCallRecords { 20'000 };
    size_t maximumKeptOutcomeBytes { 1024 * 1024 };
    // How long ids of a sender's process are remembered; longer than the time limit of any call.
    Duration servedProcessLifetime { 900s };

    // Requests that crash backend servers
    // A run that ended without a response is followed by a probe unless the backend server responds to another one before.
    Duration crashProbeDelay { 50ms };
    unsigned crashProbes { 2 };    // Successive probes on new connections that are closed without a response show a crash
    unsigned crashThreshold { 3 }; // Successive crashes without an answer, after which a request is refused
    Duration crashSuspectLifetime { 600s };  // How long after its last change a record counts
    size_t maximumPublishedSuspects { 256 }; // In one daemon's member record; about 10 KB

    // Load shedding at the root of a call graph
    Duration pressureTarget { 20ms };     // Wait at a service below that does not indicate overload; half of a short run
    Duration pressureWindow { 200ms };    // Between two changes of a limit; about half the duration of a call graph
    double pressureDecreaseFloor { 0.6 }; // Smallest factor by which a limit is cut in one window
    double pressureIncrease { 1.08 };     // Factor by which a limit grows in a window without pressure
    Duration pressureLifetime { 1s };     // An older pressure report is ignored
    double scheduledRetryShare { 1.25 };  // Factor on the limit for requests that return at the time given with their refusal

    // API keys
    Duration keyStaleness { 5s };          // Deployment: how long a withdrawn key may still be accepted
    Duration keyStalenessMargin { 400ms }; // For the time between the check and the arrival at the backend server

    // Synchronisation of configuration and member list: a change must be in force everywhere within 2 s
    size_t readersPerZone { 1 };                // Store readers: members that hold reads at the store; the others sync with them
    Duration readHold { 700ms };                // How long the store holds a read that has no new records
    Duration syncInterval { 450ms };            // Between two sync requests to a store reader
    Duration syncRequestTimeout { 300ms };      // Tens of times the round trip within a zone
    Duration maximumConfirmationAge { 1400ms }; // An older one is stale; covers readHold, syncInterval and the round trip
    // Between two direct store reads of a member without a fresh confirmation; a sync with another member may bring one sooner.
    Duration fallbackReadInterval { 1s };
    Duration readerPenalty { 3s };      // How long a member with a stale configuration is not chosen as store reader
    size_t randomSyncTargets { 3 };     // Members chosen at random for sync requests while no reader's response is fresh
    Duration comparisonInterval { 2s }; // Between two comparisons of a store reader's member list with another zone's
    Duration probeInterval { 1s };      // Between two sync requests to unreachable members of the zone
    Duration repairInterval { 2s };     // Shortest time between two reads of the complete member list
    // Member records that all daemons together store again after the store lost them; a quarter of what the users' store takes.
    double restoredRecordsPerSecond { 100 };

    // Rate limits of organisations
    unsigned ledgerCount { 4 };                 // Partitions of the organisations; the ledger of each is owned by one member
    Duration ledgerHeartbeatInterval { 250ms }; // Between two heartbeats of a member to the owner of each ledger
    // A ledger grants from a member's share for this long after the member's last message, more than two heartbeats; then the
    // member uses its share itself.
    Duration shareLease { 600ms };
    Duration ledgerIdleTimeout { 300ms }; // A ledger that no member contacted for longer was owned by another member meanwhile
    // A member unreachable for longer loses its share of a rate; longer than any network partition so far.
    Duration unreachableMemberExpiry { 30s };
    unsigned maximumLedgerTimeouts { 3 };   // Consecutive timeouts after which a ledger's owner counts as unreachable
    Duration ledgerRequestTimeout { 60ms }; // Of a token request; tens of times the round trip between zones
};

} // namespace shallot
