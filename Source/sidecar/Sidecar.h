#pragma once

#include "mesh/CrashSuspects.h"
#include "mesh/MeshSettings.h"
#include "mesh/ServedCalls.h"
#include "mesh/TransitTime.h"
#include "net/Timer.h"
#include "platform/InstanceSettings.h"
#include "sidecar/DistributedRateLimiter.h"
#include "sidecar/EndpointExecutor.h"
#include "sidecar/MeshIngress.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshMetrics.h"
#include "sidecar/MeshSync.h"
#include "sidecar/MeshView.h"

#include <functional>
#include <map>
#include <set>

namespace shallot {

namespace wire {
struct CallQueryT;
struct CallT;
struct CancelT;
} // namespace wire

// The daemon beside one backend server on the platform: owns the components and dispatches peer frames to them.
class Sidecar {
public:
    Sidecar(platform::InstanceSettings, const MeshSettings&, std::string peerSecret);

    Result<void> start();
    // Starts a graceful leave: serves open requests until they complete or the shutdown time, which began at `signalledAt`, is
    // nearly over, then calls the handler.
    void leave(TimePoint signalledAt);
    void setLeaveCompletedHandler(std::function<void()> handler) { m_onLeaveCompleted = std::move(handler); }
    // Applies settings that need no new socket: the shutdown time and the store's address.
    void applySettings(const platform::InstanceSettings&);

    // Known daemons, including this one.
    size_t memberCount() const { return m_view.memberCount(); }

private:
    // A call that a peer sent and that is queued or running at the local backend server.
    struct ServedCall {
        RefPtr<PeerLink> link; // Null since it has ended
        uint64_t executorCallID { 0 };
    };

    void handleControl(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    void acknowledge(StrictHTTPConnection& notice, bool stored) const;
    Result<void> checkAnnouncement(const EndpointAnnouncement&) const;
    void handleReadiness(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    bool isReady(TimePoint now);

    void onFrame(PeerLink&, wire::FrameT&);
    void onLinkClosed(PeerLink&);
    Duration transitDelay(const PeerLink&, const MeshCall&, TimePoint now);
    void serveCall(PeerLink&, wire::CallT&);
    void answerCall(const ServedCallKey&, MeshOutcome);
    void cancelCall(const ServedCallKey&);
    void onCallQuery(PeerLink&, const wire::CallQueryT&);
    void cancelAbandonedCalls();
    void scheduleAbandonment(TimePoint now);
    void onGoAway(PeerLink&);

    void onBackendServerChange();
    void onConfiguration();
    void updateRetryAllowance();
    void tick();
    void startLeavingBackendServer(TimePoint endBy, TimePoint now);
    bool isIdle() const;
    bool waitsForPeers(TimePoint now) const;
    TimePoint scheduleEnd(Duration margin, TimePoint now);
    void stopAcceptingWhenDue(TimePoint now);
    void endRequests();
    void finishLeaving();
    size_t openLocalConnections() const { return m_control.connectionCount() + m_readiness.connectionCount(); }
    void endWhenConnectionsHaveClosed(TimePoint latest);

    const MeshSettings& m_settings;
    platform::InstanceSettings m_instance;
    MeshMember m_own;
    uint64_t m_boot; // Identity of this process
    MeshView m_view;
    MeshLinks m_links;
    CrashSuspects m_crashSuspects;
    EndpointExecutor m_executor;
    DistributedRateLimiter m_rateLimiter;
    MeshMetrics m_metrics;
    MeshIngress m_ingress;
    platform::StoreClient m_store;
    MeshSync m_sync;
    StrictHTTPServer m_control;
    StrictHTTPServer m_readiness;
    Timer m_tick;
    Timer m_leaveTimer;
    Timer m_endTimer; // While leaving: until what is open is ended
    Timer m_abandonmentTimer;
    ServedCalls m_servedCalls;
    std::map<std::pair<std::string, uint64_t>, TransitTime> m_transitTimes; // Of calls, by the member and boot of their sender
    std::map<ServedCallKey, ServedCall> m_served;
    std::set<RefPtr<StrictHTTPConnection>> m_waitingNotices; // For the store
    std::function<void()> m_onLeaveCompleted;
    TimePoint m_tickedAt {}; // Of the last tick
    uint64_t m_ticks { 0 };
    bool m_leaving { false };
    bool m_stoppedAccepting { false };
    bool m_beginsNoCalls { false }; // The peers have been told so
    TimePoint m_signalledFrom {};   // While leaving: the signal arrived at that time or later
    TimePoint m_signalledBy {};     // While leaving: the signal had arrived by that time
    TimePoint m_refuseCallersAt {}; // While leaving: all callers know of it then
    TimePoint m_killedAt {};        // While leaving: the end of the shutdown time
    TimePoint m_finishBy {};        // While leaving: the responses to the requests that are open at the end have been sent
    TimePoint m_endCallsBy {};      // While leaving: the latest deadline that a call of a run has been given
    TimePoint m_idleSince { TimePoint::max() }; // While leaving: nothing is in progress; max(): something is
    bool m_wasReady { false };
};

} // namespace shallot
