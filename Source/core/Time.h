#pragma once

#include "core/Numbers.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>

namespace shallot {

// Monotonic clock, which also advances while the instance is suspended, so that loans, leases and confirmations expire then too.
// Decision logic never reads the clock: its caller passes `now`, so that tests can control time. Time points are meaningless to
// other processes; only durations are sent.
struct MonotonicClock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by std::chrono

    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(
            std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

// Time of day, for records that outlive the process or are read by others. Clocks of instances differ and may be stepped.
struct WallClock {
    static std::chrono::sys_seconds now() noexcept
    {
        return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    }

    // Since 1970.
    static uint64_t milliseconds() noexcept
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

// Longer than anything that is waited for, and far from the ends of the range, so that sums with time points do not overflow.
constexpr Duration longestDuration = std::chrono::years(1000);

inline double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}
// Clamped to longestDuration in both directions: a division by a rate of zero, or a setting, may give any number.
inline Duration fromSeconds(double seconds)
{
    return Duration(std::clamp(saturatedCast<Duration::rep>(seconds * 1e6), -longestDuration.count(), longestDuration.count()));
}

} // namespace shallot
