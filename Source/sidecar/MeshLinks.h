#pragma once

#include "mesh/EndpointReport.h"
#include "mesh/MeshMember.h"
#include "net/PeerLinks.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace shallot {

// Links to the other daemons, watched: a link that neither connects nor answers in time is closed, so that calls on it are
// placed elsewhere. Sends this daemon's state over each link and whenever it changes.
class MeshLinks {
public:
    struct Callbacks {
        std::function<void(PeerLink&, wire::FrameT&)> onFrame; // All frames but those of the watch
        std::function<void(PeerLink&)> onClosed;
        // A link there broke or was never made; since the last sign of life on it.
        std::function<void(const std::string& address, TimePoint since)> onUnreachable;
        // Calls wait on a link that says nothing; called again, with how long, while a question on it stays unanswered.
        std::function<void(const std::string& member, Duration unansweredFor)> onUnresponsive;
        std::function<void(const MeshMember&, const EndpointReport&)> onState;
        std::function<EndpointReport()> ownReport;
    };

    MeshLinks(PeerIdentity, MeshMember own, Callbacks, const std::string& dictionary = {});

    Result<void> listen(const SocketAddress&);
    // The link to that daemon, new if need be; null when none can be made.
    RefPtr<PeerLink> linkTo(const std::string& address);
    // Asks the daemon there for its state; its answer, or the end of the link, tells whether it can be reached.
    void probe(const std::string& address);
    // Calls in progress on a link; only such links are watched closely.
    void addOutstanding(PeerLink&);
    void removeOutstanding(PeerLink&);
    // Sends the own state to every linked daemon.
    void broadcastState();
    void setOwnService(const std::string& service) { m_own.service = service; }
    void tick(TimePoint now);
    void closeAll() { m_links.closeAll(); }
    size_t linkCount() const { return m_links.linkCount(); }
    uint64_t bytesSent() const { return m_links.bytesSent(); }

private:
    struct LinkMonitor {
        std::string address; // Of an outgoing link
        TimePoint created {};
        TimePoint lastReceivedAt {};
        TimePoint probedAt {}; // When the unanswered question was sent; zero: none is open
        uint32_t outstanding { 0 };
    };

    RefPtr<PeerLink> linkTo(const std::string& address, bool alwaysProbes);
    void onFrame(PeerLink&, wire::FrameT&);
    void onClosed(PeerLink&);
    void sendState(PeerLink&, bool requestsState);

    MeshMember m_own;
    Callbacks m_callbacks;
    PeerLinks m_links;
    std::unordered_map<PeerLink*, LinkMonitor> m_monitors;
};

} // namespace shallot
