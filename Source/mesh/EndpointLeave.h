#pragma once

#include <cstdint>
#include <string>

namespace shallot {

// The last backend server beside a daemon that said it leaves. It stays out of use also after a restart of the daemon; a later
// run under the same name is another one.
struct EndpointLeave {
    std::string instance;       // Empty: none
    uint64_t latestStart { 0 }; // Runs that started by then have left; milliseconds since 1970

    bool covers(const std::string& name, uint64_t startedAt) const
    {
        return !instance.empty() && name == instance && startedAt <= latestStart;
    }
    bool operator==(const EndpointLeave&) const = default;
};

} // namespace shallot
