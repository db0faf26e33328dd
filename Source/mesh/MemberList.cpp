#include "mesh/MemberList.h"

#include "core/Digest.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t maximumNews = 2000; // Some 300 KB; a start of the largest fleet writes 1,100 records

uint64_t digestOf(const MeshMember& member)
{
    const auto place = member.name + '\n' + member.zone + '\n' + member.address + '\n' + member.service;
    return stableHash(place + '\n' + member.lastLeave.instance, member.lastLeave.latestStart);
}

} // namespace

void MemberList::list(const MeshMember& member)
{
    auto& listed = m_members[member.name];
    if (!listed.name.empty())
        m_state.digest -= digestOf(listed);
    listed = member;
    m_state.digest += digestOf(listed); // A sum, so the order of arrival leaves no trace
}

void MemberList::applySnapshot(uint64_t next, const std::vector<MeshMember>& members)
{
    if (m_state.isKnown && next < m_state.offset)
        return;
    m_members.clear();
    m_state = { true, next, 0 };
    for (const auto& member : members)
        list(member);
    // What the log holds before this offset is not told by the newest records.
    m_news.clear();
    m_newsFrom = next;
}

void MemberList::applyRecords(uint64_t from, uint64_t next, const std::vector<MeshMember>& members)
{
    if (!m_state.isKnown || from > m_state.offset || next <= m_state.offset)
        return;
    for (const auto& member : members)
        list(member);
    remember(m_state.offset, next, members);
    m_state.offset = next;
}

void MemberList::remember(uint64_t from, uint64_t next, const std::vector<MeshMember>& members)
{
    if (m_news.empty())
        m_newsFrom = from;
    for (const auto& member : members)
        m_news.push_back({ next, member });
    while (m_news.size() > maximumNews) {
        m_newsFrom = m_news.front().next;
        m_news.pop_front();
    }
}

MemberList::Verdict MemberList::take(const MemberUpdate& update)
{
    if (!update.state.isKnown)
        return Verdict::Whole;
    if (update.isSnapshot && (!m_state.isKnown || update.state.offset > m_state.offset))
        applySnapshot(update.state.offset, update.members);
    else if (!m_state.isKnown || (update.state.offset > m_state.offset && update.from > m_state.offset))
        return Verdict::Gap;
    else
        applyRecords(update.from, update.state.offset, update.members);
    return differsFrom(update.state) ? Verdict::Different : Verdict::Whole;
}

MemberUpdate MemberList::updateFor(const MemberListState& other) const
{
    MemberUpdate update { m_state, false, m_state.offset, {} };
    if (!m_state.isKnown || (other.isKnown && other.offset >= m_state.offset))
        return update;
    if (!other.isKnown || other.offset < m_newsFrom) {
        update.isSnapshot = true;
        for (const auto& [name, member] : m_members)
            update.members.push_back(member);
        return update;
    }
    update.from = other.offset;
    for (const auto& news : m_news) {
        if (news.next > other.offset)
            update.members.push_back(news.member);
    }
    return update;
}

bool MemberList::differsFrom(const MemberListState& other) const
{
    return m_state.isKnown && other.isKnown && other.offset == m_state.offset && other.digest != m_state.digest;
}

} // namespace shallot
