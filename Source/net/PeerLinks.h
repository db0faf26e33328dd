#pragma once

#include "net/Listener.h"
#include "net/PeerLink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallot {

// All links of one daemon: incoming links, and outgoing links opened on demand by address.
class PeerLinks {
public:
    struct Callbacks {
        std::function<void(PeerLink&, wire::FrameT&)> onFrame;
        std::function<void(PeerLink&)> onClosed;
    };

    // `dictionary` is the preset dictionary for compressing frames between availability zones; empty disables compression.
    PeerLinks(PeerIdentity, Callbacks, const std::string& dictionary = {});
    ~PeerLinks();

    Result<void> listen(const SocketAddress&);
    // Returns the open link to the address ("IP:port") or opens one. Null when the address is blocked or invalid, or when the
    // connection fails at once.
    RefPtr<PeerLink> linkTo(const std::string& address);
    // Accepts no new links.
    void stopListening() { m_listener.stop(); }
    void closeAll();
    // Incoming and outgoing ones, with those whose handshake has not completed.
    std::vector<RefPtr<PeerLink>> links() const;

    // Fault injection, until the set is replaced: closes the outgoing links to these addresses or members, opens no new ones to
    // the addresses and drops frames from the members.
    void setBlocked(std::set<std::string> names);

    const PeerIdentity& identity() const { return m_identity; }
    size_t linkCount() const { return m_outgoing.size() + m_accepted.size(); }
    uint64_t bytesSent() const;
    // Of established links, that the kernel has not taken.
    size_t unsentBytes() const;
    bool hasUnacknowledgedBytes() const;

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
