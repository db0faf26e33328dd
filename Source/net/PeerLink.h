#pragma once

#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/Timer.h"
#include "wire/FrameReader.h"

#include <functional>
#include <string>
#include <vector>

namespace shallot {

namespace wire {
struct HelloT;
struct ProofT;
} // namespace wire

class FrameCompressor;
class StreamSocket;

// How this process identifies and authenticates itself to its peers.
struct PeerIdentity {
    std::string member;
    std::string zone;
    std::string secret;  // Shared by all daemons of the fleet; peers prove that they know it
    uint64_t boot { 0 }; // Of this process, if the ids in its frames are to be told from those of an earlier one
};

// One authenticated connection to another daemon. Frames passed to send() during the handshake are sent when it has completed.
class PeerLink : public RefCounted<PeerLink> {
public:
    struct Callbacks {
        std::function<void(PeerLink&, wire::FrameT&)> onFrame; // Only after the handshake
        std::function<void(PeerLink&)> onClosed;
    };

    // With a compressor, frames to a peer in another availability zone are compressed. It must outlive the link.
    PeerLink(RefPtr<StreamSocket>, const PeerIdentity&, bool initiator, Callbacks, FrameCompressor* = nullptr);
    ~PeerLink();

    // Starts the handshake. The link may be closed before this returns, so the caller must hold a reference and must have stored
    // the link already.
    void start();
    // False when the link is closed, its peer has closed it, or too many frames wait for the handshake. What the peer sent before
    // is still received.
    bool send(const wire::FrameT&);
    void close();
    // Whether the peer is authenticated; until then no frame passed to send() has left this process.
    bool isEstablished() const { return m_established; }
    bool isOpen() const;
    // Rising in the order in which this process opened or accepted its links.
    uint64_t number() const { return m_number; }
    const std::string& peer() const { return m_peer; }
    uint64_t peerBoot() const { return m_peerBoot; }
    uint64_t bytesSent() const { return m_bytesSent; }
    // Bytes that the own kernel has not taken; zero before the handshake is complete.
    size_t unsentBytes() const;
    // Those and what the peer's kernel has not acknowledged.
    size_t unacknowledgedBytes() const;
    // Whether it ended because nobody accepts connections at the peer's address.
    bool wasRefused() const { return m_refused; }
    // Whether the peer accepted the connection and closed it before the handshake was complete.
    bool wasRejected() const { return m_rejected; }
    // Whether the peer has sent its last message, as told by the receiver of its frames.
    void setPeerEnds() { m_peerEnds = true; }
    bool peerEnds() const { return m_peerEnds; }
    // Why the link was closed; empty while it is open.
    const std::string& endReason() const { return m_endReason; }

private:
    void onData(std::span<const uint8_t>);
    bool onHandshakeFrame(const wire::FrameT&);
    bool onHello(const wire::HelloT&);
    bool onProof(const wire::ProofT&);
    std::string proofMAC(const std::string& nonce, const std::string& member, uint64_t boot, bool byInitiator) const;
    bool sendNow(const wire::FrameT&);
    bool write(std::string packed);
    void fail(const char* reason);

    RefPtr<StreamSocket> m_socket;
    const PeerIdentity& m_identity;
    Callbacks m_callbacks;
    FrameCompressor* m_compressor;
    FrameReader m_reader;
    Timer m_handshakeTimer;
    std::string m_nonce;
    std::string m_peer;
    uint64_t m_peerBoot { 0 };
    std::string m_endReason;
    std::vector<std::string> m_pendingFrames;
    uint64_t m_number { 0 };
    uint64_t m_bytesSent { 0 };
    bool m_initiator { false };
    bool m_compresses { false }; // Set when the peer's zone is known
    bool m_established { false };
    bool m_connected { false };
    bool m_refused { false };
    bool m_rejected { false };
    bool m_peerEnds { false };
};

} // namespace shallot
