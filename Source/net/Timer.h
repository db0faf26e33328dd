#pragma once

#include "core/Time.h"

#include <functional>

namespace shallot {

// A GLib source that runs a function and stops when this object ends.
class Timer {
public:
    Timer() = default;
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Calls the function once; replaces what was set before.
    void startOnce(Duration delay, std::function<void()>);
    // Calls the function again and again.
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
