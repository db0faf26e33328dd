#include "daemon/LogFollower.h"

#include "core/Log.h"
#include "daemon/LogClient.h"
#include "net/PeerLinks.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto readInterval = 100ms;      // Between reads of the log service by a reader
constexpr auto fallbackReadInterval = 1s; // Between reads by a daemon whose relays fail, and of a reader while the log is down
constexpr auto relayTimeout = 1500ms;     // A relay that has not answered by then is replaced by the next
constexpr auto holdTime = 700ms;          // How long a relay keeps a request that it has no news for
constexpr auto relayStale = 3s;           // Without news for this long a daemon reads the log itself
constexpr size_t maximumRecentBytes = 8 * 1024 * 1024;
constexpr size_t recordsPerFrame = 1000;
constexpr uint64_t unknownAge = UINT64_MAX;

} // namespace

LogFollower::LogFollower(LogClient& client, PeerLinks& links, AppendQueue& appends)
    : m_client(client)
    , m_links(links)
    , m_appends(appends)
{
}

void LogFollower::setSources(std::vector<std::string> relays, bool readsLog)
{
    m_relays = std::move(relays);
    m_readsLog = readsLog;
}

void LogFollower::tick(TimePoint now)
{
    const bool stale = now - m_lastSuccess > relayStale;
    const bool directRead = m_readsLog || stale || m_relays.empty();
    const Duration interval = m_readsLog && !stale ? Duration(readInterval) : Duration(fallbackReadInterval);
    const bool firstRead = m_lastRead == TimePoint();
    if (directRead && !m_reading
        && (firstRead || now - m_lastRead >= (m_lastSuccess == TimePoint() ? Duration(readInterval) : interval)))
        readFromLog(now);
    if ((!m_readsLog || stale) && !m_relays.empty())
        askRelay(now);
    if (!m_appending) {
        if (auto bytes = m_appends.takeAppend(now)) {
            m_appending = true;
            m_client.append(std::move(*bytes), now, [this](const Result<void>& result) {
                m_appending = false;
                if (result)
                    m_appends.onAcknowledged();
                else
                    m_appends.onFailed(MonotonicClock::now());
                // Read back at once rather than at the next interval.
                if (!m_reading)
                    readFromLog(MonotonicClock::now());
            });
        }
    }
    m_appends.tick(now);
    answerWaiting(now);
}

void LogFollower::readFromLog(TimePoint now)
{
    m_reading = true;
    m_lastRead = now;
    m_client.read(m_fleetState.nextOffset(), now, [this, now](const Result<LogPage>& page) {
        m_reading = false;
        onPage(now, page);
    });
}

void LogFollower::onPage(TimePoint readStart, const Result<LogPage>& page)
{
    if (!page)
        return;
    m_lastSuccess = MonotonicClock::now();
    applyRecords(page->records);
    if (m_fleetState.nextOffset() >= page->next) {
        confirm(readStart);
        return;
    }
    if (!page->records.empty() && page->records.back().offset >= m_fleetState.nextOffset()
        && page->first > m_fleetState.nextOffset()) {
        SHALLOT_LOG(WARNING, "log") << "Records before " << page->first << " have expired and no snapshot was found yet.";
        return;
    }
    readFromLog(MonotonicClock::now());
}

void LogFollower::applyRecords(const std::vector<StoredRecord>& records)
{
    const auto before = m_fleetState.nextOffset();
    for (size_t i = 0; i < records.size(); ++i) {
        const auto reached = m_fleetState.nextOffset();
        if (m_fleetState.apply(records[i])) {
            if (records[i].offset >= reached) {
                m_recent.push_back(records[i]);
                m_recentBytes += records[i].bytes.size();
            }
            continue;
        }
        // A snapshot moved the fold: what it reaches may stand earlier in this page.
        if (m_fleetState.nextOffset() != reached) {
            m_recent.clear();
            m_recentBytes = 0;
            i = static_cast<size_t>(-1);
        }
    }
    while (m_recentBytes > maximumRecentBytes) {
        m_recentBytes -= m_recent.front().bytes.size();
        m_recent.pop_front();
    }
    if (m_fleetState.nextOffset() != before)
        afterRecordsApplied();
}

void LogFollower::afterRecordsApplied()
{
    for (const auto& applied : m_fleetState.takeApplied())
        m_appends.onApplied(applied);
    if (m_onChange)
        m_onChange();
    answerWaiting(MonotonicClock::now());
}

void LogFollower::confirm(TimePoint readStart)
{
    m_confirmedAt = std::max(m_confirmedAt, readStart);
    m_appends.onTailRead(readStart, m_fleetState);
}

void LogFollower::askRelay(TimePoint now)
{
    if (m_relayAsked && now - m_relayAskedAt < relayTimeout)
        return;
    if (m_relayAsked)
        ++m_relayIndex;
    auto link = m_links.linkTo(m_relays[m_relayIndex % m_relays.size()]);
    m_relayAsked = true;
    m_relayAskedAt = now;
    if (!link)
        return;
    wire::RecordsRequestT request;
    request.sequence = ++m_relaySequence;
    request.from = m_fleetState.nextOffset();
    wire::FrameT frame;
    frame.body.Set(request);
    link->send(frame);
}

void LogFollower::onRequest(PeerLink& link, const wire::RecordsRequestT& request, TimePoint now)
{
    const WaitingPeer peer { &link, request.sequence, request.from, now };
    if (request.from < m_fleetState.nextOffset())
        sendRecords(peer, now);
    else
        m_waiting.push_back(peer);
}

void LogFollower::answerWaiting(TimePoint now)
{
    std::vector<WaitingPeer> due;
    std::erase_if(m_waiting, [&](const auto& peer) {
        const bool answer = peer.from < m_fleetState.nextOffset() || now - peer.since >= holdTime;
        if (answer)
            due.push_back(peer);
        return answer;
    });
    for (const auto& peer : due)
        sendRecords(peer, now);
}

void LogFollower::sendRecords(const WaitingPeer& peer, TimePoint now)
{
    wire::RecordsT records;
    records.sequence = peer.sequence;
    records.next_offset = m_fleetState.nextOffset();
    records.log_age_us = m_confirmedAt == TimePoint() ? unknownAge : static_cast<uint64_t>((now - m_confirmedAt).count());
    const bool tooOld = peer.from < m_fleetState.nextOffset() && (m_recent.empty() || peer.from < m_recent.front().offset);
    if (tooOld) {
        records.snapshot = m_fleetState.serialize();
    } else {
        for (const auto& stored : m_recent) {
            if (stored.offset < peer.from || records.records.size() >= recordsPerFrame)
                continue;
            auto record = std::make_unique<wire::RecordT>();
            record->offset = stored.offset;
            record->time_ms = stored.timeMs;
            record->bytes = stored.bytes;
            records.records.push_back(std::move(record));
        }
    }
    wire::FrameT frame;
    frame.body.Set(std::move(records));
    peer.link->send(frame);
}

void LogFollower::onRecords(PeerLink&, const wire::RecordsT& answer, TimePoint now)
{
    // A late answer to an earlier question still brings records, but says nothing about the time since this question.
    const bool answersQuestion = m_relayAsked && answer.sequence == m_relaySequence;
    if (answersQuestion)
        m_relayAsked = false;
    if (!answer.snapshot.empty()) {
        if (m_fleetState.restore(answer.snapshot)) {
            m_recent.clear();
            m_recentBytes = 0;
            afterRecordsApplied();
        }
    }
    std::vector<StoredRecord> records;
    for (const auto& record : answer.records) {
        if (record)
            records.push_back({ record->offset, record->time_ms, record->bytes });
    }
    applyRecords(records);
    if (!answersQuestion || answer.log_age_us == unknownAge || m_fleetState.nextOffset() < answer.next_offset)
        return;
    // The relay's age counts from when it answered at the earliest, so the time of asking less the age is safe.
    const auto age = Duration(static_cast<int64_t>(std::min<uint64_t>(answer.log_age_us, INT64_MAX / 2)));
    if (age < relayStale)
        m_lastSuccess = now;
    confirm(m_relayAskedAt - age);
}

void LogFollower::onLinkClosed(PeerLink& link)
{
    std::erase_if(m_waiting, [&link](const auto& peer) { return peer.link == &link; });
}

} // namespace shallot
