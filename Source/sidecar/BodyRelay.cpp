// Index of this file
//   Sending:    send, sendAvailable, onCredit, onCancel
//   Receiving:  receive, onPart, grantMore, endIncoming
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
    m_outgoing[key] = { link, stream, { sent, sent + window } };
    stream->setConsumer([this, key] { sendAvailable(key); });
    sendAvailable(key);
}

void BodyRelay::sendAvailable(const Key& bodyKey)
{
    const auto key = bodyKey; // The argument may belong to a handler that is replaced below
    while (true) {
        const auto found = m_outgoing.find(key);
        if (found == m_outgoing.end())
            return;
        auto& [link, stream, credit] = found->second;
        const auto peer = link;
        const auto bytes = stream->take(std::min(credit.maySend(), window));
        if (!bytes.empty()) {
            const auto offset = credit.sent;
            credit.sent += bytes.size();
            peer->send(makeBodyPartFrame(key.second, offset, bytes));
            continue;
        }
        if (!stream->isFinished())
            return;
        const auto end = makeBodyEndFrame(key.second, credit.sent, stream->result());
        stream->setConsumer(nullptr);
        m_outgoing.erase(found);
        peer->send(end);
        return;
    }
}

void BodyRelay::onCredit(PeerLink& link, const wire::BodyCreditT& credit)
{
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

void BodyRelay::onPart(PeerLink& link, const wire::BodyPartT& part)
{
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
    for (const auto id : outgoing)
        onCancel(link, id);
    for (const auto id : incoming)
        endIncoming({ &link, id }, fail(ErrorKind::BackendFailed, "the link was lost within the body"));
}

} // namespace shallot
