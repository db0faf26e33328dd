#include "membership/GossipTable.h"

#include <algorithm>

namespace shallot {

namespace {

bool isRunning(MemberStatus status)
{
    return status != MemberStatus::Dead && status != MemberStatus::Left;
}

} // namespace

std::string_view toString(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Serving:
        return "serving";
    case MemberStatus::Draining:
        return "draining";
    case MemberStatus::Suspected:
        return "suspected";
    case MemberStatus::Dead:
        return "dead";
    case MemberStatus::Left:
        return "left";
    }
    return "unknown";
}

GossipTable::GossipTable(GossipSettings settings, GossipMember own, uint64_t seed)
    : m_settings(settings)
    , m_ownName(own.member)
    , m_random(static_cast<uint32_t>(seed | 1))
{
    own.version = std::max<uint64_t>(1, own.version);
    m_entries[m_ownName] = { std::move(own), m_settings.sendsPerChange, {}, {}, {} };
}

void GossipTable::updateSelf(std::string service, uint32_t slots, MemberStatus status, TimePoint now)
{
    auto& own = m_entries.at(m_ownName);
    if (own.member.service == service && own.member.slots == slots && own.member.status == status)
        return;
    own.member.service = std::move(service);
    own.member.slots = slots;
    ++own.member.version;
    setStatus(own, status, now);
}

void GossipTable::addMember(const GossipMember& member, TimePoint now)
{
    if (m_entries.contains(member.member))
        return;
    m_entries[member.member] = { member, 0, now, {}, {} };
}

std::vector<GossipMember> GossipTable::takeUpdates(bool wholeTable)
{
    std::vector<GossipMember> updates;
    if (wholeTable) {
        for (const auto& [name, entry] : m_entries)
            updates.push_back(entry.member);
        return updates;
    }
    std::vector<Entry*> changed;
    for (auto& [name, entry] : m_entries) {
        if (entry.sendsLeft)
            changed.push_back(&entry);
    }
    const auto count = std::min(changed.size(), m_settings.changesPerMessage);
    std::partial_sort(changed.begin(), changed.begin() + static_cast<ptrdiff_t>(count), changed.end(),
        [](const Entry* a, const Entry* b) { return a->sendsLeft > b->sendsLeft; });
    for (size_t i = 0; i < count; ++i) {
        --changed[i]->sendsLeft;
        updates.push_back(changed[i]->member);
    }
    for (size_t i = 0; i < m_settings.rollingPerMessage; ++i) {
        auto next = m_entries.upper_bound(m_rollingCursor);
        if (next == m_entries.end())
            next = m_entries.begin();
        m_rollingCursor = next->first;
        updates.push_back(next->second.member);
    }
    return updates;
}

bool GossipTable::merge(const std::vector<GossipMember>& members, TimePoint now)
{
    bool changed = false;
    for (const auto& member : members)
        changed |= mergeOne(member, now);
    return changed;
}

bool GossipTable::mergeOne(const GossipMember& news, TimePoint now)
{
    if (news.member.empty())
        return false;
    if (news.member == m_ownName)
        return refute(news);
    const auto found = m_entries.find(news.member);
    if (found == m_entries.end()) {
        // Entries of the forgotten would otherwise circulate for ever.
        if (!isRunning(news.status))
            return false;
        m_entries[news.member] = { news, m_settings.sendsPerChange, now, {}, {} };
        return true;
    }
    auto& entry = found->second;
    const bool newer
        = news.version > entry.member.version || (news.version == entry.member.version && news.status > entry.member.status);
    if (!newer)
        return false;
    const bool statusChanged = news.status != entry.member.status;
    entry.member = news;
    entry.sendsLeft = m_settings.sendsPerChange;
    if (statusChanged)
        entry.since = now;
    return true;
}

// Others suspect this member: it answers with a higher version of its own entry.
bool GossipTable::refute(const GossipMember& news)
{
    auto& own = m_entries.at(m_ownName);
    const bool worse
        = news.version > own.member.version || (news.version == own.member.version && news.status > own.member.status);
    if (!worse)
        return false;
    own.member.version = news.version + 1;
    own.sendsLeft = m_settings.sendsPerChange;
    return true;
}

void GossipTable::setStatus(Entry& entry, MemberStatus status, TimePoint now)
{
    entry.member.status = status;
    entry.since = now;
    entry.sendsLeft = m_settings.sendsPerChange;
}

std::string GossipTable::nextProbe(TimePoint now)
{
    if (now - m_lastDeadProbe >= m_settings.deadProbeInterval) {
        m_lastDeadProbe = now;
        std::vector<std::string> dead;
        for (const auto& [name, entry] : m_entries) {
            if (entry.member.status == MemberStatus::Dead)
                dead.push_back(name);
        }
        if (!dead.empty())
            return dead[m_random() % dead.size()];
    }
    if (now - m_lastProbe < m_settings.probeInterval)
        return {};
    m_lastProbe = now;
    // Every member is probed once before any is probed again, in a random order.
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!m_probeOrder.empty()) {
            auto name = m_probeOrder.back();
            m_probeOrder.pop_back();
            const auto found = m_entries.find(name);
            if (found == m_entries.end() || !isRunning(found->second.member.status))
                continue;
            if (found->second.probedAt == TimePoint())
                found->second.probedAt = now;
            return name;
        }
        for (const auto& [name, entry] : m_entries) {
            if (name != m_ownName)
                m_probeOrder.push_back(name);
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    return {};
}

void GossipTable::recordAcknowledgement(std::string_view member, TimePoint now)
{
    const auto found = m_entries.find(member);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    entry.lastHeard = now;
    entry.probedAt = TimePoint();
}

bool GossipTable::tick(TimePoint now)
{
    bool changed = false;
    for (auto& [name, entry] : m_entries) {
        if (name == m_ownName)
            continue;
        const bool missed = entry.probedAt != TimePoint() && now - entry.probedAt >= m_settings.probeTimeout;
        const bool trusted = entry.member.status == MemberStatus::Serving || entry.member.status == MemberStatus::Draining;
        if (missed && trusted) {
            setStatus(entry, MemberStatus::Suspected, now);
            entry.probedAt = TimePoint();
            changed = true;
        } else if (entry.member.status == MemberStatus::Suspected && now - entry.since >= m_settings.suspicion) {
            setStatus(entry, MemberStatus::Dead, now);
            changed = true;
        }
    }
    const auto forgotten = std::erase_if(m_entries, [&](const auto& item) {
        return item.first != m_ownName && !isRunning(item.second.member.status)
            && now - item.second.since >= m_settings.forgetAfter;
    });
    return changed || forgotten;
}

const GossipMember* GossipTable::find(std::string_view member) const
{
    const auto found = m_entries.find(member);
    return found == m_entries.end() ? nullptr : &found->second.member;
}

bool GossipTable::isAlive(std::string_view member) const
{
    const auto* found = find(member);
    return found && isRunning(found->status);
}

std::vector<const GossipMember*> GossipTable::members() const
{
    std::vector<const GossipMember*> result;
    for (const auto& [name, entry] : m_entries)
        result.push_back(&entry.member);
    return result;
}

TimePoint GossipTable::lastHeard(std::string_view member) const
{
    const auto found = m_entries.find(member);
    return found == m_entries.end() ? TimePoint() : found->second.lastHeard;
}

} // namespace shallot
