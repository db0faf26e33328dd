#include "mesh/EndpointQueue.h"

#include "mesh/MeshSettings.h"

#include <algorithm>

namespace shallot {

void EndpointQueue::setSlots(uint32_t slots)
{
    m_limit = std::max(1U, static_cast<uint32_t>(slots * m_settings.slotShare));
}

Duration EndpointQueue::expectedWait(uint8_t priority) const
{
    uint32_t ahead = 0;
    for (size_t i = priority; i < queueClasses; ++i)
        ahead += m_waiting[i];
    const auto service = m_serviceTime > Duration::zero() ? m_serviceTime : m_settings.assumedServiceTime;
    if (!ahead && m_running < m_limit)
        return {};
    return fromSeconds(toSeconds(service) * (ahead + 1) / m_limit);
}

QueueDecision EndpointQueue::decide(uint8_t priority, Duration maximumWait) const
{
    if (m_running < m_limit && !m_queue.size())
        return QueueDecision::Run;
    return expectedWait(priority) <= maximumWait ? QueueDecision::Wait : QueueDecision::Refuse;
}

Duration EndpointQueue::retryAfter(uint8_t priority) const
{
    return std::clamp(expectedWait(priority) * 2, m_settings.retryAfterMinimum, m_settings.retryAfterMaximum);
}

void EndpointQueue::push(QueueItem& item)
{
    ++m_waiting[item.priority];
    m_queue.push(item);
}

void EndpointQueue::remove(QueueItem& item)
{
    if (!item.queued)
        return;
    --m_waiting[item.priority];
    m_queue.remove(item);
}

QueueItem* EndpointQueue::popIfFree()
{
    if (m_running >= m_limit)
        return nullptr;
    auto* item = m_queue.pop();
    if (item)
        --m_waiting[item->priority];
    return item;
}

std::vector<QueueItem*> EndpointQueue::takeExpired(TimePoint now)
{
    auto expired = m_queue.takeExpired(now);
    for (const auto* item : expired)
        --m_waiting[item->priority];
    return expired;
}

void EndpointQueue::recordServiceTime(Duration time)
{
    if (m_serviceTime <= Duration::zero())
        m_serviceTime = time;
    m_serviceTime
        = fromSeconds(toSeconds(m_serviceTime) + m_settings.serviceTimeWeight * (toSeconds(time) - toSeconds(m_serviceTime)));
}

EndpointReport EndpointQueue::report(bool available) const
{
    return { available, m_running, static_cast<uint32_t>(m_queue.size()), m_limit, m_serviceTime };
}

} // namespace shallot
