#pragma once

#include "core/RequestContext.h"
#include "mesh/EndpointReport.h"
#include "net/HTTPMessage.h"
#include "core/Error.h"

#include <functional>
#include <string>

namespace shallot {

// One request on its way to a backend server.
struct MeshCall {
    RequestContext context;
    std::string service;
    HTTPRequest request;
    Duration targetLatency {}; // Left of the time until which an answer has its full worth; 0: as long as it lasts
    bool returning { false };  // Was refused before and comes back at the time it was told
};

// How it ended, and what the daemon beside the backend server reports.
struct MeshOutcome {
    Result<HTTPResponse> response;
    EndpointReport report;
    bool arrived { false }; // A failed call reached the backend server
};

using MeshCompletion = std::function<void(MeshOutcome)>;

// Rank of a call in queues and when load is shed: the backend servers' own calls go first, because refusing one wastes
// the request that made it; then requests by their rank, 0 before 1.
constexpr uint8_t innerCallPriority = priorityClasses - 1;
constexpr uint8_t priorityOfRank(uint8_t rank)
{
    return rank >= innerCallPriority ? 0 : static_cast<uint8_t>(innerCallPriority - 1 - rank);
}

} // namespace shallot
