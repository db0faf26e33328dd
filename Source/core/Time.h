#pragma once

#include <chrono>

namespace shallot {

// The monotonic clock of one process. Decisions never read a clock: the caller passes `now` in, so tests drive time.
// Time points of two processes are never compared; only durations travel.
struct MonotonicClock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that std::chrono asks for

    static time_point now() noexcept
    {
        return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

inline double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}
inline Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

} // namespace shallot
