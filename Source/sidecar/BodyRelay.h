#pragma once

#include "core/RefCounted.h"
#include "mesh/BodyWindow.h"
#include "net/BodyStream.h"
#include "net/PeerLink.h"

#include <deque>
#include <map>
#include <utility>

namespace shallot {

namespace wire {
struct BodyCreditT;
struct BodyPartT;
} // namespace wire

class ByteBudget;

// Passes the rest of long response bodies from one daemon to another, each under its own credit. A body that its reader takes
// slowly stalls neither the link nor other bodies. The bodies of a link take turns, and few of their bytes are on the way at a
// time, so that other frames wait behind these only.
class BodyRelay {
public:
    // The budget counts what was received and not taken; it must outlive the relay.
    explicit BodyRelay(ByteBudget& budget)
        : m_budget(budget)
    {
    }
    ~BodyRelay();

    // Sends the rest of the response to the call with that id, of which `sent` bytes were in the answer.
    void send(const RefPtr<PeerLink>&, uint64_t id, const RefPtr<BodyStream>&, uint64_t sent);
    // The rest of the response to the own call with that id, of which `received` bytes were in the answer.
    RefPtr<BodyStream> receive(PeerLink&, uint64_t id, uint64_t received);

    void onPart(PeerLink&, const wire::BodyPartT&);
    void onCredit(PeerLink&, const wire::BodyCreditT&);
    // The other daemon needs no more of that body.
    void onCancel(PeerLink&, uint64_t id);
    void onLinkClosed(PeerLink&);
    // Bodies that are being sent to other daemons.
    size_t outgoing() const { return m_outgoing.size(); }

private:
    using Key = std::pair<PeerLink*, uint64_t>; // The id is chosen by the daemon that made the call

    struct Outgoing {
        RefPtr<PeerLink> link;
        RefPtr<BodyStream> stream;
        BodySendWindow window;
        bool isReady { false }; // In the link's queue
    };

    struct Incoming {
        RefPtr<PeerLink> link;
        RefPtr<BodyStream> stream;
        BodyReceiveWindow window;
    };

    // Of one link
    struct Flow {
        std::deque<uint64_t> ready;  // Bodies that may have something to send
        uint64_t sent { 0 };         // Bytes of parts
        uint64_t acknowledged { 0 }; // Of these
        uint64_t received { 0 };
        uint64_t receivedAcknowledged { 0 };
    };

    void sendAvailable(const Key&);
    void sendParts(const RefPtr<PeerLink>&);
    bool sendPart(const RefPtr<PeerLink>&, uint64_t id);
    void acknowledge(PeerLink&, size_t bytes);
    void grantMore(const Key&);
    void endIncoming(const Key&, Result<void>);

    ByteBudget& m_budget;
    std::map<Key, Outgoing> m_outgoing;
    std::map<Key, Incoming> m_incoming;
    std::map<PeerLink*, Flow> m_flows;
};

} // namespace shallot
