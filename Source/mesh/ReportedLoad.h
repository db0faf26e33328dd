#pragma once

#include "core/Time.h"

#include <cstdint>
#include <optional>

namespace shallot {

// What the backend server last said of the machine that it runs on. A response without a readable load header changes nothing.
class ReportedLoad {
public:
    // `workTimePercent`: how long work takes on that machine, 100 as usual; empty if the backend server names no such figure.
    void record(std::optional<uint32_t> workTimePercent, TimePoint now);
    // Counts a header that cannot be read. Returns whether it should be logged: at most one a minute is.
    bool recordMalformed(TimePoint now);
    // Another run of the backend server may be of another service.
    void reset() { m_pace = 0; }

    // How long work takes, 1 as usual; 0: not known.
    double pace() const { return m_pace; }
    Duration paceAge(TimePoint now) const { return m_pace > 0 ? now - m_reportedAt : Duration::zero(); }
    uint64_t malformedHeaders() const { return m_malformedHeaders; }

private:
    double m_pace { 0 };
    TimePoint m_reportedAt {};
    uint64_t m_malformedHeaders { 0 };
    TimePoint m_loggedAt {};
};

} // namespace shallot
