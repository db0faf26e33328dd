#include "ProcessStalls.h"

#include <algorithm>
#include <csignal>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr Duration shortestInterval = 500ms; // Between two stalls
constexpr Duration intervalRange = 1s;

} // namespace

ProcessStalls::ProcessStalls(unsigned seed, Duration length)
    : m_random(seed)
    , m_length(length)
{
}

void ProcessStalls::update(std::span<const pid_t> processes, TimePoint now, TimePoint end)
{
    if (!isEnabled())
        return;
    if (!m_stalls.empty() && m_stalls.back().end == TimePoint::max()) {
        auto& stall = m_stalls.back();
        const bool isRunning = processes[stall.index] == stall.process;
        if (isRunning && now < stall.start + m_length)
            return;
        if (isRunning)
            kill(stall.process, SIGCONT);
        stall.end = now;
        m_nextStart = now + shortestInterval + Duration(static_cast<int64_t>(m_random() % intervalRange.count()));
    }
    if (now < m_nextStart || now + m_length > end)
        return;
    const auto index = m_random() % processes.size();
    if (processes[index] && !kill(processes[index], SIGSTOP))
        m_stalls.push_back({ index, processes[index], now });
    else
        m_nextStart = now + shortestInterval;
}

Duration ProcessStalls::stalledFor(size_t index, TimePoint since, TimePoint now) const
{
    Duration sum {};
    for (const auto& stall : m_stalls) {
        if (stall.index == index)
            sum += std::max(Duration::zero(), std::min(stall.end, now) - std::max(stall.start, since));
    }
    return sum;
}

std::vector<lost::Disruption> ProcessStalls::of(size_t index) const
{
    std::vector<lost::Disruption> disruptions;
    for (const auto& stall : m_stalls) {
        if (stall.index == index)
            disruptions.push_back({ stall.start, stall.end });
    }
    return disruptions;
}

const ProcessStalls::Stall* ProcessStalls::latest(size_t index) const
{
    const auto found
        = std::find_if(m_stalls.rbegin(), m_stalls.rend(), [index](const Stall& stall) { return stall.index == index; });
    return found == m_stalls.rend() ? nullptr : &*found;
}

} // namespace shallot
