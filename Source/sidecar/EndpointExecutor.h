#pragma once

#include "core/RefCounted.h"
#include "mesh/AnsweredRequests.h"
#include "mesh/CrashSuspects.h"
#include "mesh/EndpointLife.h"
#include "mesh/EndpointQueue.h"
#include "mesh/MeshCall.h"
#include "mesh/ReportedLoad.h"
#include "mesh/RetryBudgetLedger.h"
#include "mesh/RetryLevel.h"
#include "mesh/RootLoadShedder.h"
#include "mesh/WarmUp.h"
#include "net/DeadlineQueue.h"
#include "net/HTTPPool.h"
#include "net/Timer.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallot {

struct MeshSettings;

// The run that made a nested call.
struct ParentRun {
    uint64_t id { 0 }; // Returned by submit()
    std::string route;
    uint8_t priority { 0 };
    uint8_t hops { 0 };
    bool isRepeat { false };      // Its nested calls count as repeats
    std::string rootOrganisation; // If it is limited to some regions
};

// The only path to the local backend server, so it can decide strictly which request runs, waits or is refused, and knows whether
// a request was executed.
class EndpointExecutor {
public:
    // `service` is the configured service of the instance; announcements override it.
    EndpointExecutor(const MeshSettings&, const SocketAddress& backendServer, const std::string& service, CrashSuspects&);

    // Calls the completion exactly once unless the call is cancelled. Returns the call's id.
    uint64_t submit(MeshCall, TimePoint now, MeshCompletion);
    void cancel(uint64_t id);
    bool isRunning(uint64_t id) const;
    // Whether that call runs and may run only once. To cancel it saves nothing: the backend server goes on.
    bool runsOnlyOnce(uint64_t id) const;

    // The local run that made a nested call with this attempt id and remaining time; empty for a caller's request.
    std::optional<ParentRun> findParent(std::string_view attemptID, Duration remaining, TimePoint now) const;
    // Records the wait that a nested call of this run met.
    void recordPressure(const ParentRun&, Duration wait, TimePoint now);
    // Records that a nested call of this run failed.
    void recordFailedNestedCall(const ParentRun&);

    // An announcement from the backend server; stale ones are ignored.
    void recordAnnouncement(const EndpointAnnouncement&, TimePoint now);
    // `startedAt`: of the run that leaves, in milliseconds since 1970; 0 if it is not known.
    void recordLeave(const std::string& instance, uint64_t startedAt);
    // The last leave stored in the member list before this daemon started; the backend server is unavailable until it is known.
    void setFormerLeave(const EndpointLeave&);
    // The leave of the backend server that announced it or is draining; empty if there is none.
    EndpointLeave currentLeave() const { return m_life.currentLeave(); }
    // Paths of the health endpoints by service. The first probe also substitutes for announcements not received yet.
    void setHealthPaths(std::map<std::string, std::string>);
    // By service: how its backend servers must be treated after a start.
    void setColdStarts(std::map<std::string, ColdStart>);
    // Admits repeats by the service's retry budget instead of leaving that to their senders.
    void setKeepsRetryBudget(bool keeps) { m_keepsRetryBudget = keeps; }
    // The budget's part that does not depend on the requests, for this backend server.
    void setRetryAllowance(double repeats) { m_retryBudget.setAllowance(repeats); }
    // While the zone is evacuated, nothing is sent to the backend server; runs in progress continue.
    void setEvacuated(bool, TimePoint now);
    // Refuses new calls from `takesRunsUntil` on. Those running continue, and those queued if they start until then or in the
    // first half of the time until the end. A later call may only shorten these times.
    void startLeaving(TimePoint now, TimePoint takesRunsUntil, TimePoint endBy);
    // The time within which most runs end: of those that ended lately, or as long as one has been running; empty if few are
    // known.
    std::optional<Duration> usualRunTime(TimePoint now) const;
    // Refuses what is queued and ends what is running, with its outcome unknown.
    void endAll(TimePoint now);
    // Detects a backend server that has been silent for too long.
    void tick();

    bool isAvailable(TimePoint now) const;
    EndpointReport report(TimePoint now) const;
    // Of the backend server, if it is verified; otherwise the configured one.
    const std::string& service() const { return m_life.service(); }
    // To the backend server, so far.
    uint64_t openedConnections() const { return m_pool.openedConnections(); }
    uint64_t avoidedReuses() const { return m_pool.avoidedReuses(); }
    size_t inProgress() const { return m_calls.size(); }
    Duration coldFor(TimePoint now) const { return m_warmUp.coldFor(now); }
    // Requests per second that the backend server takes from all instances together; empty: it names no limit.
    std::optional<double> rateLimit() const { return m_rateLimit; }
    const ReportedLoad& reportedLoad() const { return m_reportedLoad; }
    // Called when the backend server turns out to leave other than by a notice to this daemon.
    void setLeaveHandler(std::function<void()> handler) { m_onLeave = std::move(handler); }
    // Called when the limit that the backend server names has ended or risen much, and when its warm-up begins or ends, so that
    // the fleet can be told.
    void setLimitRiseHandler(std::function<void()> handler) { m_onLimitRise = std::move(handler); }
    // Called when the records of requests that crash backend servers changed, so that the fleet can be told at once.
    void setSuspectsHandler(std::function<void()> handler) { m_onSuspectsChange = std::move(handler); }
    // Names the bytes of responses of the backend server that wait to be sent to other daemons.
    void setUnsentResponseBytes(std::function<size_t()> bytes) { m_pool.setBytesHeldElsewhere(std::move(bytes)); }
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

private:
    struct LiveRun : RefCounted<LiveRun> {
        QueueItem item;
        MeshCall call;
        MeshCompletion completion;
        std::string attemptID;
        double score { 0 };          // See callGraphScore()
        uint64_t fingerprint { 0 };  // See requestFingerprint(); computed only when needed
        size_t heldBodyBytes { 0 };  // Counted in m_heldBodyBytes
        uint32_t knownCrashes { 0 }; // Of this request, when the run started
        bool isolated { false };     // Runs without another such request, see CrashSuspects::isIsolated()
        TimePoint deadline {};
        TimePoint submitted {};
        TimePoint started {};
        bool queued { false }; // Since it was admitted, until it runs
        bool running { false };
        bool mayResend { false };        // Its request is kept while it runs
        bool nestedCallFailed { false }; // A nested call of this run failed
        bool resent { false };           // After a stale keep-alive connection
    };

    // A run that ended without a response; if the backend server turns out to have crashed, the run may be the cause.
    struct UnansweredRun {
        CrashSuspects::InterruptedRun run;
        std::string attemptID;
        TimePoint endedAt {};
        bool answeredBefore { false }; // Lately, by this backend server
    };

    ErrorKind checkAdmission(LiveRun&, TimePoint now);
    ErrorKind checkCrashSuspicion(LiveRun&);
    ErrorKind checkRetryBudget(const LiveRun&, TimePoint now);
    ErrorKind reserveBodyBytes(LiveRun&);
    uint64_t fingerprintOf(LiveRun&) const;
    void runNext(TimePoint now);
    void run(LiveRun&, TimePoint now);
    void send(LiveRun&, Duration maximumIdle);
    void onResponse(uint64_t id, Result<HTTPResponse>);
    void finish(LiveRun&, Result<HTTPResponse>, bool reachedBackend, TimePoint now);
    void recordUnanswered(LiveRun&, TimePoint now);
    void recordAnswered(LiveRun&, uint16_t status);
    void recordStateHeaders(const HTTPResponse&, TimePoint sentAt, TimePoint now);
    void recordRateLimit(const HTTPResponse&, TimePoint sentAt, TimePoint now);
    void recordLoad(const HTTPResponse&, TimePoint now);
    void announceLimitRise();
    Duration limitColdTime(Duration named) const;
    void recordColdAnnouncement(TimePoint now);
    void recordColdTime(const HTTPResponse&, TimePoint sentAt, TimePoint now);
    void checkSilence(TimePoint now);
    void probeColdState();
    void updateWarmUp(TimePoint now);
    void recordCrash(const std::string& instance, const char* evidence);
    void suspectCrash(TimePoint now);
    void probeSuspectedCrash();
    void onSuspicionProbe(const Result<HTTPResponse>&);
    void concludeCrash(const char* evidence, TimePoint now);
    void endSuspicion(TimePoint now);
    void refuse(LiveRun&, ErrorKind, TimePoint now);
    void onNewRun(const std::string& former, bool mayHaveCrashed, TimePoint now);
    void verifyInstance();
    void onProbe(const Result<HTTPResponse>&);
    bool takesRuns(TimePoint now) const { return !m_leaving || now < m_takesRunsUntil; }
    bool updateAvailability(); // Returns whether it or the service changed
    void onDeadline(uint64_t id);

    const MeshSettings& m_settings;
    CrashSuspects& m_crashSuspects;
    std::string m_host;
    EndpointLife m_life;
    HTTPPool m_pool;
    HTTPPool m_probePool;
    EndpointQueue m_queue;
    ReportedLoad m_reportedLoad;
    WarmUp m_warmUp;
    std::map<std::string, ColdStart> m_coldStarts; // By service
    Timer m_warmUpTimer;                           // Until its rate limit changes
    bool m_warmingUp { false };                    // That limit was in force at its last update
    Timer m_coldProbeTimer; // Until the next probe while it is not known whether the backend server is cold
    uint64_t m_coldProbeID { 0 };
    bool m_evacuated { false };
    RootLoadShedder m_loadShedder;
    RetryBudgetLedger m_retryBudget;
    RetryLevel m_retryLevel;
    bool m_keepsRetryBudget { false };
    std::unordered_map<uint64_t, RefPtr<LiveRun>> m_calls;
    std::unordered_map<std::string, uint64_t> m_running; // By attempt, while at the backend server
    DeadlineQueue m_deadlines;
    std::vector<UnansweredRun> m_unanswered; // Since the backend server last showed that it was running
    AnsweredRequests m_answered;
    std::map<std::string, std::string> m_healthPaths; // By service
    std::optional<double> m_rateLimit;
    TimePoint m_rateLimitNamedAt {};        // In the last response that named one
    std::optional<double> m_leastRateLimit; // Named since the fleet was told of a rise
    Timer m_limitNoticeTimer;               // Until it may be told of the next one
    bool m_limitNoticeWaits { false };      // The timer is running
    bool m_limitNoticePending { false };
    size_t m_isolatedCalls { 0 }; // Queued or running
    size_t m_heldBodyBytes { 0 }; // Of all calls, including what their connections have not sent yet
    std::function<void()> m_onChange;
    std::function<void()> m_onLeave;
    std::function<void()> m_onSuspectsChange;
    std::function<void()> m_onLimitRise;
    uint64_t m_nextID { 1 };
    bool m_probing { false };
    Timer m_probeTimer;
    Timer m_rateTimer; // Until the rate limit allows the next queued request
    uint64_t m_probeID { 0 };
    // A run ended without a response, and nothing has shown since whether the backend server still runs.
    bool m_crashSuspected { false };
    unsigned m_failedProbes { 0 }; // Since then
    uint64_t m_suspicionProbeID { 0 };
    TimePoint m_suspicionProbeSentAt {};
    Timer m_suspicionTimer;
    TimePoint m_probeSentAt {};
    bool m_leaving { false };
    TimePoint m_takesRunsUntil { TimePoint::max() }; // While leaving
    bool m_emptyingQueue { false };                  // runNext() is on the call stack
    TimePoint m_lastStart { TimePoint::max() };      // Of a queued call, while leaving
    std::string m_formerService;                     // With m_wasAvailable, what the last call of the change handler reported
    bool m_wasAvailable { false };
};

} // namespace shallot
