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

// Who this process is towards its peers.
struct PeerIdentity {
    std::string member;
    std::string zone;
    std::string secret; // Shared by the fleet; proves that a peer belongs to it
};

// One authenticated connection to another daemon. Frames given before the handshake ends are sent after it.
class PeerLink : public RefCounted<PeerLink> {
public:
    struct Callbacks {
        std::function<void(PeerLink&, wire::FrameT&)> onFrame; // Only after the handshake
        std::function<void(PeerLink&)> onClosed;
    };

    // Frames to a peer in another availability zone are compressed where there is a compressor, which outlives the link.
    PeerLink(RefPtr<StreamSocket>, const PeerIdentity&, bool initiator, Callbacks, FrameCompressor* = nullptr);
    ~PeerLink();

    // Begins the handshake. May end the link before it returns, so the caller holds a reference and has stored the link.
    void start();
    // False once the link is closed.
    bool send(const wire::FrameT&);
    void close();
    // Whether the peer has proved itself; until then nothing that was given to send() has left this process.
    bool isEstablished() const { return m_established; }
    bool isOpen() const;
    const std::string& peer() const { return m_peer; }
    uint64_t bytesSent() const { return m_bytesSent; }

private:
    void onData(std::span<const uint8_t>);
    bool onHandshakeFrame(const wire::FrameT&);
    bool onHello(const wire::HelloT&);
    bool onProof(const wire::ProofT&);
    std::string proofMAC(const std::string& nonce, const std::string& member, bool byInitiator) const;
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
    std::vector<std::string> m_pendingFrames;
    uint64_t m_bytesSent { 0 };
    bool m_initiator { false };
    bool m_compresses { false }; // Known with the peer's zone
    bool m_established { false };
};

} // namespace shallot
