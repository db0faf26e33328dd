#pragma once

#include "mesh/MeshSettings.h"
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
#include <unordered_map>

namespace shallot {

namespace wire {
struct CallT;
struct CancelT;
} // namespace wire

// The daemon beside one backend server on the platform: puts the parts together and carries frames between them.
class Sidecar {
public:
    Sidecar(platform::InstanceSettings, const MeshSettings&, std::string peerSecret);

    Result<void> start();
    // Serves what is open to its end, then calls the handler.
    void leave();
    void setLeaveCompletedHandler(std::function<void()> handler) { m_onLeaveCompleted = std::move(handler); }
    // New settings: those that need no new socket come into force.
    void applySettings(const platform::InstanceSettings&);

    // Daemons that this one knows, itself included.
    size_t memberCount() const { return m_view.memberCount(); }

private:
    // A call that a peer sent and the own backend server works on.
    struct ServedCall {
        RefPtr<PeerLink> link;
        uint64_t id { 0 }; // As the peer names it
        bool idempotent { true };
    };

    void handleControl(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    void handleReadiness(const RefPtr<StrictHTTPConnection>&, const HTTPRequest&);
    bool isReady(TimePoint now);

    void onFrame(PeerLink&, wire::FrameT&);
    void onLinkClosed(PeerLink&);
    void serveCall(PeerLink&, wire::CallT&);
    void cancelCall(PeerLink&, const wire::CancelT&);

    void onBackendServerChange();
    void onConfiguration();
    void tick();
    void finishLeaving();

    platform::InstanceSettings m_instance;
    MeshMember m_own;
    MeshView m_view;
    MeshLinks m_links;
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
    std::unordered_map<uint64_t, ServedCall> m_served; // By the executor's id
    std::function<void()> m_onLeaveCompleted;
    uint64_t m_ticks { 0 };
    bool m_leaving { false };
    bool m_stoppedAccepting { false };
    bool m_wasReady { false };
};

} // namespace shallot
