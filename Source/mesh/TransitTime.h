#pragma once

#include "core/Time.h"

namespace shallot {

// How much longer than usual the messages of another process are on the way. The difference between the two clocks is not known,
// so the shortest difference between arrival and sending in the last minute stands for a message that nothing held up.
class TransitTime {
public:
    // Returns the time that the message was held up for. `sentAt`: by the clock of its sender.
    Duration record(TimePoint sentAt, TimePoint now);
    TimePoint lastRecordedAt() const { return m_lastRecordedAt; }

private:
    TimePoint m_periodStart {};
    TimePoint m_lastRecordedAt {};
    Duration m_least { Duration::max() }; // In the current period
    Duration m_leastBefore { Duration::max() };
};

} // namespace shallot
