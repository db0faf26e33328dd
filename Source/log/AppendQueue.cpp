#include "log/AppendQueue.h"

#include "log/FleetState.h"

namespace shallot {

void AppendQueue::push(LogEntry entry, TimePoint deadline, Completion completion)
{
    if (m_waiting.size() >= m_settings.maximumWaiting) {
        completion(fail(ErrorKind::LogUnavailable, "the queue of entries for the log is full"));
        return;
    }
    m_waiting.push_back({ std::move(entry), deadline, std::move(completion) });
}

std::optional<std::string> AppendQueue::takeAppend(TimePoint now)
{
    if (m_state == State::Resend) {
        m_state = State::Sent;
        m_lastAppend = now;
        return m_inFlightBytes;
    }
    if (m_state != State::Idle || m_waiting.empty() || now - m_lastAppend < m_settings.minimumInterval)
        return std::nullopt;
    LogRecord record;
    record.writer = m_writer;
    record.sequence = ++m_sequence;
    while (!m_waiting.empty() && m_inFlight.size() < m_settings.maximumEntries) {
        record.entries.push_back(m_waiting.front().entry);
        m_inFlight.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    m_inFlightBytes = formatRecord(record);
    m_state = State::Sent;
    m_lastAppend = now;
    return m_inFlightBytes;
}

void AppendQueue::onAcknowledged()
{
    // Entries complete only when the record is read from the log, so an acknowledgement changes nothing.
}

void AppendQueue::onFailed(TimePoint now)
{
    if (m_state != State::Sent)
        return;
    m_state = State::Unknown;
    m_failedAt = now;
}

void AppendQueue::onTailRead(TimePoint readStart, const FleetState& fleetState)
{
    if (m_state == State::Idle || m_state == State::Resend)
        return;
    if (fleetState.hasApplied(m_writer, m_sequence)) {
        // The record was applied as part of a snapshot, which has no outcomes of entries; onApplied() handles all other cases.
        for (auto& pending : m_inFlight)
            complete(pending,
                fail(ErrorKind::OutcomeUnknown,
                    "the outcome of the entry is not recorded in the snapshot that replaced its record"));
        finishInFlight();
        return;
    }
    if (m_state == State::Unknown && readStart >= m_failedAt)
        m_state = State::Resend;
}

void AppendQueue::onApplied(const AppliedEntry& applied)
{
    if (applied.writer != m_writer || applied.sequence != m_sequence || applied.index >= m_inFlight.size())
        return;
    if (applied.result)
        complete(m_inFlight[applied.index], applied.position);
    else
        complete(m_inFlight[applied.index], tl::unexpected(applied.result.error()));
    if (applied.index + 1 == m_inFlight.size())
        finishInFlight();
}

void AppendQueue::finishInFlight()
{
    m_inFlight.clear();
    m_inFlightBytes.clear();
    m_state = State::Idle;
}

void AppendQueue::complete(Pending& pending, Result<uint64_t> result)
{
    if (const auto completion = std::exchange(pending.completion, nullptr))
        completion(std::move(result));
}

void AppendQueue::tick(TimePoint now)
{
    for (auto& pending : m_inFlight) {
        if (pending.deadline <= now)
            complete(pending,
                fail(ErrorKind::OutcomeUnknown,
                    "the log did not confirm the entry before its deadline; it may still take effect"));
    }
    std::vector<Pending> expired;
    for (auto pending = m_waiting.begin(); pending != m_waiting.end();) {
        if (pending->deadline > now) {
            ++pending;
            continue;
        }
        expired.push_back(std::move(*pending));
        pending = m_waiting.erase(pending);
    }
    for (auto& pending : expired)
        complete(pending, fail(ErrorKind::LogUnavailable, "the entry was not appended to the log before its deadline"));
}

} // namespace shallot
