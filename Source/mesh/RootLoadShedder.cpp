#include "mesh/RootLoadShedder.h"

#include "mesh/MeshSettings.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr double waitWeight = 0.1;     // Least weight of the newest wait in the average
constexpr double smallestLimit = 1;    // One running request keeps reporting the waits
constexpr double unboundedLimit = 1e6; // Cap on the growth of a limit
constexpr double liftFactor = 4;       // A limit is lifted once it exceeds the running requests by this factor

} // namespace

void RootLoadShedder::adapt(Flow& flow, TimePoint now) const
{
    if (now - flow.changedAt < m_settings.pressureWindow)
        return;
    flow.changedAt = now;
    const double target = toSeconds(m_settings.pressureTarget);
    const double wait = now - flow.reportedAt < m_settings.pressureLifetime ? flow.wait : 0;
    if (wait > target) {
        // Requests above the limit were admitted before the last cut, so the waits do not show its effect yet.
        if (flow.limit > 0 && flow.running > flow.limit * m_settings.scheduledRetryShare)
            return;
        const double used = std::max<double>(smallestLimit, flow.running);
        const double base = flow.limit > 0 ? std::min(flow.limit, used * m_settings.scheduledRetryShare) : used;
        flow.limit = std::max(smallestLimit, base * std::max(m_settings.pressureDecreaseFloor, target / wait));
        return;
    }
    if (flow.limit <= 0)
        return;
    flow.limit = std::min(unboundedLimit, flow.limit * m_settings.pressureIncrease + 0.2);
    if (flow.limit > liftFactor * (flow.running + 1) && flow.limit > liftFactor)
        flow.limit = 0;
}

bool RootLoadShedder::admits(const std::string& route, uint8_t priority, bool scheduledRetry, TimePoint now)
{
    const auto found = m_flows.find({ route, priority });
    if (found == m_flows.end())
        return true;
    auto& flow = found->second;
    adapt(flow, now);
    if (flow.limit <= 0)
        return true;
    return flow.running < flow.limit * (scheduledRetry ? m_settings.scheduledRetryShare : 1);
}

void RootLoadShedder::recordStart(const std::string& route, uint8_t priority)
{
    ++m_flows[{ route, priority }].running;
}

void RootLoadShedder::recordEnd(const std::string& route, uint8_t priority)
{
    auto& running = m_flows[{ route, priority }].running;
    running -= running ? 1 : 0;
}

void RootLoadShedder::recordPressure(const std::string& route, uint8_t priority, Duration wait, TimePoint now)
{
    auto& flow = m_flows[{ route, priority }];
    const bool stale = now - flow.reportedAt > m_settings.pressureLifetime;
    // The average forgets within a window even if few requests are left to report.
    const double weight = std::clamp(toSeconds(now - flow.reportedAt) / toSeconds(m_settings.pressureWindow), waitWeight, 1.0);
    flow.wait = stale ? toSeconds(wait) : flow.wait + weight * (toSeconds(wait) - flow.wait);
    flow.reportedAt = now;
    adapt(flow, now);
}

Duration RootLoadShedder::pressure(const std::string& route, uint8_t priority, TimePoint now) const
{
    const auto found = m_flows.find({ route, priority });
    if (found == m_flows.end() || now - found->second.reportedAt > m_settings.pressureLifetime)
        return {};
    return fromSeconds(found->second.wait);
}

} // namespace shallot
