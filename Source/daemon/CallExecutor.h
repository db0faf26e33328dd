#pragma once

#include "core/RefCounted.h"
#include "daemon/BackendAnnouncement.h"
#include "daemon/LiveCall.h"
#include "net/HTTPPool.h"
#include "policy/AdmissionLevel.h"
#include "policy/ConcurrencyLimit.h"

#include <functional>
#include <unordered_map>

namespace shallot {

class CrashFingerprints;
struct PolicySettings;

// Counters of one executor since its start.
struct ExecutorCounters {
    uint64_t completed { 0 };
    uint64_t shedByLevel { 0 };
    uint64_t shedByQueue { 0 };
    uint64_t expired { 0 };
    uint64_t failed { 0 };
};

// The daemon's last word over its own backend server: its slots, connections and drain. Nobody else dispatches to it.
class CallExecutor {
public:
    CallExecutor(const PolicySettings&, CrashFingerprints&);
    ~CallExecutor();

    // A backend server spoke up, for the first time or again.
    void announce(const BackendAnnouncement&, TimePoint now);
    // This daemon is leaving: refuse new calls, finish the rest.
    void setLeaving() { m_leaving = true; }

    // Queues or refuses the call. The completion is called exactly once unless the call is cancelled. Returns its id.
    uint64_t submit(const RequestContext&, const std::string& service, HTTPRequest, TimePoint now, CallCompletion);
    // The caller is gone: stop the call without completing it.
    void cancel(uint64_t id);
    void tick(TimePoint now);

    // The running call behind an onward call's token; null once it ended.
    RefPtr<LiveCall> findByToken(const RequestID&) const;

    bool isAvailable() const { return m_announced && !m_announcement.draining && !m_leaving; }
    bool isAnnounced() const { return m_announced; }
    const BackendAnnouncement& announcement() const { return m_announcement; }
    uint32_t limit(TimePoint now) const { return m_limit.limit(now); }
    size_t running() const { return m_running; }
    size_t queued() const { return m_queue.size(); }
    float level() const { return m_level.level(); }
    const ExecutorCounters& counters() const { return m_counters; }
    // Called when isAvailable() or the announcement changed.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

private:
    ErrorKind refusalFor(const RequestContext&, const std::string& service, uint64_t fingerprint, TimePoint now);
    bool makeRoom(uint8_t priority, TimePoint now);
    void dispatchWaiting(TimePoint now);
    void dispatch(LiveCall&, TimePoint now);
    void onResponse(const RefPtr<LiveCall>&, Result<HTTPResponse>);
    void finish(LiveCall&, Result<HTTPResponse>);
    void endCall(LiveCall&);
    void recordBackendDeath(TimePoint now);
    HTTPRequest requestForBackend(const LiveCall&, TimePoint now) const;

    struct RecentFailure {
        uint64_t fingerprint { 0 };
        TimePoint time {};
    };

    const PolicySettings& m_settings;
    CrashFingerprints& m_crashes;
    HTTPPool m_pool;
    RequestQueue m_queue;
    AdmissionLevel m_level;
    ConcurrencyLimit m_limit;
    ExecutorCounters m_counters;
    BackendAnnouncement m_announcement;
    TimePoint m_lastAnnounced {};
    std::unordered_map<uint64_t, RefPtr<LiveCall>> m_calls;
    std::unordered_map<RequestID, uint64_t, RequestIDHash> m_tokens;
    std::vector<RecentFailure> m_recentFailures;
    std::function<void()> m_onChange;
    uint64_t m_nextID { 1 };
    size_t m_running { 0 };
    bool m_announced { false };
    bool m_leaving { false };
};

} // namespace shallot
