#pragma once

#include "mesh/EndpointReport.h"
#include "mesh/MeshMember.h"
#include "net/PeerLinks.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace shallot {

// Links to the other daemons, with health monitoring: a link that fails to connect or to answer a probe in time is closed, so
// that its calls are dispatched elsewhere. Sends this daemon's state over each link and whenever it changes.
class MeshLinks {
public:
    struct Callbacks {
        std::function<void(PeerLink&, wire::FrameT&)> onFrame; // All frames except member states
        std::function<void(PeerLink&)> onClosed;
        // A link to that address broke or could not be made; `since` is when something was last received on it.
        std::function<void(const std::string& address, TimePoint since)> onUnreachable;
        // A link with calls in progress is silent. Called with zero when a probe is sent, then at each tick with the time that
        // the probe has been unanswered.
        std::function<void(PeerLink&, Duration unansweredFor)> onUnresponsive;
        std::function<void(const MeshMember&, const EndpointReport&)> onState;
        std::function<EndpointReport()> ownReport;
    };

    MeshLinks(PeerIdentity, MeshMember own, Callbacks, const std::string& dictionary = {});

    Result<void> listen(const SocketAddress&);
    // The link to that daemon, created if necessary; null if that fails.
    RefPtr<PeerLink> linkTo(const std::string& address);
    // Requests the state of that daemon; the response or the end of the link shows whether the daemon is reachable.
    void probe(const std::string& address);
    // Counts calls in progress on a link; only links with such calls are probed when they are silent.
    void addOutstanding(PeerLink&);
    void removeOutstanding(PeerLink&);
    // Sends this daemon's state to every linked daemon.
    void broadcastState();
    // The same with records of requests that crash backend servers.
    void broadcastCrashSuspects(const std::vector<CrashSuspect>&);
    // Tells every linked daemon that this one begins no further call, and accepts no new links. They close their links then.
    void goAway();
    void setOwnService(const std::string& service) { m_own.service = service; }
    void tick(TimePoint now);
    void closeAll() { m_links.closeAll(); }
    size_t linkCount() const { return m_links.linkCount(); }
    uint64_t bytesSent() const { return m_links.bytesSent(); }
    size_t unsentBytes() const { return m_links.unsentBytes(); }
    bool hasUnacknowledgedBytes() const { return m_links.hasUnacknowledgedBytes(); }

private:
    struct LinkMonitor {
        std::string address; // Empty for an incoming link
        TimePoint created {};
        TimePoint lastReceivedAt {};
        TimePoint probedAt {}; // When the unanswered probe was sent; zero: none
        uint32_t outstanding { 0 };
    };

    RefPtr<PeerLink> linkTo(const std::string& address, bool alwaysProbes);
    void onFrame(PeerLink&, wire::FrameT&);
    void onClosed(PeerLink&);
    void sendState(PeerLink&, bool requestsState, const std::vector<CrashSuspect>& = {});
    std::vector<RefPtr<PeerLink>> allLinks() const;

    MeshMember m_own;
    Callbacks m_callbacks;
    PeerLinks m_links;
    std::unordered_map<PeerLink*, LinkMonitor> m_monitors;
};

} // namespace shallot
