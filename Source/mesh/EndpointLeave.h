#pragma once

#include <cstdint>
#include <string>

namespace shallot {

// The last backend server of a daemon that announced its departure. It stays out of use even after a restart of the daemon; a
// later run of the backend server under the same name is not covered.
struct EndpointLeave {
    std::string instance;       // Empty: none
    uint64_t latestStart { 0 }; // Runs started at this time or earlier have left; milliseconds since 1970

    bool covers(const std::string& name, uint64_t startedAt) const
    {
        return !instance.empty() && name == instance && startedAt <= latestStart;
    }
    bool operator==(const EndpointLeave&) const = default;
};

} // namespace shallot
