#include "sidecar/MeshLinks.h"

#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

// Of a member, as it says of itself; any other value is taken as unavailable.
enum class State : uint8_t {
    Available = 0,
    Unavailable = 1, // Its backend server takes no new work
    Leaving = 2,     // The daemon is being stopped
};

constexpr auto connectTimeout = 600ms;        // To connect and prove each other; hundreds of times the way between two zones
constexpr auto silenceBeforeQuestion = 300ms; // Of a link with calls in progress; shorter than most runs are long
constexpr auto answerTimeout = 700ms;         // Of that question

} // namespace

MeshLinks::MeshLinks(PeerIdentity identity, MeshMember own, Callbacks callbacks, const std::string& dictionary)
    : m_own(std::move(own))
    , m_callbacks(std::move(callbacks))
    , m_links(std::move(identity),
          { [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); }, [this](PeerLink& link) { onClosed(link); } },
          dictionary)
{
}

Result<void> MeshLinks::listen(const SocketAddress& address)
{
    return m_links.listen(address);
}

// A new link asks its peer for its state.
RefPtr<PeerLink> MeshLinks::linkTo(const std::string& address, bool asksInAnyCase)
{
    auto link = m_links.linkTo(address);
    if (!link)
        return nullptr;
    auto& watch = m_watches[link.get()];
    const bool isNew = watch.created == TimePoint();
    if (isNew) {
        watch.address = address;
        watch.created = MonotonicClock::now();
        watch.heard = watch.created;
    }
    if (isNew || asksInAnyCase)
        sendState(*link, true);
    return link;
}

RefPtr<PeerLink> MeshLinks::linkTo(const std::string& address)
{
    return linkTo(address, false);
}

void MeshLinks::probe(const std::string& address)
{
    linkTo(address, true);
}

void MeshLinks::addOutstanding(PeerLink& link)
{
    const auto found = m_watches.find(&link);
    if (found != m_watches.end() && !found->second.outstanding++)
        found->second.heard = std::max(found->second.heard, MonotonicClock::now());
}

void MeshLinks::removeOutstanding(PeerLink& link)
{
    const auto found = m_watches.find(&link);
    if (found != m_watches.end() && found->second.outstanding)
        --found->second.outstanding;
}

void MeshLinks::sendState(PeerLink& link, bool wantsAnswer)
{
    const auto report = m_callbacks.ownReport();
    auto state = std::make_unique<wire::MemberStateT>();
    state->member = m_own.name;
    state->zone = m_own.zone;
    state->address = m_own.address;
    state->service = m_own.service;
    state->slots = report.limit;
    state->state = static_cast<uint8_t>(report.leaving ? State::Leaving
            : report.available                         ? State::Available
                                                       : State::Unavailable);
    wire::GossipT gossip;
    gossip.wants_table = wantsAnswer;
    gossip.members.push_back(std::move(state));
    wire::FrameT frame;
    frame.body.Set(std::move(gossip));
    link.send(frame);
}

void MeshLinks::announceState()
{
    std::vector<RefPtr<PeerLink>> links;
    for (const auto& [link, watch] : m_watches)
        links.emplace_back(link);
    for (const auto& link : links)
        sendState(*link, false);
}

void MeshLinks::onFrame(PeerLink& link, wire::FrameT& frame)
{
    auto& watch = m_watches[&link];
    watch.heard = MonotonicClock::now();
    watch.asked = {};
    auto* gossip = frame.body.AsGossip();
    if (!gossip) {
        m_callbacks.onFrame(link, frame);
        return;
    }
    for (const auto& state : gossip->members) {
        EndpointReport report;
        report.available = state->state == static_cast<uint8_t>(State::Available);
        report.leaving = state->state == static_cast<uint8_t>(State::Leaving);
        report.limit = std::max(1U, state->slots);
        m_callbacks.onState({ state->member, state->zone, state->address, state->service }, report);
    }
    if (gossip->wants_table)
        sendState(link, false);
}

void MeshLinks::onClosed(PeerLink& link)
{
    const auto watch = m_watches[&link];
    m_watches.erase(&link);
    if (!watch.address.empty())
        m_callbacks.onUnreachable(watch.address, watch.heard);
    m_callbacks.onClosed(link);
}

void MeshLinks::tick(TimePoint now)
{
    std::vector<RefPtr<PeerLink>> dead;
    std::vector<RefPtr<PeerLink>> silent;
    for (auto& [link, watch] : m_watches) {
        const bool connecting = !link->isEstablished() && watch.created != TimePoint();
        const bool connectsTooLong = connecting && now - watch.created > connectTimeout;
        const bool answersTooLate = watch.asked != TimePoint() && now - watch.asked > answerTimeout;
        if (connectsTooLong || answersTooLate)
            dead.emplace_back(link);
        else if (!connecting && watch.outstanding && now - watch.heard > silenceBeforeQuestion)
            silent.emplace_back(link);
    }
    for (const auto& link : silent) {
        const auto found = m_watches.find(link.get());
        if (found == m_watches.end())
            continue; // Ended with one before it
        auto& watch = found->second;
        const bool isFirst = watch.asked == TimePoint();
        if (isFirst)
            watch.asked = now;
        m_callbacks.onSilent(link->peer(), now - watch.asked);
        if (isFirst)
            sendState(*link, true);
    }
    for (const auto& link : dead)
        link->close();
}

} // namespace shallot
