#pragma once

#include "core/Time.h"
#include "net/SocketAddress.h"

#include <cstdint>
#include <string>

namespace shallot {

// Periodic announcement that a backend server sends to its local daemon.
struct EndpointAnnouncement {
    std::string instance;     // Name of this run of the backend server's process
    uint64_t startedAt { 0 }; // Milliseconds since 1970, by the backend server's clock
    uint64_t sequence { 0 };  // Increases with each announcement of the same run
    std::string service;
    SocketAddress address;
    uint32_t slots { 1 };    // Requests that it runs concurrently
    bool draining { false }; // Accepts no new requests
    Duration warmUpTime {};  // How much longer it stays slow after its start
};

} // namespace shallot
