#include "policy/AdmissionLevel.h"

#include "core/Numbers.h"
#include "core/RequestContext.h"
#include "policy/PolicySettings.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

constexpr float maximumLevel = static_cast<float>(priorityClasses) - 0.001F; // The highest scores are always admitted
// Factor by which counts decay per window: one window has too few completions to assess a slow service.
constexpr double windowDecay = 0.8;

} // namespace

void AdmissionLevel::recordArrival(float score)
{
    const auto bucket = saturatedCast<size_t>(score * bucketsPerClass);
    m_arrivals[std::min(bucket, bucketCount - 1)] += 1;
}

void AdmissionLevel::tick(TimePoint now, size_t queued, size_t slots, bool hasIdleSlots)
{
    if (now - m_windowStart < m_settings.levelWindow)
        return;
    const double elapsedWindows = std::max(1.0, toSeconds(now - m_windowStart) / toSeconds(m_settings.levelWindow));
    m_windowStart = now;
    const double targetWindows = toSeconds(m_settings.targetDelay) / toSeconds(m_settings.levelWindow);
    const double throughput = m_completions * (1 - windowDecay); // Completions per window
    // A slow service always has queued requests; up to half as many as it has slots do not count as overload.
    const double queueThreshold = std::max({ 1.0, throughput * targetWindows, static_cast<double>(slots) / 2 });
    if (!hasIdleSlots && static_cast<double>(queued) > queueThreshold)
        raise();
    else
        lower(hasIdleSlots);
    const double decay = std::pow(windowDecay, elapsedWindows);
    m_completions *= decay;
    for (auto& arrivals : m_arrivals)
        arrivals *= static_cast<float>(decay);
}

// Raises the level so that, going by recent arrivals, the requests with the highest scores that it admits are about as many as
// the backend server completed in the same time.
void AdmissionLevel::raise()
{
    const double targetArrivals = std::max(1.0, m_completions * m_settings.levelAdmittedFraction);
    double admittedArrivals = 0;
    size_t bucket = bucketCount;
    while (bucket > 0 && admittedArrivals + m_arrivals[bucket - 1] <= targetArrivals) {
        --bucket;
        admittedArrivals += m_arrivals[bucket];
    }
    const float next = static_cast<float>(bucket) / bucketsPerClass;
    m_level = std::clamp(std::max(next, m_level), 0.0F, maximumLevel);
}

void AdmissionLevel::lower(bool hasIdleSlots)
{
    const double step = hasIdleSlots ? m_settings.levelIdleDecreaseStep : m_settings.levelDecreaseStep;
    m_level = std::max(0.0F, m_level - static_cast<float>(step));
}

} // namespace shallot
