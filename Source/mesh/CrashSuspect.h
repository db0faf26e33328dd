#pragma once

#include <chrono>
#include <cstdint>

namespace shallot {

// A request that was running when backend servers crashed. Both counts only grow, so the records of several daemons merge into
// their maxima, in any order.
struct CrashSuspect {
    uint64_t fingerprint { 0 };             // See requestFingerprint()
    uint32_t crashes { 0 };                 // Successive crashes: each of these runs started when the crash before was known
    uint32_t cleared { 0 };                 // The value of `crashes` when a backend server last answered the request
    std::chrono::sys_seconds recordedAt {}; // Time of day of the last change

    bool operator==(const CrashSuspect&) const = default;
};

} // namespace shallot
