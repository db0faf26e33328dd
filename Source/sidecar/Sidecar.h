#pragma once

#include "mesh/CrashSuspects.h"
#include "mesh/MeshSettings.h"
#include "mesh/ServedCalls.h"
#include "net/Timer.h"
#include "platform/InstanceSettings.h"
#include "sidecar/BodyRelay.h"
#include "sidecar/DistributedRateLimiter.h"
#include "sidecar/EndpointExecutor.h"
#include "sidecar/MeshIngress.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshMetrics.h"
#include "sidecar/MeshSync.h"
#include "sidecar/MeshView.h"

#include <functional>
#include <map>
#include <optional>
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
    ~Sidecar();

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
        std::optional<MeshOutcome> heldOutcome; // Without a link: an answer whose body still arrives
    };

    void handleControl(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    static void acknowledge(StrictHTTPConnection& notice, bool stored);
    Result<void> checkAnnouncement(const EndpointAnnouncement&) const;
    void handleReadiness(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    bool isReady(TimePoint now);

    void onFrame(PeerLink&, wire::FrameT&);
    void onLinkClosed(PeerLink&);
    void serveCall(PeerLink&, wire::CallT&);
    void answerCall(const ServedCallKey&, MeshOutcome);
    void onCancel(PeerLink&, uint64_t id);
    void cancelCall(const ServedCallKey&);
    void onCallQuery(PeerLink&, const wire::CallQueryT&);
    void cancelAbandonedCalls();
    void scheduleAbandonment(TimePoint now);
    void onGoAway(PeerLink&);

    void onBackendServerChange();
    void onConfiguration();
    void tick();
    void stopAcceptingWhenDue(TimePoint now);
    void endRequests();
    void finishLeaving();
    void endWhenPeersHaveClosed(TimePoint latest);

    platform::InstanceSettings m_instance;
    MeshMember m_own;
    uint64_t m_boot; // Identity of this process
    MeshView m_view;
    MeshLinks m_links;
    CrashSuspects m_crashSuspects;
    EndpointExecutor m_executor;
    DistributedRateLimiter m_rateLimiter;
    MeshMetrics m_metrics;
    BodyRelay m_bodies;
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
    std::map<ServedCallKey, ServedCall> m_served;
    std::set<RefPtr<StrictHTTPConnection>> m_waitingNotices; // For the store
    std::function<void()> m_onLeaveCompleted;
    uint64_t m_ticks { 0 };
    bool m_leaving { false };
    bool m_stoppedAccepting { false };
    bool m_beginsNoCalls { false };  // The peers have been told so
    TimePoint m_refuseCallersAt {};  // While leaving: all callers know of it then
    Duration m_lastResponsesTime {}; // While leaving: for the responses to the requests that are open at the end
    bool m_wasReady { false };
};

} // namespace shallot
