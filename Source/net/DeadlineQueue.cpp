#include "net/DeadlineQueue.h"

#include <algorithm>

namespace shallot {

void DeadlineQueue::set(uint64_t id, TimePoint deadline)
{
    remove(id);
    m_byDeadline.emplace(deadline, id);
    m_deadlines[id] = deadline;
    if (deadline < m_armedFor)
        arm(MonotonicClock::now());
}

// Leaves the timer armed: re-arming it for each item that ends early would cost more than one spurious wake-up.
void DeadlineQueue::remove(uint64_t id)
{
    const auto found = m_deadlines.find(id);
    if (found == m_deadlines.end())
        return;
    m_byDeadline.erase({ found->second, id });
    m_deadlines.erase(found);
}

void DeadlineQueue::arm(TimePoint now)
{
    m_armedFor = m_byDeadline.empty() ? TimePoint::max() : m_byDeadline.begin()->first;
    if (m_byDeadline.empty())
        m_timer.stop();
    else
        m_timer.startOnce(std::max(Duration::zero(), m_armedFor - now), [this] { dispatchDue(); });
}

void DeadlineQueue::dispatchDue()
{
    const auto now = MonotonicClock::now();
    m_armedFor = TimePoint::max();
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        const auto id = m_byDeadline.begin()->second;
        remove(id);
        m_onDue(id);
    }
    arm(now);
}

} // namespace shallot
