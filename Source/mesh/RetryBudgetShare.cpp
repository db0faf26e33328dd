#include "mesh/RetryBudgetShare.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallot {

namespace {

constexpr auto budgetWindow = 10s; // In which the deployments count repeats

} // namespace

RetryBudgetShare::RetryBudgetShare(const MeshSettings& settings, RequestOrigin origin, uint64_t seed)
    : m_settings(settings)
    , m_margin(origin == RequestOrigin::Caller ? settings.retryMarginAtRoot : settings.retryMarginOfCalls)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void RetryBudgetShare::fade(TimePoint now)
{
    const double factor = std::exp(-toSeconds(now - std::exchange(m_fadedAt, now)) / toSeconds(m_settings.retryMemory));
    m_saved *= factor;
    m_taken *= factor;
}

void RetryBudgetShare::recordRequest(TimePoint now)
{
    fade(now);
    m_saved += m_settings.retryShare * m_margin;
}

bool RetryBudgetShare::tryTake(size_t members, TimePoint now)
{
    fade(now);
    // The part that does not depend on requests comes at a steady pace, which makes this much within the memory.
    const double pace = m_settings.retryAllowance * m_margin / toSeconds(budgetWindow);
    const double steady = pace * toSeconds(m_settings.retryMemory) / static_cast<double>(std::max<size_t>(1, members));
    const double left = m_saved + steady - m_taken;
    if (left < 1 && std::uniform_real_distribution<double>(0, 1)(m_random) >= left)
        return false;
    m_taken += 1;
    return true;
}

} // namespace shallot
