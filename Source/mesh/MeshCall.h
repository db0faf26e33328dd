#pragma once

#include "core/Error.h"
#include "core/RequestContext.h"
#include "mesh/EndpointReport.h"
#include "net/HTTPMessage.h"

#include <functional>
#include <string>

namespace shallot {

// One request on its way to a backend server.
struct MeshCall {
    RequestContext context;
    std::string service;
    HTTPRequest request;
    Duration targetLatency {};     // Remaining time within the latency objective; 0: no objective
    bool repeat { false };         // It has reached a backend server before, or was made by a run that was a repeat
    bool firstSending { true };    // Of this request
    std::string rootOrganisation;  // Of the root request of a nested call, if it is limited to some regions
    bool scheduledRetry { false }; // Refused earlier and retried at the time given with the refusal
    TimePoint sentAt {};           // By the clock of its sender; the epoch if that is not known
};

// Result of a call, with the load report of the backend server's daemon.
struct MeshOutcome {
    Result<HTTPResponse> response;
    EndpointReport report;
    bool reachedBackend { false };   // The call failed after it had reached the backend server
    bool nestedCallFailed { false }; // A call made by the backend server during this run failed
};

using MeshCompletion = std::function<void(MeshOutcome)>;

// Queue priority of a call, higher first. It is derived from the rank of the request at the root of the call graph, so that a
// call graph is served or shed as a whole. Within a rank, nested calls (made by a backend server while it runs a request) come
// first, because refusing one wastes the work of its parent.
constexpr uint8_t priorityOfRank(unsigned rank)
{
    constexpr unsigned lowestRank = queueClasses / 2 - 1; // Less urgent ranks share the lowest priority
    return static_cast<uint8_t>(2 * (lowestRank - (rank < lowestRank ? rank : lowestRank)));
}
constexpr uint8_t nestedCallPriority(uint8_t parentPriority)
{
    return parentPriority | 1U;
}
constexpr bool isNestedCallPriority(uint8_t priority)
{
    return priority & 1U;
}

} // namespace shallot
