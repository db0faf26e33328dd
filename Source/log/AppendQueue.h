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
    Duration minimumInterval { std::chrono::milliseconds(10) }; // Between appends of one daemon; entries in between share one
    size_t maximumEntries { 200 };                              // Of one append
    size_t maximumWaiting { 10'000 };                           // Entries; further ones are refused
};

// Groups entries into appends with at most one append undecided, so that (writer, sequence) settles every lost
// acknowledgement. Does no I/O: the caller sends what takeAppend() gives and reports what happened.
class AppendQueue {
public:
    // The position of the entry in the log, or why the fold voided it; LogUnavailable when the entry was never sent and will not
    // be; OutcomeUnknown when it may still apply.
    using Completion = std::function<void(Result<uint64_t>)>;

    AppendQueue(AppendSettings settings, std::string writer)
        : m_settings(settings)
        , m_writer(std::move(writer))
    {
    }

    void push(LogEntry, TimePoint deadline, Completion);
    // The bytes to append now; empty while there is nothing to send or an append is undecided.
    std::optional<std::string> takeAppend(TimePoint now);
    void onAcknowledged();
    // No acknowledgement came: the record may or may not be in the log.
    void onFailed(TimePoint now);
    // A read of the log that began at `readStart` reached its end and was folded.
    void onTailRead(TimePoint readStart, const FleetState&);
    void onApplied(const AppliedEntry&);
    // Completes entries whose deadline has passed.
    void tick(TimePoint now);

    bool isIdle() const { return m_state == State::Idle && m_waiting.empty(); }
    uint64_t appends() const { return m_sequence; }

private:
    enum class State : uint8_t {
        Idle,
        Sent,    // Waiting for the acknowledgement or for the record to appear in the log
        Unknown, // The acknowledgement did not come
        Resend,  // Known not to be in the log when it was read
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
