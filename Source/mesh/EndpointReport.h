#pragma once

#include "core/Time.h"

#include <cstdint>

namespace shallot {

// How loaded one backend server is, as the daemon beside it measures. Every answer carries one.
struct EndpointReport {
    bool available { true }; // Takes new work
    uint32_t running { 0 };  // Requests handed to the backend server
    uint32_t queued { 0 };   // Requests that wait beside it
    uint32_t limit { 1 };    // Requests that may run at once
    Duration serviceTime {}; // Average of a run; 0 before the first
    Duration pressure {};    // Longest wait that the call it answers meets, here or at the services called on its behalf
    bool leaving { false };  // The daemon is being stopped; in its own word only, not with answers
};

} // namespace shallot
