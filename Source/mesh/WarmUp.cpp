#include "mesh/WarmUp.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>

namespace shallot {

bool WarmUp::limit(Duration& coldFor) const
{
    const auto longest = m_coldStart.longest > Duration::zero() ? m_coldStart.longest : m_settings.longestColdTime;
    const auto named = coldFor;
    coldFor = std::clamp(coldFor, Duration::zero(), longest);
    return coldFor == named;
}

void WarmUp::recordAnnouncement(Duration coldFor, TimePoint now)
{
    limit(coldFor);
    if (coldFor > Duration::zero())
        m_coldUntil = std::max(m_coldUntil.value_or(TimePoint()), now + coldFor);
}

void WarmUp::recordProbe(Duration coldFor, TimePoint sentAt, TimePoint now)
{
    limit(coldFor);
    if (m_unknownSince && sentAt >= *m_unknownSince)
        m_unknownSince.reset();
    if (coldFor > Duration::zero())
        m_coldUntil = now + coldFor;
    else if (m_coldUntil && *m_coldUntil > now)
        m_coldUntil = now;
}

void WarmUp::recordUnknown(TimePoint now)
{
    m_unknownSince = now;
}

void WarmUp::reset()
{
    m_coldUntil.reset();
    m_unknownSince.reset();
}

Duration WarmUp::coldFor(TimePoint now) const
{
    return m_coldUntil && *m_coldUntil > now ? *m_coldUntil - now : Duration::zero();
}

unsigned WarmUp::rampSteps(TimePoint now) const
{
    constexpr unsigned maximumSteps = 30; // Above any capacity
    return static_cast<unsigned>(std::min<int64_t>(maximumSteps, 1 + (now - *m_coldUntil) / m_settings.warmUpStep));
}

std::optional<double> WarmUp::rateLimit(double capacity, TimePoint now) const
{
    const double cold = m_coldStart.requestsPerSecond;
    if (cold <= 0)
        return std::nullopt;
    if (m_unknownSince || coldFor(now) > Duration::zero())
        return cold;
    if (!m_coldUntil)
        return std::nullopt;
    const double rate = std::ldexp(cold, static_cast<int>(rampSteps(now)));
    return rate < capacity ? std::optional(rate) : std::nullopt;
}

std::optional<Duration> WarmUp::nextChangeIn(double capacity, TimePoint now) const
{
    if (m_unknownSince || !rateLimit(capacity, now))
        return std::nullopt;
    if (const auto cold = coldFor(now); cold > Duration::zero())
        return cold;
    return *m_coldUntil + rampSteps(now) * m_settings.warmUpStep - now;
}

} // namespace shallot
