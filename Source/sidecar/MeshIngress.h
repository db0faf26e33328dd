#pragma once

#include "core/RefCounted.h"
#include "mesh/MeshCall.h"
#include "mesh/MeshConfiguration.h"
#include "mesh/RemoteEndpoints.h"
#include "mesh/RetryBudgetShare.h"
#include "mesh/ScheduledRetries.h"
#include "net/DeadlineQueue.h"
#include "net/StrictHTTPServer.h"
#include "sidecar/EndpointExecutor.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace shallot {

namespace wire {
struct AnswerT;
struct CallStateT;
} // namespace wire

class BodyRelay;
class CrashSuspects;
class MeshView;
class MeshLinks;
class MeshMetrics;
class PeerLink;
class DistributedRateLimiter;
struct MeshSettings;

// Other components of the daemon that the ingress uses.
struct MeshIngressDependencies {
    const MeshSettings& settings;
    MeshView& view;
    MeshLinks& links;
    EndpointExecutor& executor;
    DistributedRateLimiter& rateLimiter;
    MeshMetrics& metrics;
    BodyRelay& bodies;
    CrashSuspects& crashSuspects;
    std::string ownName;
};

// Serves callers: authenticates each request, takes a token of its organisation's rate, dispatches it to a backend server,
// retries where that is allowed, and responds before the deadline.
class MeshIngress {
public:
    explicit MeshIngress(MeshIngressDependencies);

    Result<void> start(const SocketAddress&);
    // Closes each connection when its requests are answered, and ends further requests by that time.
    void startLeaving(TimePoint endBy);
    // Serves only calls of the local backend server's runs from now on.
    void refuseCallers() { m_refusesCallers = true; }
    // Responds to all open requests.
    void endAll(TimePoint now);
    // Accepts no new requests; those in progress continue.
    void stopAccepting() { m_server.startDraining(); }
    void applyLimits(const CallerLimits&);

    void onResponse(PeerLink&, wire::AnswerT&);
    // Responds to the query for a call whose link had ended.
    void onCallState(PeerLink&, const wire::CallStateT&);
    // The daemon at the other end begins no call on this link that it has not answered.
    void onGoAway(PeerLink&);
    void onLinkClosed(PeerLink&);
    size_t inProgress() const { return m_pending.size(); }
    size_t openConnections() const { return m_server.connectionCount(); }

private:
    // A request from its arrival until its response.
    struct PendingRequest : RefCounted<PendingRequest> {
        uint64_t id { 0 };
        RefPtr<StrictHTTPConnection> connection;
        MeshCall call;
        std::string attemptID;
        const MeshOrganisation* organisation { nullptr }; // Whose rate is charged; null once admission has started
        std::optional<ParentRun> parent; // The request whose run made this nested call; empty for a caller's request
        uint64_t fingerprint { 0 };      // See requestFingerprint(); zero until it is needed
        unsigned maximumEndpoints { 1 };
        TimePoint arrivedAt {};
        TimePoint deadline {};
        TimePoint targetTime {};
        std::vector<std::string> triedMembers; // Members that attempts were sent to
        unsigned reroutes { 0 };
        unsigned backendsReached { 0 }; // Backend servers that received the request
        uint64_t attempt { 0 };         // Current attempt; responses to earlier ones are ignored
        std::string member;             // Target of the current attempt
        std::string address;            // Of that member
        RefPtr<PeerLink> link;          // Null while the local executor runs the attempt
        uint64_t memberBoot { 0 };      // Process that got the attempt; set when its link ends
        bool awaitsState { false };     // The member is asked on a new link what became of the attempt
        TimePoint queryUntil {};
        unsigned queries { 0 };
        uint64_t executorCallID { 0 };
        std::optional<Result<HTTPResponse>> earlierResponse; // May have executed; a later "not executed" must not replace it
        std::optional<Error> refusal;                        // The last one for lack of capacity
        bool attemptInProgress { false };
        bool hasToken { false }; // A token of the organisation's rate, granted by a ledger
    };

    void handle(const RefPtr<StrictHTTPConnection>&, HTTPRequest, TimePoint now);
    Result<void> checkRequest(PendingRequest&, HTTPRequest&, TimePoint now);
    Result<void> checkCrashSuspicion(PendingRequest&, const HTTPRequest&);
    uint64_t fingerprintOf(PendingRequest&, const HTTPRequest&) const;
    Result<void> authenticate(PendingRequest&, const std::string& key, TimePoint now);
    void admit(const RefPtr<PendingRequest>&, TimePoint now);
    void dispatch(PendingRequest&, TimePoint now);
    bool send(PendingRequest&, RemoteEndpoint&, TimePoint now);
    void receiveBody(PeerLink&, uint64_t id, Result<HTTPResponse>&);
    void onOutcome(PendingRequest&, MeshOutcome, TimePoint now);
    bool mayRetry(PendingRequest&, const MeshOutcome&, TimePoint now);
    std::vector<RefPtr<PendingRequest>> attemptsOn(const PeerLink&) const;
    bool queryAttempt(PendingRequest&, const PeerLink& ended, TimePoint now);
    void onQueryTimeout(uint64_t id);
    void loseAttempt(PendingRequest&, TimePoint now);
    void endAttempt(PendingRequest&);
    void cancelAttempt(PendingRequest&);
    Duration retryAfterFor(const PendingRequest&, Duration capacityAfter) const;
    void respond(PendingRequest&, Result<HTTPResponse>, TimePoint now);
    void logCompletion(const PendingRequest&, const Result<HTTPResponse>&, TimePoint now) const;
    void onDisconnect(StrictHTTPConnection&);
    void onDeadline(uint64_t id);
    RetryBudgetShare& retryBudgetFor(const PendingRequest&);

    MeshIngressDependencies m_dependencies;
    StrictHTTPServer m_server;
    StrictHTTPLimits m_limits;
    std::unordered_map<uint64_t, RefPtr<PendingRequest>> m_pending;
    std::unordered_map<uint64_t, RefPtr<PendingRequest>> m_attempts; // By attempt, the id in frames
    std::unordered_map<StrictHTTPConnection*, uint64_t> m_byConnection;
    std::map<std::pair<std::string, RequestOrigin>, RetryBudgetShare> m_retryBudgets; // By service and origin
    ScheduledRetries m_scheduledRetries;
    DeadlineQueue m_deadlines;
    DeadlineQueue m_queryDeadlines;
    uint64_t m_nextID { 1 };
    bool m_leaving { false };
    bool m_refusesCallers { false };
    TimePoint m_endBy { TimePoint::max() }; // While leaving
};

} // namespace shallot
