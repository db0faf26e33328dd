#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>

namespace shallot {

struct PolicySettings;

// Lowest score (see FairScore) that a service currently admits. Adjusted from measurements of the service's own daemon only.
class AdmissionLevel {
public:
    explicit AdmissionLevel(const PolicySettings& settings)
        : m_settings(settings)
    {
    }

    bool admits(float score) const { return score >= m_level; }
    float level() const { return m_level; }

    // Counts an arriving request, whether admitted or not.
    void recordArrival(float score);
    void recordCompletion() { m_completions += 1; }
    // Adjusts the level once per PolicySettings::levelWindow. `hasIdleSlots`: more requests could run concurrently.
    void tick(TimePoint now, size_t queued, size_t slots, bool hasIdleSlots);

private:
    static constexpr size_t bucketsPerClass = 64;
    static constexpr size_t bucketCount = 8 * bucketsPerClass;

    void raise();
    void lower(bool hasIdleSlots);

    const PolicySettings& m_settings;
    std::array<float, bucketCount> m_arrivals {}; // By score; exponentially decayed
    double m_completions { 0 };                   // Exponentially decayed
    float m_level { 0 };
    TimePoint m_windowStart {};
};

} // namespace shallot
