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

// Queues calls and dispatches them to the daemon's own backend server. No other component or daemon dispatches to that server,
// so its slots, connections and drain are enforced here.
class CallExecutor {
public:
    CallExecutor(const PolicySettings&, CrashFingerprints&);
    ~CallExecutor();

    // Handles an announcement of the backend server, the first or a repeated one.
    void announce(const BackendAnnouncement&, TimePoint now);
    // Refuses new calls from now on, as the daemon is leaving; queued and running calls are finished.
    void setLeaving() { m_leaving = true; }

    // Queues or refuses a call and returns its id. The completion is called exactly once, possibly before the return, unless the
    // call is cancelled.
    uint64_t submit(const RequestContext&, const std::string& service, HTTPRequest, TimePoint now, CallCompletion);
    // Cancels a call whose caller has disconnected; its completion is not called. A running non-idempotent call is not aborted.
    void cancel(uint64_t id);
    void tick(TimePoint now);

    // The running call that the token of a nested call belongs to; null once it has ended.
    RefPtr<LiveCall> findByCallToken(const RequestID&) const;

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
    ErrorKind checkAdmission(const RequestContext&, const std::string& service, uint64_t fingerprint, TimePoint now);
    bool makeRoom(uint8_t priority, TimePoint now);
    void dispatchWaiting(TimePoint now);
    void dispatch(LiveCall&, TimePoint now);
    void onResponse(const RefPtr<LiveCall>&, Result<HTTPResponse>);
    void finish(LiveCall&, Result<HTTPResponse>);
    void endCall(LiveCall&);
    void recordBackendCrash(TimePoint now);
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
    std::unordered_map<RequestID, uint64_t, RequestIDHash> m_callIDsByToken;
    std::vector<RecentFailure> m_recentFailures;
    std::function<void()> m_onChange;
    uint64_t m_nextID { 1 };
    size_t m_running { 0 };
    bool m_announced { false };
    bool m_leaving { false };
};

} // namespace shallot
