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
struct MeshIngressParts {
    const MeshSettings& settings;
    MeshView& beliefs;
    MeshLinks& links;
    EndpointExecutor& executor;
    DistributedRateLimiter& rates;
    MeshMetrics& metrics;
    std::string ownName;
};

// Callers' side: identifies each request, spends its organisation's rate, places it on a backend server, repeats what may be
// repeated, and answers in time.
class MeshIngress {
public:
    explicit MeshIngress(MeshIngressParts);

    Result<void> start(const SocketAddress&);
    // Closes each connection with its next answer.
    void startLeaving() { m_leaving = true; }
    // Takes no new requests; those in progress go on.
    void stopAccepting() { m_server.startDraining(); }
    void applyLimits(const CallerLimits&);

    void onAnswer(PeerLink&, wire::AnswerT&);
    void onLinkClosed(PeerLink&);
    size_t inProgress() const { return m_visits.size(); }
    size_t openConnections() const { return m_server.connectionCount(); }

private:
    // One request between its arrival and its answer.
    struct Visit : RefCounted<Visit> {
        uint64_t id { 0 };
        RefPtr<StrictHTTPConnection> connection;
        MeshCall call;
        std::string attemptID;
        const MeshOrganisation* organisation { nullptr }; // Whose rate it spends; only until it is admitted
        std::optional<ParentRun> parent;                  // The run that makes this call; nothing for a caller's request
        uint64_t fingerprint { 0 };                       // Same for a request that comes back
        unsigned maximumEndpoints { 1 };
        TimePoint arrived {};
        TimePoint deadline {};
        TimePoint target {};
        std::vector<std::string> tried; // Members asked
        unsigned reroutes { 0 };
        unsigned arrivals { 0 }; // Backend servers reached
        uint64_t attempt { 0 };  // Answers of earlier attempts are ignored
        std::string member;      // Asked by the attempt in progress
        RefPtr<PeerLink> link;   // Null while the own executor works on it
        uint64_t executorID { 0 };
        std::optional<Result<HTTPResponse>> earlier; // Of an attempt that arrived; no later "not run" hides it
        bool wentOut { false };                      // An attempt is in progress
        bool hasToken { false };                     // Of its organisation's rate, from a ledger
    };

    void handle(const RefPtr<StrictHTTPConnection>&, HTTPRequest, TimePoint now);
    Result<void> identify(Visit&, HTTPRequest&, TimePoint now);
    Result<void> authenticate(Visit&, const std::string& key, TimePoint now);
    void admit(const RefPtr<Visit>&, TimePoint now);
    void place(Visit&, TimePoint now);
    bool send(Visit&, RemoteEndpoint&, TimePoint now);
    void onOutcome(Visit&, MeshOutcome, TimePoint now);
    bool mayTryAgain(Visit&, const MeshOutcome&, TimePoint now);
    void endAttempt(Visit&);
    void withdrawAttempt(Visit&);
    Duration returnTime(const Visit&, Duration roomAfter) const;
    void answer(Visit&, Result<HTTPResponse>, TimePoint now);
    void logEnd(const Visit&, const Result<HTTPResponse>&, TimePoint now) const;
    void onDisconnect(StrictHTTPConnection&);
    void onDue(uint64_t id);
    RetryBudgetShare& allowanceFor(const Visit&);

    MeshIngressParts m_parts;
    StrictHTTPServer m_server;
    StrictHTTPLimits m_limits;
    std::unordered_map<uint64_t, RefPtr<Visit>> m_visits;
    std::unordered_map<uint64_t, RefPtr<Visit>> m_attempts; // By attempt, as frames carry it
    std::unordered_map<StrictHTTPConnection*, uint64_t> m_byConnection;
    std::map<std::pair<std::string, RequestOrigin>, RetryBudgetShare> m_allowances; // By service
    ScheduledRetries m_returns;
    DeadlineQueue m_deadlines;
    uint64_t m_nextID { 1 };
    bool m_leaving { false };
};

} // namespace shallot
