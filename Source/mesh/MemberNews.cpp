#include "mesh/MemberNews.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t maximumItems = 2000; // Some 300 KB; a start of the largest fleet writes 1,100 records

} // namespace

void MemberNews::record(uint64_t from, uint64_t next, const std::vector<MeshMember>& members)
{
    if (next < m_next || (from <= m_next && next == m_next))
        return;
    if (from > m_next) {
        m_items.clear();
        m_from = from;
    }
    m_next = next;
    for (const auto& member : members)
        m_items.push_back({ next, member });
    while (m_items.size() > maximumItems) {
        m_from = m_items.front().next;
        m_items.pop_front();
    }
}

std::optional<std::vector<MeshMember>> MemberNews::since(uint64_t offset) const
{
    if (offset < m_from || offset > m_next)
        return std::nullopt;
    std::vector<MeshMember> members;
    for (const auto& item : m_items) {
        if (item.next > offset)
            members.push_back(item.member);
    }
    return members;
}

} // namespace shallot
