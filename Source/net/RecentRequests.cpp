#include "net/RecentRequests.h"

#include "core/Digest.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t minimumSizeAtDrop = 16; // Below it, expired entries cost less than looking for them

} // namespace

void RecentRequests::record(std::string_view identifier, TimePoint until, TimePoint now)
{
    if (m_entries.size() >= m_sizeAtNextDrop)
        dropExpired(now);
    m_entries.push_back({ stableHash(identifier), until });
}

bool RecentRequests::contains(std::string_view identifier, TimePoint now) const
{
    const auto hash = stableHash(identifier);
    return std::any_of(
        m_entries.begin(), m_entries.end(), [hash, now](const auto& entry) { return entry.hash == hash && entry.until > now; });
}

// Each drop is preceded by at least as many records as it leaves, so that its cost per record is constant.
void RecentRequests::dropExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto& entry) { return entry.until <= now; });
    m_sizeAtNextDrop = std::max(minimumSizeAtDrop, 2 * m_entries.size());
}

} // namespace shallot
