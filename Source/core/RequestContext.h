#pragma once

#include "core/RequestID.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace shallot {

// What every hop of one request knows about it.
struct RequestContext {
    RequestID id;               // Same on all hops
    std::string organisation;   // Empty on open routes
    std::string route;          // Route that the caller asked for at ingress
    float score { 0 };          // Rank for shedding, set once at ingress; see FairScore
    uint8_t priority { 0 };     // Class of the ingress route, 0 (shed first) to 7 (shed last)
    Duration remaining {};      // Time left when the frame was sent; relative because clocks differ
    uint16_t retryTokens { 0 }; // Retries that this call and all below it may still make
    uint8_t hops { 0 };         // Calls above this one
    bool idempotent { true };   // False: no daemon may send it twice
};

constexpr uint8_t maximumHops = 32;
constexpr uint8_t priorityClasses = 8; // That a route can have
constexpr uint8_t queueClasses = 16;   // That queues tell apart; on the mesh, inner calls have classes of their own

} // namespace shallot
