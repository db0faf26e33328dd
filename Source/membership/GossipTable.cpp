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

GossipTable::GossipTable(GossipSettings settings, GossipMember self, uint64_t seed)
    : m_settings(settings)
    , m_selfName(self.member)
    , m_random(static_cast<uint32_t>(seed | 1))
{
    self.version = std::max<uint64_t>(1, self.version);
    m_entries[m_selfName] = { std::move(self), m_settings.transmissionsPerChange, {}, {}, {} };
}

void GossipTable::updateSelf(std::string service, uint32_t slots, MemberStatus status, TimePoint now)
{
    auto& self = m_entries.at(m_selfName);
    if (self.member.service == service && self.member.slots == slots && self.member.status == status)
        return;
    self.member.service = std::move(service);
    self.member.slots = slots;
    ++self.member.version;
    setStatus(self, status, now);
}

void GossipTable::addMember(const GossipMember& member, TimePoint now)
{
    if (m_entries.contains(member.member))
        return;
    m_entries[member.member] = { member, 0, now, {}, {} };
}

std::vector<GossipMember> GossipTable::takeUpdates(bool fullTable)
{
    std::vector<GossipMember> updates;
    if (fullTable) {
        for (const auto& [name, entry] : m_entries)
            updates.push_back(entry.member);
        return updates;
    }
    std::vector<Entry*> changed;
    for (auto& [name, entry] : m_entries) {
        if (entry.transmissionsLeft)
            changed.push_back(&entry);
    }
    const auto count = std::min(changed.size(), m_settings.changesPerMessage);
    std::partial_sort(changed.begin(), changed.begin() + static_cast<ptrdiff_t>(count), changed.end(),
        [](const Entry* a, const Entry* b) { return a->transmissionsLeft > b->transmissionsLeft; });
    for (size_t i = 0; i < count; ++i) {
        --changed[i]->transmissionsLeft;
        updates.push_back(changed[i]->member);
    }
    for (size_t i = 0; i < m_settings.refreshesPerMessage; ++i) {
        auto next = m_entries.upper_bound(m_refreshCursor);
        if (next == m_entries.end())
            next = m_entries.begin();
        m_refreshCursor = next->first;
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

bool GossipTable::mergeOne(const GossipMember& update, TimePoint now)
{
    if (update.member.empty())
        return false;
    if (update.member == m_selfName)
        return refute(update);
    const auto found = m_entries.find(update.member);
    if (found == m_entries.end()) {
        // Otherwise the entries of removed members would circulate for ever.
        if (!isRunning(update.status))
            return false;
        m_entries[update.member] = { update, m_settings.transmissionsPerChange, now, {}, {} };
        return true;
    }
    auto& entry = found->second;
    const bool newer = update.version > entry.member.version
        || (update.version == entry.member.version && update.status > entry.member.status);
    if (!newer)
        return false;
    const bool statusChanged = update.status != entry.member.status;
    entry.member = update;
    entry.transmissionsLeft = m_settings.transmissionsPerChange;
    if (statusChanged)
        entry.statusSince = now;
    return true;
}

// Refutes a worse status of this member, such as suspected, with a higher version of its own entry.
bool GossipTable::refute(const GossipMember& update)
{
    auto& self = m_entries.at(m_selfName);
    const bool worse
        = update.version > self.member.version || (update.version == self.member.version && update.status > self.member.status);
    if (!worse)
        return false;
    self.member.version = update.version + 1;
    self.transmissionsLeft = m_settings.transmissionsPerChange;
    return true;
}

void GossipTable::setStatus(Entry& entry, MemberStatus status, TimePoint now)
{
    entry.member.status = status;
    entry.statusSince = now;
    entry.transmissionsLeft = m_settings.transmissionsPerChange;
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
    // Each round probes every member once, in random order.
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
            if (name != m_selfName)
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
    entry.lastAcknowledged = now;
    entry.probedAt = TimePoint();
}

bool GossipTable::tick(TimePoint now)
{
    bool changed = false;
    for (auto& [name, entry] : m_entries) {
        if (name == m_selfName)
            continue;
        const bool missed = entry.probedAt != TimePoint() && now - entry.probedAt >= m_settings.probeTimeout;
        const bool isHealthy = entry.member.status == MemberStatus::Serving || entry.member.status == MemberStatus::Draining;
        if (missed && isHealthy) {
            setStatus(entry, MemberStatus::Suspected, now);
            entry.probedAt = TimePoint();
            changed = true;
        } else if (entry.member.status == MemberStatus::Suspected && now - entry.statusSince >= m_settings.suspicionTimeout) {
            setStatus(entry, MemberStatus::Dead, now);
            changed = true;
        }
    }
    const auto removed = std::erase_if(m_entries, [&](const auto& item) {
        return item.first != m_selfName && !isRunning(item.second.member.status)
            && now - item.second.statusSince >= m_settings.endedMemberRetention;
    });
    return changed || removed;
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

TimePoint GossipTable::lastAcknowledged(std::string_view member) const
{
    const auto found = m_entries.find(member);
    return found == m_entries.end() ? TimePoint() : found->second.lastAcknowledged;
}

} // namespace shallot
