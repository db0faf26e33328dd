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
}

class MeshView;
class MeshLinks;
class MeshMetrics;
class PeerLink;
class DistributedRateLimiter;
struct MeshSettings;

// What the ingress needs of the rest of the daemon.
struct MeshIngressDependencies {
    const MeshSettings& settings;
    MeshView& view;
    MeshLinks& links;
    EndpointExecutor& executor;
    DistributedRateLimiter& rateLimiter;
    MeshMetrics& metrics;
    std::string ownName;
};

// Callers' side: identifies each request, spends its organisation's rate, places it on a backend server, repeats what may be
// repeated, and answers in time.
class MeshIngress {
public:
    explicit MeshIngress(MeshIngressDependencies);

    Result<void> start(const SocketAddress&);
    // Closes each connection with its next answer.
    void startLeaving() { m_leaving = true; }
    // Takes no new requests; those in progress go on.
    void stopAccepting() { m_server.startDraining(); }
    void applyLimits(const CallerLimits&);

    void onResponse(PeerLink&, wire::AnswerT&);
    void onLinkClosed(PeerLink&);
    size_t inProgress() const { return m_pending.size(); }
    size_t openConnections() const { return m_server.connectionCount(); }

private:
    // One request between its arrival and its answer.
    struct PendingRequest : RefCounted<PendingRequest> {
        uint64_t id { 0 };
        RefPtr<StrictHTTPConnection> connection;
        MeshCall call;
        std::string attemptID;
        const MeshOrganisation* organisation { nullptr }; // Whose rate it spends; only until it is admitted
        std::optional<ParentRun> parent;                  // The run that makes this call; nothing for a caller's request
        uint64_t fingerprint { 0 };                       // Same for a request that comes back
        unsigned maximumEndpoints { 1 };
        TimePoint arrivedAt {};
        TimePoint deadline {};
        TimePoint targetTime {};
        std::vector<std::string> triedMembers; // Members asked
        unsigned reroutes { 0 };
        unsigned backendsReached { 0 }; // Backend servers reached
        uint64_t attempt { 0 };         // Answers of earlier attempts are ignored
        std::string member;             // Asked by the attempt in progress
        RefPtr<PeerLink> link;          // Null while the own executor works on it
        uint64_t executorCallID { 0 };
        std::optional<Result<HTTPResponse>> earlierResponse; // Of an attempt that arrived; no later "not run" hides it
        bool attemptInProgress { false };                    // An attempt is in progress
        bool hasToken { false };                             // Of its organisation's rate, from a ledger
    };

    void handle(const RefPtr<StrictHTTPConnection>&, HTTPRequest, TimePoint now);
    Result<void> checkRequest(PendingRequest&, HTTPRequest&, TimePoint now);
    Result<void> authenticate(PendingRequest&, const std::string& key, TimePoint now);
    void admit(const RefPtr<PendingRequest>&, TimePoint now);
    void dispatch(PendingRequest&, TimePoint now);
    bool send(PendingRequest&, RemoteEndpoint&, TimePoint now);
    void onOutcome(PendingRequest&, MeshOutcome, TimePoint now);
    bool mayRetry(PendingRequest&, const MeshOutcome&, TimePoint now);
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
    std::unordered_map<uint64_t, RefPtr<PendingRequest>> m_attempts; // By attempt, as frames carry it
    std::unordered_map<StrictHTTPConnection*, uint64_t> m_byConnection;
    std::map<std::pair<std::string, RequestOrigin>, RetryBudgetShare> m_retryBudgets; // By service
    ScheduledRetries m_scheduledRetries;
    DeadlineQueue m_deadlines;
    uint64_t m_nextID { 1 };
    bool m_leaving { false };
};

} // namespace shallot
