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

// Deaths that one daemon saw with a fingerprint in flight and no success since.
struct CrashCount {
    uint64_t fingerprint { 0 };
    uint8_t crashes { 0 };
    Duration age {}; // Since the last death
};

// Finds requests that bring backend servers down. Counts of all daemons add up; one success clears the daemon's own count.
class CrashFingerprints {
public:
    explicit CrashFingerprints(const PolicySettings& settings)
        : m_settings(settings)
    {
    }

    // The backend server beside this daemon died while these were in flight.
    void recordCrash(std::span<const uint64_t> inFlight, TimePoint now);
    void recordSuccess(uint64_t fingerprint);
    // What another daemon reports; replaces its earlier report of the fingerprint.
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
    std::unordered_map<uint64_t, std::map<std::string, Entry>> m_counts; // By member; the own ones under the empty name
};

// Identifies a request by organisation, method, target and body.
uint64_t requestFingerprint(
    std::string_view organisation, std::string_view method, std::string_view target, std::string_view body);

} // namespace shallot
