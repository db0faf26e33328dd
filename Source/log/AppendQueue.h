#pragma once

#include "core/Time.h"
#include "log/LogEntry.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

struct AppliedEntry;
class FleetState;

struct AppendSettings {
    Duration minimumInterval { std::chrono::milliseconds(10) }; // Between appends; entries queued meanwhile share one
    size_t maximumEntries { 200 };                              // Per append
    size_t maximumWaiting { 10'000 };                           // Queued entries; further ones fail with LogUnavailable
};

// Groups entries into appends. At most one append is undecided at a time, so after a lost acknowledgement the highest applied
// sequence number of this writer tells whether it is in the log. Does no I/O: the caller sends the bytes of takeAppend() and
// reports the outcome.
class AppendQueue {
public:
    // Receives the position of the entry in the log, or an error: the reason why the entry was voided, LogUnavailable when it was
    // not sent and will not be, OutcomeUnknown when it may still be applied.
    using Completion = std::function<void(Result<uint64_t>)>;

    AppendQueue(AppendSettings settings, std::string writer)
        : m_settings(settings)
        , m_writer(std::move(writer))
    {
    }

    // Queues an entry. `completion` is called once, at the latest in the first tick() after the deadline.
    void push(LogEntry, TimePoint deadline, Completion);
    // Bytes to append now; no value while there is nothing to send, an append is undecided or the minimum interval has not
    // passed.
    std::optional<std::string> takeAppend(TimePoint now);
    void onAcknowledged();
    // The append failed or was not acknowledged: the record may or may not be in the log.
    void onFailed(TimePoint now);
    // A read of the log that began at `readStart` reached its end, and its records were applied.
    void onTailRead(TimePoint readStart, const FleetState&);
    // An entry of any writer was applied.
    void onApplied(const AppliedEntry&);
    // Completes entries whose deadline has passed.
    void tick(TimePoint now);

    bool isIdle() const { return m_state == State::Idle && m_waiting.empty(); }
    uint64_t appends() const { return m_sequence; }

private:
    enum class State : uint8_t {
        Idle,
        Sent,    // Waiting for the record to be read from the log, or for a failure
        Unknown, // The append failed or was not acknowledged
        Resend,  // A later read shows that the record is not in the log
    };

    struct Pending {
        LogEntry entry;
        TimePoint deadline;
        Completion completion;
    };

    void complete(Pending&, Result<uint64_t>);
    void finishInFlight();

    AppendSettings m_settings;
    std::string m_writer;
    State m_state { State::Idle };
    std::deque<Pending> m_waiting;
    std::vector<Pending> m_inFlight;
    std::string m_inFlightBytes;
    uint64_t m_sequence { 0 };
    TimePoint m_lastAppend {};
    TimePoint m_failedAt {};
};

} // namespace shallot
