#include "mesh/RetryBudgetShare.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallot {

namespace {

constexpr auto budgetWindow = 10s; // Window in which deployments count retries

} // namespace

RetryBudgetShare::RetryBudgetShare(const MeshSettings& settings, RequestOrigin origin, uint64_t seed)
    : m_settings(settings)
    , m_fraction(origin == RequestOrigin::Caller ? settings.retryFractionAtRoot : settings.retryFractionOfCalls)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void RetryBudgetShare::decay(TimePoint now)
{
    const double factor
        = std::exp(-toSeconds(now - std::exchange(m_decayedAt, now)) / toSeconds(m_settings.retryBudgetDecayTime));
    m_earned *= factor;
    m_spent *= factor;
}

void RetryBudgetShare::recordRequest(TimePoint now)
{
    decay(now);
    m_earned += m_settings.retryShare * m_fraction;
}

bool RetryBudgetShare::tryTake(size_t members, TimePoint now)
{
    decay(now);
    // The constant allowance accrues at a steady rate; its steady state under the decay is rate times decay time.
    const double refillRate = m_settings.retryAllowance * m_fraction / toSeconds(budgetWindow);
    const double constantPart
        = refillRate * toSeconds(m_settings.retryBudgetDecayTime) / static_cast<double>(std::max<size_t>(1, members));
    const double available = m_earned + constantPart - m_spent;
    if (available < 1 && std::uniform_real_distribution<double>(0, 1)(m_random) >= available)
        return false;
    m_spent += 1;
    return true;
}

} // namespace shallot
