#include "sidecar/MeshLinks.h"

#include "core/EventLog.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

// State that a member reports of itself; any other value is treated as unavailable.
enum class State : uint8_t {
    Available = 0,
    Unavailable = 1, // Its backend server accepts no new requests
    Leaving = 2,     // The daemon is stopping
};

constexpr auto connectTimeout = 600ms;     // Connect and mutual authentication; hundreds of times the latency between two zones
constexpr auto silenceBeforeProbe = 300ms; // Of a link with calls in progress; shorter than most runs
constexpr auto probeTimeout = 700ms;       // Until the response to a probe

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

// Requests the peer's state on a new link.
RefPtr<PeerLink> MeshLinks::linkTo(const std::string& address, bool alwaysProbes)
{
    auto link = m_links.linkTo(address);
    if (!link)
        return nullptr;
    auto& monitor = m_monitors[link.get()];
    const bool isNew = monitor.created == TimePoint();
    if (isNew) {
        monitor.address = address;
        monitor.created = MonotonicClock::now();
        monitor.lastReceivedAt = monitor.created;
    }
    if (isNew || alwaysProbes)
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
    const auto found = m_monitors.find(&link);
    if (found != m_monitors.end() && !found->second.outstanding++)
        found->second.lastReceivedAt = std::max(found->second.lastReceivedAt, MonotonicClock::now());
}

void MeshLinks::removeOutstanding(PeerLink& link)
{
    const auto found = m_monitors.find(&link);
    if (found != m_monitors.end() && found->second.outstanding)
        --found->second.outstanding;
}

void MeshLinks::sendState(PeerLink& link, bool requestsState, const std::vector<CrashSuspect>& suspects)
{
    const auto report = m_callbacks.ownReport();
    auto state = std::make_unique<wire::MemberStateT>();
    state->member = m_own.name;
    state->zone = m_own.zone;
    state->address = m_own.address;
    state->service = m_own.service;
    addReport(*state, report);
    state->state = static_cast<uint8_t>(report.leaving ? State::Leaving
            : report.available                         ? State::Available
                                                       : State::Unavailable);
    for (const auto& suspect : suspects)
        state->crash_suspects.push_back(packCrashSuspect(suspect));
    wire::GossipT gossip;
    gossip.wants_table = requestsState;
    gossip.members.push_back(std::move(state));
    wire::FrameT frame;
    frame.body.Set(std::move(gossip));
    link.send(frame);
}

std::vector<RefPtr<PeerLink>> MeshLinks::allLinks() const
{
    std::vector<RefPtr<PeerLink>> links;
    for (const auto& [link, monitor] : m_monitors)
        links.emplace_back(link);
    return links;
}

void MeshLinks::broadcastState()
{
    for (const auto& link : allLinks())
        sendState(*link, false);
}

void MeshLinks::broadcastCrashSuspects(const std::vector<CrashSuspect>& suspects)
{
    if (suspects.empty())
        return;
    for (const auto& link : allLinks())
        sendState(*link, false, suspects);
}

void MeshLinks::goAway()
{
    m_links.stopListening();
    wire::FrameT frame;
    frame.body.Set(wire::GoAwayT());
    for (const auto& link : m_links.links())
        link->send(frame);
}

void MeshLinks::onFrame(PeerLink& link, wire::FrameT& frame)
{
    auto& monitor = m_monitors[&link];
    monitor.lastReceivedAt = MonotonicClock::now();
    monitor.probedAt = {};
    auto* gossip = frame.body.AsGossip();
    if (!gossip) {
        m_callbacks.onFrame(link, frame);
        return;
    }
    for (const auto& state : gossip->members) {
        // A member speaks for itself only; what others say of it comes with the member list.
        if (state->member != link.peer()) {
            EventLog::write("member-state-foreign", { { "member", state->member }, { "from", link.peer() } });
            continue;
        }
        auto report = readReport(*state);
        report.leaving = state->state == static_cast<uint8_t>(State::Leaving);
        report.available
            = report.leaving ? report.takesRunsFor > Duration::zero() : state->state == static_cast<uint8_t>(State::Available);
        MeshMember member;
        member.name = state->member;
        member.zone = state->zone;
        member.address = state->address;
        member.service = state->service;
        member.crashSuspects = readCrashSuspects(state->crash_suspects);
        m_callbacks.onState(member, report);
    }
    if (gossip->wants_table)
        sendState(link, false);
}

void MeshLinks::onClosed(PeerLink& link)
{
    const auto monitor = m_monitors[&link];
    m_monitors.erase(&link);
    EventLog::write("link-ended",
        { { "peer", link.peer() }, { "address", monitor.address }, { "reason", link.endReason() },
            { "established", link.isEstablished() }, { "calls", monitor.outstanding } });
    if (!monitor.address.empty())
        m_callbacks.onUnreachable(monitor.address, monitor.lastReceivedAt);
    m_callbacks.onClosed(link);
}

void MeshLinks::tick(TimePoint now)
{
    std::vector<RefPtr<PeerLink>> timedOut;
    std::vector<RefPtr<PeerLink>> unresponsive;
    for (auto& [link, monitor] : m_monitors) {
        const bool connecting = !link->isEstablished() && monitor.created != TimePoint();
        const bool connectTimedOut = connecting && now - monitor.created > connectTimeout;
        const bool probeTimedOut = monitor.probedAt != TimePoint() && now - monitor.probedAt > probeTimeout;
        if (connectTimedOut || probeTimedOut)
            timedOut.emplace_back(link);
        else if (!connecting && monitor.outstanding && now - monitor.lastReceivedAt > silenceBeforeProbe)
            unresponsive.emplace_back(link);
    }
    for (const auto& link : unresponsive) {
        const auto found = m_monitors.find(link.get());
        if (found == m_monitors.end())
            continue; // Closed while an earlier link was handled
        auto& monitor = found->second;
        const bool startsProbe = monitor.probedAt == TimePoint();
        if (startsProbe)
            monitor.probedAt = now;
        const auto unansweredFor = now - monitor.probedAt;
        if (startsProbe)
            sendState(*link, true);
        m_callbacks.onUnresponsive(*link, unansweredFor);
    }
    for (const auto& link : timedOut)
        link->close();
}

} // namespace shallot
