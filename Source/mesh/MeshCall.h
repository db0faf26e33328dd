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
    Duration targetLatency {};     // Left of the time until which an answer has its full worth; 0: as long as it lasts
    bool scheduledRetry { false }; // Was refused before and comes back at the time it was told
};

// How it ended, and what the daemon beside the backend server reports.
struct MeshOutcome {
    Result<HTTPResponse> response;
    EndpointReport report;
    bool reachedBackend { false };   // A failed call reached the backend server
    bool nestedCallFailed { false }; // A call that the run made failed
};

using MeshCompletion = std::function<void(MeshOutcome)>;

// Priority of a call in queues, higher first. It follows the request at the root of the call graph, so that a whole graph is
// served or shed together; of two equal ones a backend server's own call goes first, because refusing it wastes its parent.
constexpr uint8_t priorityOfRank(unsigned rank)
{
    constexpr unsigned lowestRank = queueClasses / 2 - 1; // Less urgent ranks share the lowest class
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
