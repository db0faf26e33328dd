#include "net/PeerLinks.h"

#include "net/StreamSocket.h"
#include "wire/FrameCompressor.h"
#include "wire/Frames_generated.h"

#include <algorithm>
#include <numeric>

namespace shallot {

namespace {

constexpr size_t maximumAcceptedLinks = 4096;

} // namespace

PeerLinks::PeerLinks(PeerIdentity identity, Callbacks callbacks, const std::string& dictionary)
    : m_identity(std::move(identity))
    , m_callbacks(std::move(callbacks))
    , m_compressor(dictionary.empty() ? nullptr : std::make_unique<FrameCompressor>(dictionary))
{
}

PeerLinks::~PeerLinks()
{
    m_callbacks = {};
    closeAll();
}

Result<void> PeerLinks::listen(const SocketAddress& address)
{
    return m_listener.start(address, [this](RefPtr<StreamSocket> socket) {
        if (m_accepted.size() >= maximumAcceptedLinks)
            return;
        const auto link = makeLink(std::move(socket), false);
        m_accepted.insert(link);
        link->start();
    });
}

RefPtr<PeerLink> PeerLinks::makeLink(RefPtr<StreamSocket> socket, bool initiator)
{
    return makeRef<PeerLink>(std::move(socket), m_identity, initiator,
        PeerLink::Callbacks {
            [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); }, [this](PeerLink& link) { onClosed(link); } },
        m_compressor.get());
}

RefPtr<PeerLink> PeerLinks::linkTo(const std::string& address)
{
    if (m_blocked.contains(address))
        return nullptr;
    if (const auto found = m_outgoing.find(address); found != m_outgoing.end())
        return found->second;
    const auto target = parseSocketAddress(address);
    auto socket = target ? StreamSocket::connect(*target) : nullptr;
    if (!socket)
        return nullptr;
    auto link = makeLink(std::move(socket), true);
    m_outgoing[address] = link;
    link->start();
    return link->isOpen() ? link : nullptr;
}

void PeerLinks::onFrame(PeerLink& link, wire::FrameT& frame)
{
    if (m_blocked.contains(link.peer()))
        return;
    if (m_callbacks.onFrame)
        m_callbacks.onFrame(link, frame);
}

void PeerLinks::onClosed(PeerLink& link)
{
    const RefPtr<PeerLink> protect(&link);
    m_bytesOfClosedLinks += link.bytesSent();
    m_accepted.erase(protect);
    std::erase_if(m_outgoing, [&link](const auto& item) { return item.second.get() == &link; });
    if (m_callbacks.onClosed)
        m_callbacks.onClosed(link);
}

void PeerLinks::setBlocked(std::set<std::string> names)
{
    m_blocked = std::move(names);
    const auto outgoing = m_outgoing;
    for (const auto& [address, link] : outgoing) {
        if (m_blocked.contains(address) || m_blocked.contains(link->peer()))
            link->close();
    }
}

std::vector<RefPtr<PeerLink>> PeerLinks::links() const
{
    std::vector<RefPtr<PeerLink>> links(m_accepted.begin(), m_accepted.end());
    for (const auto& [address, link] : m_outgoing)
        links.push_back(link);
    return links;
}

void PeerLinks::closeAll()
{
    m_listener.stop();
    for (const auto& link : links())
        link->close();
}

uint64_t PeerLinks::bytesSent() const
{
    uint64_t total = m_bytesOfClosedLinks;
    for (const auto& [address, link] : m_outgoing)
        total += link->bytesSent();
    for (const auto& link : m_accepted)
        total += link->bytesSent();
    return total;
}

size_t PeerLinks::unsentBytes() const
{
    const auto all = links();
    return std::accumulate(
        all.begin(), all.end(), size_t { 0 }, [](size_t sum, const auto& link) { return sum + link->unsentBytes(); });
}

bool PeerLinks::hasUnacknowledgedBytes() const
{
    const auto all = links();
    return std::any_of(all.begin(), all.end(), [](const auto& link) { return link->unacknowledgedBytes() > 0; });
}

} // namespace shallot
