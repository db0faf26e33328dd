#pragma once

#include "core/Time.h"
#include "net/Timer.h"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>

namespace shallot {

// Tracks the deadlines of many items with a single timer, which is armed for the earliest deadline.
class DeadlineQueue {
public:
    explicit DeadlineQueue(std::function<void(uint64_t id)> onDue)
        : m_onDue(std::move(onDue))
    {
    }

    // Sets or replaces the deadline of an item.
    void set(uint64_t id, TimePoint);
    void remove(uint64_t id);

private:
    void arm(TimePoint now);
    void dispatchDue();

    std::function<void(uint64_t)> m_onDue;
    std::set<std::pair<TimePoint, uint64_t>> m_byDeadline;
    std::unordered_map<uint64_t, TimePoint> m_deadlines;
    Timer m_timer;
    TimePoint m_armedFor { TimePoint::max() };
};

} // namespace shallot
