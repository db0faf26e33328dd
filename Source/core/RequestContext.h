#pragma once

#include "core/RequestID.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace shallot {

// The properties of a request that every hop receives.
struct RequestContext {
    RequestID id;               // The same on all hops
    std::string organisation;   // Empty on open routes
    std::string route;          // Name of the route that the client requested at ingress
    float score { 0 };          // For load shedding, set once at ingress; see FairScore
    uint8_t priority { 0 };     // Of the ingress route, 0 (shed first) to 7 (shed last)
    Duration remaining {};      // Time until the deadline when the frame was sent; relative because clocks differ
    uint16_t retryTokens { 0 }; // Retries that this call and all its nested calls may still use
    uint8_t hops { 0 };         // Number of calls above this one
    bool idempotent { true };   // False: no daemon may send the request twice
};

constexpr uint8_t maximumHops = 32;
constexpr uint8_t priorityClasses = 8; // Priorities that a route can have
constexpr uint8_t queueClasses = 16;   // Priorities of queues; on the mesh, nested calls have separate classes

} // namespace shallot
