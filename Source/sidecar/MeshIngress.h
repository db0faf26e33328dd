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
    CrashSuspects& crashSuspects;
    std::string ownName;
};

// Serves callers: authenticates each request, takes a token of its organisation's rate, dispatches it to a backend server,
// retries where that is allowed, and responds before the deadline.
class MeshIngress {
public:
    explicit MeshIngress(MeshIngressDependencies);

    Result<void> start(const SocketAddress&);
    // Closes each connection when its requests are answered. Further requests of callers have `endBy` as their latest deadline
    // and calls of runs, which are accepted until then, `endCallsBy`.
    void startLeaving(TimePoint endBy, TimePoint endCallsBy);
    // Serves only calls of the local backend server's runs from now on.
    void refuseCallers() { m_refusesCallers = true; }
    // Responds to all open requests of this origin.
    void endAll(RequestOrigin, TimePoint now);
    // Accepts no new requests; those in progress continue.
    void stopAccepting() { m_server.startDraining(); }
    void applyLimits(const CallerLimits&);

    void onResponse(PeerLink&, wire::AnswerT&);
    // Responds to the query for a call whose link had ended.
    void onCallState(PeerLink&, const wire::CallStateT&);
    // The daemon at the other end begins no call on this link that it has not answered. Returns whether it is still asked on this
    // link for calls that were sent on earlier ones.
    bool onGoAway(PeerLink&);
    void onLinkClosed(PeerLink&);
    // The daemon at the other end has not answered a probe for this long.
    void onUnresponsive(PeerLink&, Duration unansweredFor);
    size_t inProgress() const { return m_pending.size(); }
    size_t openConnections() const { return m_server.connectionCount(); }
    const StrictHTTPServer& server() const { return m_server; }

private:
    struct PendingRequest;

    // A sending of a request to one backend server, until its outcome.
    struct Attempt : RefCounted<Attempt> {
        uint64_t id { 0 }; // In frames
        PendingRequest* request { nullptr };
        std::string member;
        std::string address;        // Of that member
        RefPtr<PeerLink> link;      // Null while the local executor runs it
        uint64_t memberBoot { 0 };  // Process that got it; set when its link ends
        bool awaitsState { false }; // The member is asked on a new link what became of it
        TimePoint awaitsStateSince {};
        bool resumed { false };         // It was not sent on its present link
        bool soughtOthers { false };    // Whether the request may be sent elsewhere as well has been decided
        bool countsAsReached { false }; // As if the backend server had received it
        unsigned rejectedLinks { 0 };   // Successive, while it awaits the state
        uint64_t executorCallID { 0 };
    };

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
        std::vector<std::string> routeRegions; // See AllowedRegions
        std::vector<std::string> organisationRegions;
        TimePoint arrivedAt {};
        TimePoint deadline {};
        TimePoint targetTime {};
        std::vector<std::string> triedMembers;   // Members that attempts were sent to
        std::vector<std::string> reachedMembers; // Whose backend servers received the request
        unsigned sendings { 0 };
        unsigned reroutes { 0 };
        unsigned backendsReached { 0 };  // Backend servers that received the request
        std::string member;              // Target of the latest attempt
        RefPtr<Attempt> attempt;         // The latest one while it is in progress
        RefPtr<Attempt> replacedAttempt; // An earlier one whose link has ended; it is answered if the latest one is not
        std::optional<Result<HTTPResponse>> earlierResponse; // May have executed; a later "not executed" must not replace it
        std::optional<Error> refusal;                        // The last one for lack of capacity
        bool hasToken { false };                             // A token of the organisation's rate, granted by a ledger

        AllowedRegions regions() const { return { routeRegions, organisationRegions }; }
        bool hasAttempt() const { return attempt || replacedAttempt; }
        // Whether the route allows a further backend server. A silent one may have received the request.
        bool mayReachAnother() const { return reachedMembers.size() + (replacedAttempt ? 1 : 0) < maximumEndpoints; }
    };

    void handle(const RefPtr<StrictHTTPConnection>&, HTTPRequest, TimePoint now);
    Result<void> checkRequest(PendingRequest&, HTTPRequest&, TimePoint now);
    Result<void> checkCrashSuspicion(PendingRequest&, const HTTPRequest&);
    uint64_t fingerprintOf(PendingRequest&, const HTTPRequest&) const;
    void limitRegions(PendingRequest&, const MeshRoute&) const;
    Result<void> authenticate(PendingRequest&, const std::string& key, TimePoint now);
    void admit(const RefPtr<PendingRequest>&, TimePoint now);
    void dispatch(PendingRequest&, TimePoint now);
    bool send(PendingRequest&, RemoteEndpoint&, TimePoint now);
    void onOutcome(Attempt&, MeshOutcome, TimePoint now);
    bool mayRetry(PendingRequest&, const MeshOutcome&, TimePoint now);
    std::vector<RefPtr<Attempt>> attemptsOn(const PeerLink&) const;
    void awaitState(Attempt&, const PeerLink& ended, TimePoint now);
    void queryState(Attempt&, TimePoint now);
    void onQueryDue(uint64_t attemptID);
    void replaceAttempt(Attempt&, TimePoint now);
    static bool returnToReplaced(PendingRequest&);
    void loseAttempt(Attempt&, TimePoint now);
    void repeat(PendingRequest&, const MeshOutcome&, TimePoint now);
    static void recordFailure(PendingRequest&, MeshOutcome);
    void startAttempt(const RefPtr<Attempt>&, RemoteEndpoint&);
    void endAttempt(Attempt&);
    void cancelAttempts(PendingRequest&);
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
    std::unordered_map<uint64_t, RefPtr<Attempt>> m_attempts; // By the id in frames
    std::unordered_map<StrictHTTPConnection*, uint64_t> m_byConnection;
    std::map<std::pair<std::string, RequestOrigin>, RetryBudgetShare> m_retryBudgets; // By service and origin
    ScheduledRetries m_scheduledRetries;
    DeadlineQueue m_deadlines;
    DeadlineQueue m_queries; // Of attempts that await their state: when to ask again
    uint64_t m_nextID { 1 };
    bool m_leaving { false };
    bool m_refusesCallers { false };
    TimePoint m_endBy { TimePoint::max() }; // While leaving
    TimePoint m_endCallsBy { TimePoint::max() };
};

} // namespace shallot
