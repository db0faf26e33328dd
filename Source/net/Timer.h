#pragma once

#include "core/Time.h"

#include <functional>

namespace shallot {

// Timer on the GLib main loop, with millisecond resolution (delays are rounded up). Destruction stops it.
class Timer {
public:
    Timer() = default;
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Calls the function once after the delay; replaces any earlier setting. The function may destroy the timer.
    void startOnce(Duration delay, std::function<void()>);
    // Calls the function after each interval; replaces any earlier setting.
    void startRepeating(Duration interval, std::function<void()>);
    void stop();

private:
    void start(Duration, bool repeating, std::function<void()>);

    struct State {
        Timer* owner;
        std::function<void()> function;
        bool repeating;
    };

    unsigned m_source { 0 };
};

} // namespace shallot
