#pragma once

#include "core/Time.h"
#include "mesh/CrashSuspect.h"

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace shallot {

struct MeshSettings;

// Which requests crash the backend servers that run them, from the evidence of the whole fleet. A request is refused after a
// number of successive crashes without an answer in between, or after as many at the same time if it had not been answered
// before; one that was merely running beside the culprit is cleared by its next answer. The daemons exchange their records
// through the member list.
class CrashSuspects {
public:
    // A run that the crash of this daemon's backend server interrupted.
    struct InterruptedRun {
        uint64_t fingerprint { 0 };
        uint32_t knownCrashes { 0 }; // crashesOf() when the run started
        uint64_t crashID { 0 };      // See CrashSuspect::crashIDs; 0 if the backend server had answered the request lately
    };

    explicit CrashSuspects(const MeshSettings&);

    void recordCrash(std::span<const InterruptedRun>, std::chrono::sys_seconds now);
    // A backend server answered the request. Returns whether that cleared a suspicion.
    bool recordAnswer(uint64_t fingerprint, std::chrono::sys_seconds now);
    // Renews the record of a refused request, so that it lasts while callers keep resending.
    void recordRefusal(uint64_t fingerprint, std::chrono::sys_seconds now);
    // Records of another daemon.
    void merge(std::span<const CrashSuspect>, std::chrono::sys_seconds now);
    // Records that this daemon published before a restart.
    void restore(std::span<const CrashSuspect>, std::chrono::sys_seconds now);
    // Records that this daemon publishes: those that it changed last.
    std::vector<CrashSuspect> ownRecords(std::chrono::sys_seconds now) const;
    // Those of them that changed since the last call.
    std::vector<CrashSuspect> takeChanges(std::chrono::sys_seconds now);
    // Grows with each change of this daemon's records.
    uint64_t revision() const { return m_revision; }

    bool isEmpty() const { return m_suspects.empty(); }
    size_t size() const { return m_suspects.size(); }
    uint32_t crashesOf(uint64_t fingerprint, std::chrono::sys_seconds now) const;
    bool isRefused(uint64_t fingerprint, std::chrono::sys_seconds now) const;
    // One more crash would refuse the request: it runs at a backend server without another such request.
    bool isIsolated(uint64_t fingerprint, std::chrono::sys_seconds now) const;
    bool isSuspected(uint64_t fingerprint, std::chrono::sys_seconds now) const { return suspicion(fingerprint, now); }
    // Time until the record of a refused request expires.
    Duration refusedFor(uint64_t fingerprint, std::chrono::sys_seconds now) const;

private:
    struct Entry {
        CrashSuspect suspect;
        bool own { false };     // Changed last by this daemon
        bool changed { false }; // By this daemon, since takeChanges()
    };

    uint32_t suspicion(uint64_t fingerprint, std::chrono::sys_seconds now) const;
    bool addCrashIDs(CrashSuspect&, std::span<const uint64_t>) const;
    bool isExpired(const CrashSuspect&, std::chrono::sys_seconds now) const;
    Entry* findOrAdd(uint64_t fingerprint, std::chrono::sys_seconds now);
    void mergeOne(const CrashSuspect&, bool own, std::chrono::sys_seconds now);

    const MeshSettings& m_settings;
    std::unordered_map<uint64_t, Entry> m_suspects; // By fingerprint
    uint64_t m_revision { 0 };
};

} // namespace shallot
