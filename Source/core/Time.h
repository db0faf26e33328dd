#pragma once

#include <chrono>
#include <ctime>

namespace shallot {

// The monotonic clock of one process. It goes on while the instance is suspended, so what is lent or proved for a time ends
// then too. Decisions never read a clock: the caller passes `now` in, so tests drive time.
// Time points of two processes are never compared; only durations travel.
struct MonotonicClock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that std::chrono asks for

    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(
            std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
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
