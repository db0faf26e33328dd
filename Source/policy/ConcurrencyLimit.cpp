#include "policy/ConcurrencyLimit.h"

#include "policy/PolicySettings.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

constexpr auto failureWindow = 100ms;
constexpr double minimumFailureFactor = 0.05;
constexpr uint32_t minimumOutcomes = 5; // Fewer are no evidence of a failing backend server

} // namespace

void ConcurrencyLimit::restart(uint32_t slots, TimePoint now)
{
    m_slots = slots;
    m_failureFactor = 1;
    m_started = now;
    m_windowStart = now;
    m_outcomes = 0;
    m_failures = 0;
}

void ConcurrencyLimit::recordOutcome(bool failed)
{
    ++m_outcomes;
    m_failures += failed ? 1 : 0;
}

void ConcurrencyLimit::tick(TimePoint now)
{
    if (now - m_windowStart < failureWindow)
        return;
    m_windowStart = now;
    const bool failedWindow = m_outcomes >= minimumOutcomes && m_failures > m_outcomes * m_settings.failureRatioThreshold;
    if (failedWindow)
        m_failureFactor = std::max(minimumFailureFactor, m_failureFactor * m_settings.limitDecrease);
    else
        m_failureFactor = std::min(1.0, m_failureFactor + m_settings.limitRecoveryStep);
    m_outcomes = 0;
    m_failures = 0;
}

double ConcurrencyLimit::rampFraction(TimePoint now) const
{
    const double elapsedFraction = toSeconds(now - m_started) / toSeconds(m_settings.coldStartRamp);
    return std::clamp(m_settings.coldStartFraction + (1 - m_settings.coldStartFraction) * elapsedFraction, 0.0, 1.0);
}

uint32_t ConcurrencyLimit::limit(TimePoint now) const
{
    if (!m_slots)
        return 0;
    const double limit = std::ceil(m_slots * m_failureFactor * rampFraction(now));
    return std::max<uint32_t>(1, static_cast<uint32_t>(limit));
}

} // namespace shallot
