#include "mesh/RetryLevel.h"

#include "core/Digest.h"

#include <algorithm>
#include <string>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto adaptInterval = 100ms;
constexpr auto spendingTime = 3s;     // In which what is left of the budget would be used up; most faults end sooner
constexpr double slackShare = 0.8;    // The level falls while less than this of the allowed repeats is used
constexpr double idleShare = 0.1;     // Below this share nobody needs the level

} // namespace

double callGraphScore(uint8_t priority, std::string_view attemptID)
{
    constexpr double hashRange = 65536;
    const auto root = attemptID.substr(0, attemptID.find('.'));
    const auto fraction = static_cast<double>(stableHash(std::string(root)) % static_cast<uint64_t>(hashRange)) / hashRange;
    return (priority / 2) + fraction;
}

void RetryLevel::adapt(double available, TimePoint now)
{
    constexpr double slice = 1.0 / slicesPerClass;
    const auto elapsed = now - m_adaptedAt;
    if (elapsed < adaptInterval)
        return;
    m_adaptedAt = now;
    // After a pause the counts say nothing of the present.
    const double interval = toSeconds(std::min<Duration>(elapsed, 2 * adaptInterval));
    const double allowed = std::max(0.0, available) / toSeconds(spendingTime) * interval;
    if (m_admittedCount > allowed && m_admittedCount > 1) {
        double kept = 0;
        size_t first = m_admitted.size();
        while (first > 0 && kept + m_admitted.at(first - 1) <= allowed)
            kept += m_admitted.at(--first);
        m_level = std::max(m_level, static_cast<double>(first) * slice);
    } else if (m_askedCount <= idleShare * allowed) {
        m_level = 0;
    } else if (m_admittedCount < slackShare * allowed) {
        m_level = std::max(0.0, m_level - slice);
    }
    m_admitted.fill(0);
    m_admittedCount = 0;
    m_askedCount = 0;
}

double RetryLevel::level(double available, TimePoint now)
{
    adapt(available, now);
    return m_level;
}

bool RetryLevel::admit(double score, double available, TimePoint now)
{
    adapt(available, now);
    ++m_askedCount;
    if (score < m_level || available < 1)
        return false;
    ++m_admittedCount;
    const auto slice = static_cast<size_t>(std::max(0.0, score) * slicesPerClass);
    ++m_admitted.at(std::min(slice, m_admitted.size() - 1));
    return true;
}

} // namespace shallot
