#include "mesh/RunTimes.h"

#include <algorithm>

namespace shallot {

void RunTimes::record(Duration time)
{
    m_times[m_count++ % m_times.size()] = time;
}

std::optional<Duration> RunTimes::quantile(double share) const
{
    const auto known = std::min(m_count, m_times.size());
    if (!known)
        return std::nullopt;
    auto times = m_times;
    const auto index = std::min(known - 1, static_cast<size_t>(std::clamp(share, 0.0, 1.0) * static_cast<double>(known)));
    const auto at = times.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(times.begin(), at, times.begin() + static_cast<std::ptrdiff_t>(known));
    return *at;
}

} // namespace shallot
