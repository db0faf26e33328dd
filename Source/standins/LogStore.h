#pragma once

#include "log/LogEntry.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace shallot {

// Faults that tests inject into the stand-in log service.
struct LogFaults {
    bool down { false };                 // Rejects appends and reads
    bool loseAcknowledgements { false }; // Appends take effect but the response is an error
    uint32_t appendsPerSecond { 500 };   // Further appends within a second are refused
};

// In-memory stand-in for the platform's append-only log, with offsets, limited retention and injected faults.
class LogStore {
public:
    enum class AppendOutcome : uint8_t {
        Stored,
        Refused,
        Unacknowledged, // Stored, but not acknowledged to the client
    };

    AppendOutcome append(std::string bytes, int64_t timeMs);
    std::vector<StoredRecord> read(uint64_t from, size_t maximum) const;
    // Removes all but the last `records` records.
    void retain(size_t records);

    uint64_t first() const { return m_first; }
    uint64_t next() const { return m_first + m_records.size(); }
    LogFaults& faults() { return m_faults; }

private:
    std::deque<StoredRecord> m_records;
    uint64_t m_first { 0 };
    LogFaults m_faults;
    int64_t m_second { 0 };
    uint32_t m_appendsThisSecond { 0 };
};

} // namespace shallot
