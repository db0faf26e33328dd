#pragma once

#include "core/Time.h"
#include "net/SocketAddress.h"

#include <cstdint>
#include <string>

namespace shallot {

// What a backend server says of itself to the daemon beside it.
struct EndpointAnnouncement {
    std::string instance;     // Name of this run of the backend server
    uint64_t startedAt { 0 }; // Milliseconds since 1970, by the backend server's clock
    uint64_t sequence { 0 };  // Grows with each announcement of one run
    std::string service;
    SocketAddress address;
    uint32_t slots { 1 };    // Requests that it runs at once
    bool draining { false }; // Takes no new work
    Duration warmUpTime {};  // How long it stays slow after its start
};

} // namespace shallot
