#include "mesh/ServedCalls.h"

#include "mesh/MeshSettings.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t bytesPerOutcome = 512; // Beside headers and body

size_t bytesOf(const MeshOutcome& outcome)
{
    size_t bytes = bytesPerOutcome;
    if (!outcome.response)
        return bytes + outcome.response.error().detail.size();
    for (const auto& [name, value] : outcome.response->headers)
        bytes += name.size() + value.size();
    return bytes + outcome.response->body.size();
}

} // namespace

// A record that was forgotten may be of a call that ran, or of one that its sender was told would not be begun. So up to the
// latest forgotten id nothing is claimed of a call without a record, and it is not begun.
bool ServedCalls::isForgotten(const ServedCallKey& key) const
{
    const auto found = m_forgotten.find({ key.sender, key.boot });
    return found != m_forgotten.end() && key.id <= found->second.latestID;
}

bool ServedCalls::begin(const ServedCallKey& key, TimePoint deadline, TimePoint now)
{
    expire(now);
    if (isForgotten(key))
        return false;
    const auto [record, isNew] = m_records.try_emplace(key);
    if (isNew)
        record->second.deadline = deadline;
    return isNew;
}

void ServedCalls::close(const ServedCallKey& key, Record& record, State state, TimePoint knownUntil)
{
    record.state = state;
    m_closed.emplace(knownUntil, key);
}

void ServedCalls::end(const ServedCallKey& key, std::optional<MeshOutcome> outcome, TimePoint now)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.state != State::Open)
        return;
    auto& record = found->second;
    close(key, record, State::Ended, record.deadline + m_settings.servedCallMargin);
    m_detached.erase(key);
    record.endedAt = now;
    const auto bytes = outcome ? bytesOf(*outcome) : 0;
    if (outcome && bytes <= m_settings.maximumKeptOutcomeBytes) {
        record.outcome = std::move(outcome);
        record.bytes = bytes;
        m_keptBytes += bytes;
        record.keptAs = ++m_lastKept;
        m_kept.emplace(record.keptAs, key);
    }
    while (m_keptBytes > m_settings.maximumKeptOutcomeBytes)
        dropOutcome(m_records.at(outcomeToDrop()));
    expire(now);
}

// The oldest one that has been sent, if there is one.
const ServedCallKey& ServedCalls::outcomeToDrop() const
{
    const auto sent = std::find_if(
        m_kept.begin(), m_kept.end(), [this](const auto& item) { return !m_expectedQueries.contains(item.second); });
    return sent == m_kept.end() ? m_kept.begin()->second : sent->second;
}

void ServedCalls::dropOutcome(Record& record)
{
    if (const auto kept = m_kept.find(record.keptAs); kept != m_kept.end()) {
        m_expectedQueries.erase(kept->second);
        m_kept.erase(kept);
    }
    record.outcome.reset();
    m_keptBytes -= std::exchange(record.bytes, 0);
}

void ServedCalls::refuse(const ServedCallKey& key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.state != State::Open)
        return;
    close(key, found->second, State::Refused, found->second.deadline + m_settings.servedCallMargin);
    m_detached.erase(key);
}

void ServedCalls::detach(const ServedCallKey& key, TimePoint now)
{
    if (const auto found = m_records.find(key); found != m_records.end() && found->second.state == State::Open)
        m_detached.try_emplace(key, now);
}

ServedCallState ServedCalls::query(const ServedCallKey& key, TimePoint now)
{
    expire(now);
    if (const auto found = m_records.find(key); found != m_records.end()) {
        switch (found->second.state) {
        case State::Open:
            m_detached.erase(key);
            return ServedCallState::InProgress;
        case State::Ended:
            m_expectedQueries.erase(key);
            return found->second.outcome ? ServedCallState::Ended : ServedCallState::Unknown;
        case State::Refused:
            return ServedCallState::NotBegun;
        }
    }
    if (isForgotten(key))
        return ServedCallState::Unknown;
    close(key, m_records[key], State::Refused, now + m_settings.refusedCallLifetime);
    return ServedCallState::NotBegun;
}

void ServedCalls::expectQuery(const ServedCallKey& key)
{
    if (outcomeOf(key))
        m_expectedQueries.insert(key);
}

void ServedCalls::expectQueries(std::string_view sender, uint64_t boot, TimePoint now)
{
    const auto since = now - m_settings.lostAnswerWindow;
    for (auto item = m_kept.rbegin(); item != m_kept.rend() && m_records.at(item->second).endedAt >= since; ++item) {
        if (item->second.sender == sender && item->second.boot == boot)
            m_expectedQueries.insert(item->second);
    }
}

const MeshOutcome* ServedCalls::outcomeOf(const ServedCallKey& key) const
{
    const auto found = m_records.find(key);
    return found != m_records.end() && found->second.outcome ? &*found->second.outcome : nullptr;
}

std::vector<ServedCallKey> ServedCalls::takeAbandoned(TimePoint now)
{
    std::vector<ServedCallKey> abandoned;
    for (const auto& [key, since] : m_detached) {
        if (now - since >= m_settings.detachedCallLifetime)
            abandoned.push_back(key);
    }
    for (const auto& key : abandoned)
        m_detached.erase(key);
    return abandoned;
}

std::optional<TimePoint> ServedCalls::nextAbandonment() const
{
    std::optional<TimePoint> next;
    for (const auto& [key, since] : m_detached)
        next = std::min(next.value_or(TimePoint::max()), since + m_settings.detachedCallLifetime);
    return next;
}

void ServedCalls::forgetNext(TimePoint now)
{
    const auto key = m_closed.begin()->second;
    m_closed.erase(m_closed.begin());
    auto& forgotten = m_forgotten[{ key.sender, key.boot }];
    forgotten.latestID = std::max(forgotten.latestID, key.id);
    forgotten.changedAt = now;
    if (const auto found = m_records.find(key); found != m_records.end()) {
        dropOutcome(found->second);
        m_records.erase(found);
    }
}

void ServedCalls::expire(TimePoint now)
{
    while (!m_closed.empty() && (now >= m_closed.begin()->first || m_closed.size() > m_settings.maximumServedCallRecords))
        forgetNext(now);
    // The entry of a process matters while a call of it may be asked for or arrive; checked rarely, since there are few of them.
    if (now < m_processesCheckedAt + m_settings.servedProcessLifetime / 2)
        return;
    m_processesCheckedAt = now;
    std::erase_if(
        m_forgotten, [this, now](const auto& item) { return now - item.second.changedAt >= m_settings.servedProcessLifetime; });
}

} // namespace shallot
