#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallot {

struct PolicySettings;

// Backend server crashes that one daemon observed while a request with the fingerprint was in flight, since its last success.
struct CrashCount {
    uint64_t fingerprint { 0 };
    uint8_t crashes { 0 };
    Duration age {}; // Time since the last crash
};

// Detects requests that crash backend servers. The counts of all daemons add up; a success clears the count of the daemon that
// observed it.
class CrashFingerprints {
public:
    explicit CrashFingerprints(const PolicySettings& settings)
        : m_settings(settings)
    {
    }

    // Called when this daemon's backend server crashed while these fingerprints were in flight.
    void recordCrash(std::span<const uint64_t> inFlight, TimePoint now);
    void recordSuccess(uint64_t fingerprint);
    // Stores another daemon's count; replaces its earlier report of the same fingerprint.
    void mergeReport(const std::string& member, const CrashCount&, TimePoint now);

    bool isRefused(uint64_t fingerprint, TimePoint now) const;
    std::vector<CrashCount> ownCounts(TimePoint now) const;
    void expire(TimePoint now);

private:
    struct Entry {
        uint8_t crashes { 0 };
        TimePoint lastCrash {};
    };

    const PolicySettings& m_settings;
    std::unordered_map<uint64_t, std::map<std::string, Entry>> m_counts; // By member; this daemon's counts have an empty name
};

// Hash of organisation, method, target and body.
uint64_t requestFingerprint(
    std::string_view organisation, std::string_view method, std::string_view target, std::string_view body);

} // namespace shallot
