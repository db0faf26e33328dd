#include "daemon/Gossiper.h"

#include "limits/LimitSystem.h"
#include "net/PeerLinks.h"
#include "policy/CrashFingerprints.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

constexpr auto probeRetention = std::chrono::seconds(10);
constexpr size_t announceFanout = 4;
constexpr size_t crashesPerMessage = 8;
constexpr int requiredTables = 3; // A starting daemon requests whole tables until this many peers have sent theirs

std::unique_ptr<wire::MemberStateT> pack(const GossipMember& member)
{
    auto state = std::make_unique<wire::MemberStateT>();
    state->member = member.member;
    state->zone = member.zone;
    state->address = member.address;
    state->version = member.version;
    state->state = static_cast<uint8_t>(member.status);
    state->service = member.service;
    state->slots = member.slots;
    return state;
}

GossipMember unpack(const wire::MemberStateT& state)
{
    const auto status = static_cast<MemberStatus>(std::min<uint8_t>(state.state, static_cast<uint8_t>(MemberStatus::Left)));
    return { state.member, state.zone, state.address, state.service, state.slots, state.version, status };
}

} // namespace

Gossiper::Gossiper(GossipTable& table, PeerLinks& links, CrashFingerprints& crashes, LimitSystem& limits)
    : m_table(table)
    , m_links(links)
    , m_crashes(crashes)
    , m_limits(limits)
{
}

wire::FrameT Gossiper::makeMessage(
    const std::string& peer, uint64_t sequence, uint64_t acknowledges, bool wholeTable, TimePoint now)
{
    wire::GossipT gossip;
    gossip.sequence = sequence;
    gossip.acknowledges = acknowledges;
    gossip.vouches = m_limits.ownership().renewsLeaseOf(peer);
    gossip.wants_table = m_tablesReceived < requiredTables;
    gossip.whole_table = wholeTable;
    for (const auto& member : m_table.takeUpdates(wholeTable))
        gossip.members.push_back(pack(member));
    // A suspected peer must be notified of the suspicion, or it could never refute it.
    if (const auto* suspect = m_table.find(peer); suspect && suspect->status >= MemberStatus::Suspected)
        gossip.members.push_back(pack(*suspect));
    for (const auto& count : m_crashes.ownCounts(now)) {
        if (gossip.crashes.size() >= crashesPerMessage)
            break;
        auto report = std::make_unique<wire::CrashReportT>();
        report->fingerprint = count.fingerprint;
        report->deaths = count.crashes;
        report->age_us = static_cast<uint64_t>(count.age.count());
        gossip.crashes.push_back(std::move(report));
    }
    wire::FrameT frame;
    frame.body.Set(std::move(gossip));
    return frame;
}

void Gossiper::probe(const std::string& member, TimePoint now)
{
    const auto* target = m_table.find(member);
    auto link = target ? m_links.linkTo(target->address) : nullptr;
    if (!link)
        return;
    const uint64_t sequence = m_nextSequence++;
    m_probes[sequence] = { member, now };
    link->send(makeMessage(member, sequence, 0, false, now));
}

void Gossiper::requestLeaseRenewal(const std::string& member, TimePoint now)
{
    probe(member, now);
}

void Gossiper::probeAddress(const std::string& address, TimePoint now)
{
    if (auto link = m_links.linkTo(address)) {
        const uint64_t sequence = m_nextSequence++;
        m_probes[sequence] = { {}, now };
        link->send(makeMessage({}, sequence, 0, false, now));
    }
}

void Gossiper::announce(TimePoint now)
{
    size_t sent = 0;
    for (const auto* member : m_table.members()) {
        if (member->member == m_table.self().member || !m_table.isAlive(member->member))
            continue;
        probe(member->member, now);
        if (++sent >= announceFanout)
            return;
    }
}

void Gossiper::tick(TimePoint now)
{
    if (const auto member = m_table.nextProbe(now); !member.empty())
        probe(member, now);
    std::erase_if(m_probes, [now](const auto& item) { return now - item.second.sentAt > probeRetention; });
    if (m_table.tick(now) && m_onChange)
        m_onChange();
}

void Gossiper::onGossip(PeerLink& link, const wire::GossipT& gossip, TimePoint now)
{
    const auto& peer = link.peer();
    std::vector<GossipMember> members;
    for (const auto& state : gossip.members) {
        if (state)
            members.push_back(unpack(*state));
    }
    const bool changed = m_table.merge(members, now);
    m_tablesReceived += gossip.whole_table ? 1 : 0;
    mergeCrashReports(peer, gossip, now);
    if (gossip.acknowledges) {
        const auto found = m_probes.find(gossip.acknowledges);
        if (found != m_probes.end() && (found->second.member == peer || found->second.member.empty())) {
            m_table.recordAcknowledgement(peer, now);
            if (gossip.vouches)
                m_limits.ownership().onLeaseRenewed(peer, found->second.sentAt);
            m_probes.erase(found);
        }
    } else {
        link.send(makeMessage(peer, 0, gossip.sequence, gossip.wants_table, now));
    }
    if (changed && m_onChange)
        m_onChange();
}

void Gossiper::mergeCrashReports(const std::string& peer, const wire::GossipT& gossip, TimePoint now)
{
    for (const auto& report : gossip.crashes) {
        if (!report)
            continue;
        const auto age = Duration(static_cast<int64_t>(std::min<uint64_t>(report->age_us, INT64_MAX / 2)));
        m_crashes.mergeReport(peer, { report->fingerprint, report->deaths, age }, now);
    }
}

} // namespace shallot
