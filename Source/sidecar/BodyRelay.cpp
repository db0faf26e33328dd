// Index of this file
//   Sending:    send, sendAvailable, sendParts, sendPart, onCredit, onCancel
//   Receiving:  receive, onPart, acknowledge, grantMore, endIncoming
//   Links:      onLinkClosed

#include "sidecar/BodyRelay.h"

#include "core/ByteBudget.h"
#include "core/EventLog.h"
#include "daemon/CallFrames.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t window = BodyStream::minimumWindow; // Bytes that may be on the way for one body without a grant
constexpr size_t maximumWindow = 256 * 1024;         // While the budget has room: 20 ms between two zones allow 12 MB/s
constexpr size_t grantedShare = 4; // Of the room, one in so many bytes: the grants must fit a link's write buffer when it stalls

constexpr size_t partBytes = 32 * 1024;
// Not acknowledged, on one link: 20 ms between two zones allow 12 MB/s. Other frames wait behind so many bytes at most.
constexpr size_t maximumBytesOnTheWay = 256 * 1024;
constexpr size_t acknowledgedBytes = 64 * 1024; // Between two acknowledgements

} // namespace

BodyRelay::~BodyRelay()
{
    for (const auto& [key, body] : m_outgoing)
        body.stream->setConsumer(nullptr);
    for (const auto& [key, body] : m_incoming)
        body.stream->setProducer(nullptr, nullptr);
}

// Sending

void BodyRelay::send(const RefPtr<PeerLink>& link, uint64_t id, const RefPtr<BodyStream>& stream, uint64_t sent)
{
    const Key key { link.get(), id };
    if (!link->isOpen()) {
        stream->abandon();
        return;
    }
    m_outgoing[key] = { link, stream, { sent, sent + window }, false };
    stream->setConsumer([this, key] { sendAvailable(key); });
    sendAvailable(key);
}

void BodyRelay::sendAvailable(const Key& key)
{
    const auto found = m_outgoing.find(key);
    if (found == m_outgoing.end())
        return;
    const auto link = found->second.link;
    if (!std::exchange(found->second.isReady, true))
        m_flows[link.get()].ready.push_back(key.second);
    sendParts(link);
}

// A failed write closes the link, which erases its flow.
void BodyRelay::sendParts(const RefPtr<PeerLink>& link)
{
    while (true) {
        const auto flow = m_flows.find(link.get());
        if (flow == m_flows.end() || flow->second.ready.empty()
            || flow->second.sent - flow->second.acknowledged >= maximumBytesOnTheWay)
            return;
        const auto id = flow->second.ready.front();
        flow->second.ready.pop_front();
        if (!sendPart(link, id))
            continue;
        const auto body = m_outgoing.find({ link.get(), id });
        const auto open = m_flows.find(link.get());
        if (body == m_outgoing.end() || open == m_flows.end())
            continue;
        body->second.isReady = true;
        open->second.ready.push_back(id);
    }
}

// Returns whether the body may have more to send.
bool BodyRelay::sendPart(const RefPtr<PeerLink>& link, uint64_t id)
{
    const auto found = m_outgoing.find({ link.get(), id });
    if (found == m_outgoing.end())
        return false;
    auto& body = found->second;
    body.isReady = false;
    const auto stream = body.stream;
    const auto bytes = stream->take(std::min(body.window.maySend(), partBytes));
    if (!bytes.empty()) {
        const auto offset = body.window.sent;
        body.window.sent += bytes.size();
        m_flows[link.get()].sent += bytes.size();
        link->send(makeBodyPartFrame(id, offset, bytes));
        return true;
    }
    if (!stream->isFinished())
        return false;
    const auto end = makeBodyEndFrame(id, body.window.sent, stream->result());
    stream->setConsumer(nullptr);
    m_outgoing.erase(found);
    link->send(end);
    return false;
}

void BodyRelay::onCredit(PeerLink& link, const wire::BodyCreditT& credit)
{
    if (!credit.id) {
        if (const auto flow = m_flows.find(&link); flow != m_flows.end()) {
            auto& [ready, sent, acknowledged, received, receivedAcknowledged] = flow->second;
            acknowledged = std::max(acknowledged, std::min(credit.total, sent));
        }
        sendParts(&link);
        return;
    }
    const Key key { &link, credit.id };
    const auto found = m_outgoing.find(key);
    if (found == m_outgoing.end())
        return;
    found->second.window.recordGrant(credit.total);
    sendAvailable(key);
}

void BodyRelay::onCancel(PeerLink& link, uint64_t id)
{
    const auto found = m_outgoing.find({ &link, id });
    if (found == m_outgoing.end())
        return;
    const auto stream = found->second.stream;
    m_outgoing.erase(found);
    stream->abandon();
}

// Receiving

RefPtr<BodyStream> BodyRelay::receive(PeerLink& link, uint64_t id, uint64_t received)
{
    const Key key { &link, id };
    auto stream = makeRef<BodyStream>(m_budget);
    stream->setProducer([this, key] { grantMore(key); },
        [this, key] {
            const RefPtr<PeerLink> peer(key.first);
            m_incoming.erase(key);
            peer->send(makeCancelFrame(key.second));
        });
    m_incoming.insert_or_assign(key, Incoming { &link, stream, { received, window } });
    grantMore(key);
    return stream;
}

// The link goes on while a body waits for its reader, so all parts that arrive count at once.
void BodyRelay::acknowledge(PeerLink& link, size_t bytes)
{
    auto& flow = m_flows[&link];
    flow.received += bytes;
    if (flow.received - flow.receivedAcknowledged < acknowledgedBytes)
        return;
    flow.receivedAcknowledged = flow.received;
    link.send(makeBodyCreditFrame(0, flow.received));
}

void BodyRelay::onPart(PeerLink& link, const wire::BodyPartT& part)
{
    const RefPtr<PeerLink> protect(&link);
    acknowledge(link, part.bytes.size());
    const Key key { &link, part.id };
    const auto found = m_incoming.find(key);
    if (found == m_incoming.end())
        return; // Given up here; the cancellation crossed this part
    if (!found->second.window.accept(part.offset, part.bytes.size())) {
        EventLog::write("body-part-invalid",
            { { "peer", link.peer() }, { "offset", part.offset }, { "bytes", part.bytes.size() },
                { "received", found->second.window.received() }, { "granted", found->second.window.granted() } });
        endIncoming(key, fail(ErrorKind::BadResponse, "a part of the body is out of order or beyond its credit"));
        link.send(makeCancelFrame(part.id));
        return;
    }
    const auto stream = found->second.stream;
    stream->push({ reinterpret_cast<const char*>(part.bytes.data()), part.bytes.size() });
    if (!part.last)
        grantMore(key);
    else if (part.error)
        endIncoming(key, tl::unexpected(Error { errorInfo(static_cast<ErrorKind>(part.error)).kind, part.detail, {} }));
    else
        endIncoming(key, {});
}

void BodyRelay::grantMore(const Key& bodyKey)
{
    const auto found = m_incoming.find(bodyKey);
    if (found == m_incoming.end())
        return;
    auto& body = found->second;
    const auto share = std::clamp(m_budget.room() / grantedShare / m_incoming.size(), window, maximumWindow);
    if (const auto total = body.window.nextGrant(body.stream->hasCredit() ? share : 0))
        RefPtr<PeerLink>(body.link)->send(makeBodyCreditFrame(bodyKey.second, *total));
}

void BodyRelay::endIncoming(const Key& key, Result<void> result)
{
    const auto found = m_incoming.find(key);
    if (found == m_incoming.end())
        return;
    const auto stream = found->second.stream;
    m_incoming.erase(found);
    stream->end(std::move(result));
}

// Links

void BodyRelay::onLinkClosed(PeerLink& link)
{
    std::vector<uint64_t> outgoing;
    std::vector<uint64_t> incoming;
    for (const auto& [key, body] : m_outgoing) {
        if (key.first == &link)
            outgoing.push_back(key.second);
    }
    for (const auto& [key, body] : m_incoming) {
        if (key.first == &link)
            incoming.push_back(key.second);
    }
    m_flows.erase(&link);
    for (const auto id : outgoing)
        onCancel(link, id);
    for (const auto id : incoming)
        endIncoming({ &link, id }, fail(ErrorKind::BackendFailed, "the link was lost within the body"));
}

} // namespace shallot
