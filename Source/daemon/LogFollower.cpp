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
constexpr auto relayTimeout = 1500ms;     // A relay that has not responded by then is replaced by the next
constexpr auto longPollTimeout = 700ms;   // A relay without further records holds a request this long
constexpr auto staleTimeout = 3s;         // Without a successful read for this long a daemon reads the log itself
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
    const bool stale = now - m_lastSuccess > staleTimeout;
    const bool directRead = m_readsLog || stale || m_relays.empty();
    const Duration interval = m_readsLog && !stale ? Duration(readInterval) : Duration(fallbackReadInterval);
    const bool firstRead = m_lastRead == TimePoint();
    if (directRead && !m_reading
        && (firstRead || now - m_lastRead >= (m_lastSuccess == TimePoint() ? Duration(readInterval) : interval)))
        readFromLog(now);
    if ((!m_readsLog || stale) && !m_relays.empty())
        requestFromRelay(now);
    if (!m_appending) {
        if (auto bytes = m_appends.takeAppend(now)) {
            m_appending = true;
            m_client.append(std::move(*bytes), now, [this](const Result<void>& result) {
                m_appending = false;
                if (result)
                    m_appends.onAcknowledged();
                else
                    m_appends.onFailed(MonotonicClock::now());
                // Reads the appended record back at once instead of at the next interval.
                if (!m_reading)
                    readFromLog(MonotonicClock::now());
            });
        }
    }
    m_appends.tick(now);
    respondToWaitingPeers(now);
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
        SHALLOT_LOG(WARNING, "log") << "Log records before offset " << page->first
                                    << " have expired and no snapshot has been read yet; the fleet state cannot advance.";
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
        // A snapshot record advanced the state; the records that follow this state may stand earlier in the page.
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
    respondToWaitingPeers(MonotonicClock::now());
}

void LogFollower::confirm(TimePoint readStart)
{
    m_confirmedAt = std::max(m_confirmedAt, readStart);
    m_appends.onTailRead(readStart, m_fleetState);
}

void LogFollower::requestFromRelay(TimePoint now)
{
    if (m_relayRequestPending && now - m_relayRequestedAt < relayTimeout)
        return;
    if (m_relayRequestPending)
        ++m_relayIndex;
    auto link = m_links.linkTo(m_relays[m_relayIndex % m_relays.size()]);
    m_relayRequestPending = true;
    m_relayRequestedAt = now;
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

void LogFollower::respondToWaitingPeers(TimePoint now)
{
    std::vector<WaitingPeer> due;
    std::erase_if(m_waiting, [&](const auto& peer) {
        const bool isDue = peer.from < m_fleetState.nextOffset() || now - peer.since >= longPollTimeout;
        if (isDue)
            due.push_back(peer);
        return isDue;
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

void LogFollower::onRecords(PeerLink&, const wire::RecordsT& response, TimePoint now)
{
    // A late response to an earlier request still delivers records, but confirms nothing about the time since the latest request.
    const bool respondsToLatestRequest = m_relayRequestPending && response.sequence == m_relaySequence;
    if (respondsToLatestRequest)
        m_relayRequestPending = false;
    if (!response.snapshot.empty()) {
        if (m_fleetState.restore(response.snapshot)) {
            m_recent.clear();
            m_recentBytes = 0;
            afterRecordsApplied();
        }
    }
    std::vector<StoredRecord> records;
    for (const auto& record : response.records) {
        if (record)
            records.push_back({ record->offset, record->time_ms, record->bytes });
    }
    applyRecords(records);
    if (!respondsToLatestRequest || response.log_age_us == unknownAge || m_fleetState.nextOffset() < response.next_offset)
        return;
    // The relay computed the age after this request was sent, so the send time less the age is a safe lower bound.
    const auto age = Duration(static_cast<int64_t>(std::min<uint64_t>(response.log_age_us, INT64_MAX / 2)));
    if (age < staleTimeout)
        m_lastSuccess = now;
    confirm(m_relayRequestedAt - age);
}

void LogFollower::onLinkClosed(PeerLink& link)
{
    std::erase_if(m_waiting, [&link](const auto& peer) { return peer.link == &link; });
}

} // namespace shallot
