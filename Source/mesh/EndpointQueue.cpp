#include "mesh/EndpointQueue.h"

#include "mesh/Decay.h"
#include "mesh/MeshSettings.h"

#include <algorithm>
#include <numeric>

namespace shallot {

void EndpointQueue::setSlots(uint32_t slots)
{
    m_limit = std::max(1U, static_cast<uint32_t>(slots * m_settings.slotShare));
}

// The tokens stay when only the rate changes: a limit that is named anew with each response allows no new burst.
void EndpointQueue::setRateLimit(std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond) {
        m_rate.reset();
        return;
    }
    if (!m_rate)
        m_rate = TokenBucket { 0, 0, 0, now };
    m_rate->refill(now);
    m_rate->rate = std::max(*perSecond, m_settings.minimumRateLimit);
    m_rate->burst = std::max(1.0, m_rate->rate * toSeconds(m_settings.rateLimitBurst));
}

Duration EndpointQueue::nextStartIn(TimePoint now) const
{
    if (!m_rate)
        return {};
    auto bucket = *m_rate;
    bucket.refill(now);
    return bucket.tokens >= 1 ? Duration::zero() : fromSeconds((1 - bucket.tokens) / bucket.rate) + Duration(1);
}

bool EndpointQueue::mayRunNow(TimePoint now) const
{
    return !m_paused && m_running < m_limit && nextStartIn(now) == Duration::zero();
}

void EndpointQueue::recordStart(TimePoint now)
{
    ++m_running;
    if (m_rate) {
        m_rate->refill(now);
        m_rate->tokens -= 1;
    }
}

uint32_t EndpointQueue::countAhead(uint8_t priority) const
{
    return std::accumulate(m_waiting.begin() + priority, m_waiting.end(), uint32_t { 0 });
}

Duration EndpointQueue::pressure(uint8_t priority, TimePoint now) const
{
    return countAhead(priority) || m_running >= m_limit ? expectedWait(priority, now) : Duration::zero();
}

Duration EndpointQueue::expectedWait(uint8_t priority, TimePoint now) const
{
    const auto ahead = countAhead(priority);
    const auto service = m_serviceTime > Duration::zero() ? m_serviceTime : m_settings.assumedServiceTime;
    if (!ahead && mayRunNow(now))
        return {};
    const bool slotIsFree = !ahead && m_running < m_limit;
    const auto waitForSlot = slotIsFree ? Duration::zero() : fromSeconds(toSeconds(service) * (ahead + 1) / m_limit);
    const auto waitForRate = m_rate ? nextStartIn(now) + fromSeconds(ahead / m_rate->rate) : Duration::zero();
    return std::max(waitForSlot, waitForRate);
}

QueueDecision EndpointQueue::decide(uint8_t priority, Duration maximumWait, TimePoint now) const
{
    if (!m_queue.size() && mayRunNow(now))
        return QueueDecision::Run;
    return expectedWait(priority, now) <= maximumWait ? QueueDecision::Wait : QueueDecision::Refuse;
}

Duration EndpointQueue::retryAfter(uint8_t priority, TimePoint now) const
{
    return std::clamp(expectedWait(priority, now) * 2, m_settings.retryAfterMinimum, m_settings.retryAfterMaximum);
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

QueueItem* EndpointQueue::popIfFree(TimePoint now)
{
    if (!mayRunNow(now))
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

double EndpointQueue::recentRuns(TimePoint now) const
{
    return decayed(m_recentRuns, now - m_lastRunEndedAt, m_settings.runsLifetime);
}

void EndpointQueue::recordServiceTime(Duration time, TimePoint now)
{
    m_runTimes.record(time);
    m_recentRuns = recentRuns(now) + 1;
    m_lastRunEndedAt = now;
    if (m_serviceTime <= Duration::zero())
        m_serviceTime = time;
    m_serviceTime
        = fromSeconds(toSeconds(m_serviceTime) + m_settings.serviceTimeWeight * (toSeconds(time) - toSeconds(m_serviceTime)));
}

EndpointReport EndpointQueue::report(bool available, TimePoint now) const
{
    EndpointReport report { available, m_running, static_cast<uint32_t>(m_queue.size()), m_limit, m_serviceTime };
    report.recentRuns = recentRuns(now);
    if (m_rate) {
        report.rateLimit = m_rate->rate;
        report.rateWait = nextStartIn(now) + fromSeconds(static_cast<double>(m_queue.size()) / m_rate->rate);
    }
    return report;
}

} // namespace shallot
