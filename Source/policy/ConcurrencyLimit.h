#pragma once

#include "core/Time.h"

#include <cstdint>

namespace shallot {

struct PolicySettings;

// How many requests the daemon lets its backend server run at once: the slots it announced, less after failures, and
// ramped up from a small part after a start.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const PolicySettings& settings)
        : m_settings(settings)
    {
    }

    // A backend server announced itself for the first time or after a death.
    void restart(uint32_t slots, TimePoint now);
    void setSlots(uint32_t slots) { m_slots = slots; }
    void recordOutcome(bool failed);
    void tick(TimePoint now);

    uint32_t limit(TimePoint now) const;
    uint32_t slots() const { return m_slots; }

private:
    double rampFraction(TimePoint now) const;

    const PolicySettings& m_settings;
    uint32_t m_slots { 0 };
    double m_failureFactor { 1 }; // Part of the slots left after failures
    TimePoint m_started {};
    TimePoint m_windowStart {};
    uint32_t m_outcomes { 0 };
    uint32_t m_failures { 0 };
};

} // namespace shallot
