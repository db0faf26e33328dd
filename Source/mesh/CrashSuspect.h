#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace shallot {

// A request that was running when backend servers crashed. Both counts and the list only grow, so the records of several daemons
// merge into their maxima and union, in any order.
struct CrashSuspect {
    uint64_t fingerprint { 0 };             // See requestFingerprint()
    uint32_t crashes { 0 };                 // Successive crashes: each of these runs started when the crash before was known
    uint32_t cleared { 0 };                 // The value of `crashes` when a backend server last answered the request
    std::chrono::sys_seconds recordedAt {}; // Time of day of the last change
    // Identifiers of crashes of backend servers that had not answered the request lately; sorted, at most
    // MeshSettings::crashThreshold of them.
    std::vector<uint64_t> crashIDs {};

    bool operator==(const CrashSuspect&) const = default;
};

} // namespace shallot
