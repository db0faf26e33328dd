#include "net/Timer.h"

#include <algorithm>
#include <glib.h>

namespace shallot {

void Timer::startOnce(Duration delay, std::function<void()> function)
{
    start(delay, false, std::move(function));
}

void Timer::startRepeating(Duration interval, std::function<void()> function)
{
    start(interval, true, std::move(function));
}

void Timer::start(Duration duration, bool repeating, std::function<void()> function)
{
    stop();
    auto* state = new State { this, std::move(function), repeating };
    const auto milliseconds = std::max<int64_t>(0, (duration.count() + 999) / 1000);
    m_source = g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(milliseconds),
        [](gpointer data) -> gboolean {
            auto* state = static_cast<State*>(data);
            if (state->repeating) {
                state->function();
                return G_SOURCE_CONTINUE;
            }
            // The function may destroy the timer, so the source is cleared first.
            state->owner->m_source = 0;
            const auto function = std::move(state->function);
            function();
            return G_SOURCE_REMOVE;
        },
        state, [](gpointer data) { delete static_cast<State*>(data); });
}

void Timer::stop()
{
    if (m_source)
        g_source_remove(m_source);
    m_source = 0;
}

} // namespace shallot
