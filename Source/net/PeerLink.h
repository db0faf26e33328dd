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
    // False when the link is closed or too many frames wait for the handshake.
    bool send(const wire::FrameT&);
    void close();
    // Whether the peer is authenticated; until then no frame passed to send() has left this process.
    bool isEstablished() const { return m_established; }
    bool isOpen() const;
    const std::string& peer() const { return m_peer; }
    uint64_t peerBoot() const { return m_peerBoot; }
    uint64_t bytesSent() const { return m_bytesSent; }
    // Bytes that the kernel has not taken yet; zero before the handshake is complete.
    size_t unsentBytes() const;
    // Handles what has arrived at once instead of in the next iteration of the main loop.
    void readNow();
    // Why the link was closed; empty while it is open.
    const std::string& endReason() const { return m_endReason; }

private:
    void onData(std::span<const uint8_t>);
    bool onHandshakeFrame(const wire::FrameT&);
    bool onHello(const wire::HelloT&);
    bool onProof(const wire::ProofT&);
    std::string proofMAC(const std::string& nonce, const std::string& member, uint64_t boot, bool byInitiator) const;
    void sendNow(const wire::FrameT&);
    void write(std::string packed);
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
    uint64_t m_bytesSent { 0 };
    bool m_initiator { false };
    bool m_compresses { false }; // Set when the peer's zone is known
    bool m_established { false };
};

} // namespace shallot
