#pragma once

#include "core/Time.h"

#include <cstdint>

namespace shallot {

struct PolicySettings;

// Maximum number of requests that the daemon runs concurrently on its backend server: the slots that the server announced,
// reduced after failures and ramped up from a fraction after a start.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const PolicySettings& settings)
        : m_settings(settings)
    {
    }

    // Called when a backend server announces itself for the first time or after a crash.
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
    double m_failureFactor { 1 }; // 0 to 1; reduced by failed windows
    TimePoint m_started {};
    TimePoint m_windowStart {};
    uint32_t m_outcomes { 0 };
    uint32_t m_failures { 0 };
};

} // namespace shallot
