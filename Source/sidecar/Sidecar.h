#pragma once

#include "mesh/CrashSuspects.h"
#include "mesh/MeshSettings.h"
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
#include <unordered_map>

namespace shallot {

namespace wire {
struct CallT;
struct CancelT;
} // namespace wire

// The daemon beside one backend server on the platform: owns the components and dispatches peer frames to them.
class Sidecar {
public:
    Sidecar(platform::InstanceSettings, const MeshSettings&, std::string peerSecret);
    ~Sidecar();

    Result<void> start();
    // Starts a graceful leave: serves open requests until they complete or the shutdown time is nearly over, then calls the
    // handler.
    void leave();
    void setLeaveCompletedHandler(std::function<void()> handler) { m_onLeaveCompleted = std::move(handler); }
    // Applies settings that need no new socket: the shutdown time and the store's address.
    void applySettings(const platform::InstanceSettings&);

    // Known daemons, including this one.
    size_t memberCount() const { return m_view.memberCount(); }

private:
    // A call that a peer sent and that is queued or running at the local backend server.
    struct ServedCall {
        RefPtr<PeerLink> link;
        uint64_t id { 0 }; // Chosen by the peer
        bool idempotent { true };
    };

    void handleControl(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    Result<void> checkAnnouncement(const EndpointAnnouncement&) const;
    void handleReadiness(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    bool isReady(TimePoint now);

    void onFrame(PeerLink&, wire::FrameT&);
    void onLinkClosed(PeerLink&);
    void serveCall(PeerLink&, wire::CallT&);
    void cancelCall(PeerLink&, const wire::CancelT&);

    void onBackendServerChange();
    void onConfiguration();
    void tick();
    void stopAcceptingWhenDue(TimePoint now);
    void endRequests();
    void finishLeaving();

    platform::InstanceSettings m_instance;
    MeshMember m_own;
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
    std::unordered_map<uint64_t, ServedCall> m_served; // By the executor's call id
    std::function<void()> m_onLeaveCompleted;
    uint64_t m_ticks { 0 };
    bool m_leaving { false };
    bool m_stoppedAccepting { false };
    TimePoint m_refuseCallersAt {}; // While leaving: all callers know of it then
    bool m_wasReady { false };
};

} // namespace shallot
