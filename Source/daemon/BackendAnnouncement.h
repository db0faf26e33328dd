#pragma once

#include "core/Error.h"
#include "net/SocketAddress.h"

#include <string>
#include <string_view>

namespace shallot {

// What a backend server tells the daemon beside it, every second or so.
struct BackendAnnouncement {
    std::string service;
    SocketAddress address;   // Where it takes requests; loopback or the instance's own address
    uint32_t slots { 1 };    // Requests that it runs at once
    bool draining { false }; // Takes no new work; finishes what it has
    std::string boot;        // Changes with each start, so that a crash is seen
};

// BadRequest naming the field at fault.
Result<BackendAnnouncement> parseAnnouncement(std::string_view json);

} // namespace shallot
