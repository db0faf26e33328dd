#include "net/Timer.h"

#include <algorithm>
#include <glib.h>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr Duration stallThreshold = 50ms; // Lateness that shows that this process has stood still
constexpr Duration postponement = 10ms;   // Some iterations of the loop; more than reading hundreds of sockets takes

} // namespace

void Timer::startOnce(Duration delay, std::function<void()> function)
{
    stop();
    arm(delay, { makeRef<Function>(std::move(function)) });
}

void Timer::startRepeating(Duration interval, std::function<void()> function)
{
    stop();
    arm(interval, { makeRef<Function>(std::move(function)), interval });
}

void Timer::arm(Duration delay, Setting setting)
{
    const auto milliseconds = std::max<int64_t>(0, (delay.count() + 999) / 1000);
    auto* state = new State { this, std::move(setting), MonotonicClock::now() + delay };
    m_source = g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(milliseconds),
        [](gpointer data) -> gboolean {
            auto& state = *static_cast<State*>(data);
            state.owner->onDue(state);
            return G_SOURCE_REMOVE;
        },
        state, [](gpointer data) { delete static_cast<State*>(data); });
}

// What arrived while this process stood still would otherwise count as late. The function may destroy the timer, so nothing is
// used after it.
void Timer::onDue(State& state)
{
    m_source = 0;
    auto setting = std::move(state.setting);
    if (!setting.postponed && MonotonicClock::now() - state.due > stallThreshold) {
        setting.postponed = true;
        arm(postponement, std::move(setting));
        return;
    }
    setting.postponed = false;
    const auto function = setting.function;
    const auto interval = setting.interval;
    if (interval > Duration::zero())
        arm(interval, std::move(setting));
    function->call();
}

void Timer::stop()
{
    if (m_source)
        g_source_remove(m_source);
    m_source = 0;
}

} // namespace shallot
