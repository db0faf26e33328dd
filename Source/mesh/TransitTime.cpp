#include "mesh/TransitTime.h"

#include <algorithm>
#include <utility>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto periodLength = 30s; // Two clocks drift apart by tens of milliseconds in a minute at most

} // namespace

Duration TransitTime::record(TimePoint sentAt, TimePoint now)
{
    m_lastRecordedAt = now;
    if (now - m_periodStart >= periodLength) {
        const bool wasIdle = now - m_periodStart >= 2 * periodLength;
        m_leastBefore = std::exchange(m_least, Duration::max());
        if (wasIdle)
            m_leastBefore = Duration::max();
        m_periodStart = now;
    }
    const auto difference = now - sentAt;
    m_least = std::min(m_least, difference);
    return difference - std::min(m_least, m_leastBefore);
}

} // namespace shallot
