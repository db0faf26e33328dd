#pragma once

#include "core/RefCounted.h"
#include "core/Time.h"

#include <functional>

namespace shallot {

// Timer on the GLib main loop, with millisecond resolution (delays are rounded up). Destruction stops it. When this process has
// stood still, the sockets are read before the timer fires.
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
    struct Function : RefCounted<Function> {
        explicit Function(std::function<void()> called)
            : call(std::move(called))
        {
        }
        const std::function<void()> call;
    };
    struct Setting {
        RefPtr<Function> function; // Held while it is called, since it may stop the timer
        Duration interval {};      // Zero: it fires once
        bool postponed { false };
    };
    struct State {
        Timer* owner;
        Setting setting;
        TimePoint due;
    };

    void arm(Duration, Setting);
    void onDue(State&);

    unsigned m_source { 0 };
};

} // namespace shallot
