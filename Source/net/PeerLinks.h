#pragma once

#include "net/Listener.h"
#include "net/PeerLink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace shallot {

// All links of one daemon: accepted ones, and outgoing ones made on demand by address.
class PeerLinks {
public:
    struct Callbacks {
        std::function<void(PeerLink&, wire::FrameT&)> onFrame;
        std::function<void(PeerLink&)> onClosed;
    };

    // The dictionary of frames between availability zones; without one they are not compressed.
    PeerLinks(PeerIdentity, Callbacks, const std::string& dictionary = {});
    ~PeerLinks();

    Result<void> listen(const SocketAddress&);
    // The open link to that address, or a new one; null when none can be made.
    RefPtr<PeerLink> linkTo(const std::string& address);
    void closeAll();

    // Fault injection: links to and from these addresses or members fail until the set changes.
    void setBlocked(std::set<std::string> names);

    const PeerIdentity& identity() const { return m_identity; }
    size_t linkCount() const { return m_outgoing.size() + m_accepted.size(); }
    uint64_t bytesSent() const;

private:
    RefPtr<PeerLink> makeLink(RefPtr<StreamSocket>, bool initiator);
    void onFrame(PeerLink&, wire::FrameT&);
    void onClosed(PeerLink&);

    PeerIdentity m_identity;
    Callbacks m_callbacks;
    std::unique_ptr<FrameCompressor> m_compressor;
    Listener m_listener;
    std::map<std::string, RefPtr<PeerLink>> m_outgoing; // By address
    std::set<RefPtr<PeerLink>> m_accepted;
    std::set<std::string> m_blocked;
    uint64_t m_bytesOfClosedLinks { 0 };
};

} // namespace shallot
