#include "mesh/MemberList.h"

#include "core/Digest.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t maximumHistory = 2000; // About 300 KB; a start of the largest fleet writes 1,100 records

uint64_t digestOf(const MeshMember& member)
{
    const auto fields = member.name + '\n' + member.zone + '\n' + member.address + '\n' + member.service;
    auto digest = stableHash(fields + '\n' + member.lastLeave.instance, member.lastLeave.latestStart);
    for (const auto& suspect : member.crashSuspects) {
        const auto recordedAt = static_cast<uint64_t>(suspect.recordedAt.time_since_epoch().count());
        for (const auto value : { suspect.fingerprint, uint64_t { suspect.crashes }, uint64_t { suspect.cleared }, recordedAt })
            digest = stableHash(std::to_string(value), digest);
        for (const auto id : suspect.crashIDs)
            digest = stableHash(std::to_string(id), digest);
    }
    return digest;
}

} // namespace

void MemberList::upsert(const MeshMember& member)
{
    auto& listed = m_members[member.name];
    if (!listed.name.empty())
        m_state.digest -= digestOf(listed);
    listed = member;
    m_state.digest += digestOf(listed); // A sum does not depend on the order of arrival
}

void MemberList::applySnapshot(uint64_t next, const std::vector<MeshMember>& members, uint64_t era)
{
    if (MemberListState { true, next, 0, era }.isBehind(m_state))
        return;
    m_members.clear();
    m_state = { true, next, 0, era };
    for (const auto& member : members)
        upsert(member);
    // A snapshot does not contain the individual records before its offset.
    m_history.clear();
    m_historyFrom = next;
}

void MemberList::applyRecords(uint64_t from, uint64_t next, const std::vector<MeshMember>& members, uint64_t era)
{
    if (!m_state.isKnown || era != m_state.era || from > m_state.offset || next <= m_state.offset)
        return;
    for (const auto& member : members)
        upsert(member);
    appendHistory(m_state.offset, next, members);
    m_state.offset = next;
}

void MemberList::appendHistory(uint64_t from, uint64_t next, const std::vector<MeshMember>& members)
{
    if (m_history.empty())
        m_historyFrom = from;
    for (const auto& member : members)
        m_history.push_back({ next, member });
    while (m_history.size() > maximumHistory) {
        m_historyFrom = m_history.front().next;
        m_history.pop_front();
    }
}

MemberList::UpdateResult MemberList::applyUpdate(const MemberUpdate& update)
{
    if (!update.state.isKnown)
        return UpdateResult::Consistent;
    const bool continues = m_state.isKnown && update.state.era == m_state.era && update.from <= m_state.offset;
    if (!m_state.isBehind(update.state))
        return differsFrom(update.state) ? UpdateResult::Diverged : UpdateResult::Consistent;
    if (update.isSnapshot)
        applySnapshot(update.state.offset, update.members, update.state.era);
    else if (!continues)
        return UpdateResult::Gap;
    else
        applyRecords(update.from, update.state.offset, update.members, update.state.era);
    return differsFrom(update.state) ? UpdateResult::Diverged : UpdateResult::Consistent;
}

MemberUpdate MemberList::updateFor(const MemberListState& other) const
{
    MemberUpdate update { m_state, false, m_state.offset, {} };
    if (!m_state.isKnown || !other.isBehind(m_state))
        return update;
    if (!other.isKnown || other.era < m_state.era || other.offset < m_historyFrom) {
        update.isSnapshot = true;
        for (const auto& [name, member] : m_members)
            update.members.push_back(member);
        return update;
    }
    update.from = other.offset;
    for (const auto& entry : m_history) {
        if (entry.next > other.offset)
            update.members.push_back(entry.member);
    }
    return update;
}

bool MemberList::differsFrom(const MemberListState& other) const
{
    return m_state.isKnown && other.isKnown && other.era == m_state.era && other.offset == m_state.offset
        && other.digest != m_state.digest;
}

} // namespace shallot
