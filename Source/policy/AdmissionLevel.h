#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>

namespace shallot {

struct PolicySettings;

// Lowest score (see FairScore) that a service admits now, set from what its own daemon measures.
class AdmissionLevel {
public:
    explicit AdmissionLevel(const PolicySettings& settings)
        : m_settings(settings)
    {
    }

    bool admits(float score) const { return score >= m_level; }
    float level() const { return m_level; }

    // Counts a request that arrived, admitted or not.
    void recordArrival(float score);
    void recordCompletion() { m_completions += 1; }
    // Sets the level once a window has passed. `hasIdleSlots` tells whether more requests could run at once.
    void tick(TimePoint now, size_t queued, size_t slots, bool hasIdleSlots);

private:
    static constexpr size_t bucketsPerClass = 64;
    static constexpr size_t bucketCount = 8 * bucketsPerClass;

    void raise();
    void lower(bool hasIdleSlots);

    const PolicySettings& m_settings;
    std::array<float, bucketCount> m_arrivals {}; // By score, older windows fading
    double m_completions { 0 };                   // Likewise
    float m_level { 0 };
    TimePoint m_windowStart {};
};

} // namespace shallot
