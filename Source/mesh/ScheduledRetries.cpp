#include "mesh/ScheduledRetries.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto lateTolerance = 1500ms;    // Callers retry at most this much later than the given time
constexpr size_t maximumEntries = 20'000; // Bounds memory to about 1 MB

} // namespace

void ScheduledRetries::expire(TimePoint now)
{
    while (!m_entries.empty() && (m_entries.front().expiresAt < now || m_entries.size() > maximumEntries)) {
        const auto found = m_counts.find(m_entries.front().fingerprint);
        if (found != m_counts.end() && !--found->second)
            m_counts.erase(found);
        m_entries.pop_front();
    }
}

void ScheduledRetries::add(uint64_t fingerprint, Duration retryAfter, TimePoint now)
{
    m_entries.push_back({ fingerprint, now + retryAfter + lateTolerance });
    ++m_counts[fingerprint];
    expire(now);
}

bool ScheduledRetries::consume(uint64_t fingerprint, TimePoint now)
{
    expire(now);
    const auto found = m_counts.find(fingerprint);
    if (found == m_counts.end())
        return false;
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (it->fingerprint != fingerprint)
            continue;
        m_entries.erase(it);
        break;
    }
    if (!--found->second)
        m_counts.erase(found);
    return true;
}

} // namespace shallot
