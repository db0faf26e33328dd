#include "net/PeerLink.h"

#include "core/Digest.h"
#include "core/Log.h"
#include "core/RequestID.h"
#include "net/StreamSocket.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

constexpr auto handshakeTimeout = std::chrono::seconds(3);
constexpr auto unacknowledgedTimeout = std::chrono::seconds(2); // Then a peer without TCP acknowledgements is unreachable
constexpr size_t maximumHandshakeFrameBytes = 4096;
constexpr size_t maximumPendingFrames = 10'000;

} // namespace

PeerLink::PeerLink(
    RefPtr<StreamSocket> socket, const PeerIdentity& identity, bool initiator, Callbacks callbacks, FrameCompressor* compressor)
    : m_socket(std::move(socket))
    , m_identity(identity)
    , m_callbacks(std::move(callbacks))
    , m_compressor(compressor)
    , m_reader(maximumHandshakeFrameBytes)
    , m_nonce(toHex(makeRandomRequestID()))
    , m_initiator(initiator)
{
    static uint64_t lastNumber = 0;
    m_number = ++lastNumber;
}

PeerLink::~PeerLink()
{
    m_socket->close();
}

size_t PeerLink::unsentBytes() const
{
    return m_established && isOpen() ? m_socket->pendingBytes() : 0;
}

size_t PeerLink::unacknowledgedBytes() const
{
    return m_established && isOpen() ? m_socket->unacknowledgedBytes() : 0;
}

bool PeerLink::isOpen() const
{
    return m_socket->isOpen();
}

void PeerLink::start()
{
    m_socket->setUserTimeout(unacknowledgedTimeout);
    m_socket->start({
        [this](std::span<const uint8_t> bytes) { onData(bytes); },
        [this] { m_connected = true; },
        [this](StreamEnd end) {
            m_refused = end == StreamEnd::Refused;
            m_rejected = m_connected && !m_established;
            fail(m_refused ? "refused by the peer" : "closed by the peer");
        },
        nullptr,
        nullptr,
        true,
    });
    m_handshakeTimer.startOnce(handshakeTimeout, [this] { fail("the handshake did not complete in time"); });
    wire::FrameT frame;
    wire::HelloT hello;
    hello.member = m_identity.member;
    hello.zone = m_identity.zone;
    hello.nonce = m_nonce;
    hello.boot = m_identity.boot;
    frame.body.Set(std::move(hello));
    sendNow(frame);
}

void PeerLink::onData(std::span<const uint8_t> bytes)
{
    const RefPtr<PeerLink> protect(this);
    m_reader.append(bytes);
    while (isOpen()) {
        const auto frame = m_reader.next();
        if (!frame) {
            fail(frame.error().detail.c_str());
            return;
        }
        if (!*frame)
            return;
        if (m_established) {
            m_callbacks.onFrame(*this, **frame);
        } else if (!onHandshakeFrame(**frame)) {
            fail("the handshake failed");
            return;
        }
    }
}

bool PeerLink::onHandshakeFrame(const wire::FrameT& frame)
{
    if (const auto* hello = frame.body.AsHello())
        return onHello(*hello);
    if (const auto* proof = frame.body.AsProof())
        return onProof(*proof);
    return false;
}

// The role is part of the authenticated text, which prevents reflection attacks.
std::string PeerLink::proofMAC(const std::string& nonce, const std::string& member, uint64_t boot, bool byInitiator) const
{
    return hmacHex(m_identity.secret, nonce + (byInitiator ? "|initiator|" : "|acceptor|") + std::to_string(boot) + "|" + member);
}

bool PeerLink::onHello(const wire::HelloT& hello)
{
    if (!m_peer.empty() || hello.member.empty() || hello.member == m_identity.member)
        return false;
    m_peer = hello.member;
    m_peerBoot = hello.boot;
    m_compresses = m_compressor && hello.zone != m_identity.zone;
    wire::FrameT frame;
    wire::ProofT proof;
    proof.mac = proofMAC(hello.nonce, m_identity.member, m_identity.boot, m_initiator);
    frame.body.Set(std::move(proof));
    sendNow(frame);
    return true;
}

bool PeerLink::onProof(const wire::ProofT& proof)
{
    if (m_peer.empty() || !equalConstantTime(proof.mac, proofMAC(m_nonce, m_peer, m_peerBoot, !m_initiator)))
        return false;
    m_established = true;
    m_handshakeTimer.stop();
    m_reader.setMaximumBytes(maximumFrameBytes);
    m_reader.setCompressor(m_compressor);
    for (auto& packed : std::exchange(m_pendingFrames, {}))
        write(std::move(packed));
    return true;
}

bool PeerLink::send(const wire::FrameT& frame)
{
    const RefPtr<PeerLink> protect(this); // A failed write closes the link, and its handler may drop the last reference
    if (!isOpen())
        return false;
    if (m_established)
        return sendNow(frame);
    if (m_pendingFrames.size() >= maximumPendingFrames)
        return false;
    m_pendingFrames.push_back(packFrame(frame));
    return true;
}

bool PeerLink::sendNow(const wire::FrameT& frame)
{
    return write(packFrame(frame));
}

bool PeerLink::write(std::string packed)
{
    const auto bytes = m_established && m_compresses ? compressPackedFrame(std::move(packed), *m_compressor) : std::move(packed);
    m_bytesSent += bytes.size();
    return m_socket->write(bytes);
}

void PeerLink::fail(const char* reason)
{
    const RefPtr<PeerLink> protect(this);
    m_handshakeTimer.stop();
    m_socket->close();
    if (m_endReason.empty())
        m_endReason = reason;
    SHALLOT_LOG(DEBUG, "link") << "Link to " << (m_peer.empty() ? "unknown peer" : m_peer) << " ended: " << reason << ".";
    if (const auto onClosed = std::exchange(m_callbacks.onClosed, nullptr))
        onClosed(*this);
}

void PeerLink::close()
{
    fail("closed by this daemon");
}

} // namespace shallot
