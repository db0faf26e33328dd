#pragma once

#include "LostRule.h"

#include <random>
#include <span>
#include <sys/types.h>
#include <vector>

namespace shallot {

// Stops one process at a time for a fixed length (SIGSTOP, SIGCONT), at seeded moments and with about a second between.
class ProcessStalls {
public:
    struct Stall {
        size_t index { 0 };
        pid_t process { 0 };
        TimePoint start {};
        TimePoint end { TimePoint::max() }; // max(): not yet
    };

    // Length 0: none.
    ProcessStalls(unsigned seed, Duration length);

    bool isEnabled() const { return m_length > Duration::zero(); }
    // The processes by index; 0: not running. Starts no stall that would go on after `end`.
    void update(std::span<const pid_t> processes, TimePoint now, TimePoint end);
    // Of the processes with this index, after `since`.
    Duration stalledFor(size_t index, TimePoint since, TimePoint now) const;
    std::vector<lost::Disruption> of(size_t index) const;
    // Null: none.
    const Stall* latest(size_t index) const;

private:
    std::mt19937 m_random;
    Duration m_length;
    TimePoint m_nextStart {};
    std::vector<Stall> m_stalls;
};

} // namespace shallot
