#include "membership/MembershipTable.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t maximumEndedMembers = 2000; // About a week of replacements at the design size

} // namespace

// With a single witness, a network partition between the two would revoke a healthy member, so at least two are required.
size_t revokeQuorum(size_t witnesses)
{
    return witnesses < 2 ? 0 : witnesses / 2 + 1;
}

void MembershipTable::apply(uint64_t offset, const JoinEntry& entry)
{
    auto& member = m_members[entry.member];
    if (member.endedOffset)
        return;
    member.zone = entry.zone;
    member.address = entry.address;
    member.witnesses = entry.witnesses;
    member.joinOffset = offset;
}

void MembershipTable::apply(uint64_t offset, const LeaveEntry& entry)
{
    const auto found = m_members.find(entry.member);
    if (found == m_members.end() || found->second.endedOffset)
        return;
    found->second.endedOffset = offset;
    evictOldestEnded();
}

void MembershipTable::apply(uint64_t offset, const RevokeEntry& entry)
{
    const auto found = m_members.find(entry.member);
    if (found == m_members.end() || found->second.endedOffset || found->second.joinOffset != entry.joinOffset)
        return;
    const auto& witnesses = found->second.witnesses;
    const auto votesCast = static_cast<size_t>(std::count_if(witnesses.begin(), witnesses.end(), [&entry](const auto& witness) {
        return std::find(entry.votes.begin(), entry.votes.end(), witness) != entry.votes.end();
    }));
    const size_t quorum = revokeQuorum(witnesses.size());
    if (!quorum || votesCast < quorum)
        return;
    found->second.endedOffset = offset;
    found->second.revoked = true;
    evictOldestEnded();
}

void MembershipTable::evictOldestEnded()
{
    const auto ended
        = std::count_if(m_members.begin(), m_members.end(), [](const auto& item) { return item.second.endedOffset != 0; });
    if (static_cast<size_t>(ended) <= maximumEndedMembers)
        return;
    auto oldest = m_members.end();
    for (auto member = m_members.begin(); member != m_members.end(); ++member) {
        if (!member->second.endedOffset)
            continue;
        if (oldest == m_members.end() || member->second.endedOffset < oldest->second.endedOffset)
            oldest = member;
    }
    m_members.erase(oldest);
}

const MembershipRecord* MembershipTable::find(const std::string& member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? nullptr : &found->second;
}

bool MembershipTable::isActive(const std::string& member) const
{
    const auto* found = find(member);
    return found && !found->endedOffset;
}

} // namespace shallot
