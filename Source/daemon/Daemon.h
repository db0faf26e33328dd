#pragma once

#include "claims/ClaimTable.h"
#include "config/ConfigurationIndex.h"
#include "daemon/AdminAPI.h"
#include "daemon/CallExecutor.h"
#include "daemon/CallRouter.h"
#include "daemon/Egress.h"
#include "daemon/Gossiper.h"
#include "daemon/Ingress.h"
#include "daemon/LogClient.h"
#include "daemon/LogFollower.h"
#include "daemon/Metrics.h"
#include "daemon/RequestDeduplicator.h"
#include "daemon/Settings.h"
#include "limits/LimitSystem.h"
#include "log/AppendQueue.h"
#include "membership/GossipTable.h"
#include "net/PeerLinks.h"
#include "net/Timer.h"
#include "policy/CrashFingerprints.h"
#include "policy/EndpointTable.h"

#include <functional>

namespace shallot {

// One daemon: constructs and connects its components and drives them by a timer on the main loop.
class Daemon {
public:
    explicit Daemon(Settings);
    ~Daemon();

    // Binds all ports. Returns Internal with the address that could not be bound.
    Result<void> start();
    // Announces the leave, finishes the requests in progress, returns loans and hands over partitions, then calls the
    // leave-completed handler.
    void leave();
    // Also called when the daemon leaves because its witnesses revoked it.
    void setLeaveCompletedHandler(std::function<void()> handler) { m_onLeaveCompleted = std::move(handler); }

    const std::string& member() const { return m_member; }
    std::string status() const;

private:
    void tick();
    void controlTick(TimePoint now);
    void onFrame(PeerLink&, wire::FrameT&);
    void onLinkClosed(PeerLink&);
    void onVoteRequest(PeerLink&, const wire::FrameT&);
    void onLoanRequests(PeerLink&, const wire::FrameT&);
    void onLoans(PeerLink&, const wire::FrameT&);
    void onCall(PeerLink&, wire::FrameT&);
    void onCancel(PeerLink&, uint64_t id);
    void sendLoanRequests(const LoanRequestBatch&);
    void onFleetStateChanged();
    void onMembershipChanged();
    void updateOwnEntry();
    void updateLogSources();
    void runOwnership(TimePoint now);
    void appendSnapshot(TimePoint now);
    void continueLeaving(TimePoint now);
    std::vector<std::string> aliveInZone() const;

    Settings m_settings;
    LimitSettings m_limitSettings;
    std::string m_member;
    PeerLinks m_links;
    CrashFingerprints m_crashes;
    EndpointTable m_endpoints;
    CallExecutor m_executor;
    CallRouter m_router;
    AppendQueue m_appends;
    LogClient m_logClient;
    LogFollower m_follower;
    ConfigurationIndex m_index;
    LimitSystem m_limits;
    GossipTable m_gossipTable;
    Gossiper m_gossiper;
    RequestDeduplicator m_claims;
    Metrics m_metrics;
    Ingress m_ingress;
    Egress m_egress;
    AdminAPI m_admin;
    Timer m_ticker;
    uint64_t m_indexedRevision { 0 };
    std::map<std::pair<const PeerLink*, uint64_t>, uint64_t> m_peerCalls; // (link, caller's call id) to executor's call id
    TimePoint m_lastControlTick {};
    TimePoint m_lastSeedProbe {};
    bool m_snapshotPending { false };

    enum class LeaveStage : uint8_t {
        None,
        Announced,
        HandingOver,
        Done,
    };

    LeaveStage m_leaveStage { LeaveStage::None };
    TimePoint m_leaveStarted {};
    size_t m_pendingAppends { 0 };
    std::function<void()> m_onLeaveCompleted;
};

} // namespace shallot
