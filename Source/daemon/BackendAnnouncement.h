#pragma once

#include "core/Error.h"
#include "net/SocketAddress.h"

#include <string>
#include <string_view>

namespace shallot {

// Heartbeat of a backend server to the daemon on its instance, about once a second.
struct BackendAnnouncement {
    std::string service;
    SocketAddress address;   // Where it accepts requests: loopback or an address of the instance
    uint32_t slots { 1 };    // Requests that it runs concurrently
    bool draining { false }; // Accepts no new requests and finishes those in progress
    std::string bootID;      // Differs after each start, so that a restart after a crash is detected
};

// Returns BadRequest naming the invalid field.
Result<BackendAnnouncement> parseAnnouncement(std::string_view json);

} // namespace shallot
