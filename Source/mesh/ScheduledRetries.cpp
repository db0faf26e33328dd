#include "mesh/ScheduledRetries.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto lateness = 1500ms;          // Callers come back this much later than told at the most
constexpr size_t maximumPromises = 20'000; // Bounds memory: about a megabyte

} // namespace

void ScheduledRetries::expire(TimePoint now)
{
    while (!m_order.empty() && (m_order.front().until < now || m_order.size() > maximumPromises)) {
        const auto found = m_counts.find(m_order.front().fingerprint);
        if (found != m_counts.end() && !--found->second)
            m_counts.erase(found);
        m_order.pop_front();
    }
}

void ScheduledRetries::add(uint64_t fingerprint, Duration retryAfter, TimePoint now)
{
    m_order.push_back({ fingerprint, now + retryAfter + lateness });
    ++m_counts[fingerprint];
    expire(now);
}

bool ScheduledRetries::consume(uint64_t fingerprint, TimePoint now)
{
    expire(now);
    const auto found = m_counts.find(fingerprint);
    if (found == m_counts.end())
        return false;
    for (auto it = m_order.begin(); it != m_order.end(); ++it) {
        if (it->fingerprint != fingerprint)
            continue;
        m_order.erase(it);
        break;
    }
    if (!--found->second)
        m_counts.erase(found);
    return true;
}

} // namespace shallot
