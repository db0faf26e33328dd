#include "sidecar/StoreFollower.h"

#include "core/EventLog.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto snapshotTimeout = 1500ms;    // Several times the slowest response of a healthy store
constexpr auto initialRetryDelay = 150ms;   // After a failed read; doubled each time
constexpr auto startupRetryMaximum = 800ms; // Until the first response, which is needed to serve anything
constexpr auto minimumReadDelay = 20ms;     // Between two reads that were answered at once

const char* topicName(platform::StoreTopic topic)
{
    return topic == platform::StoreTopic::Configuration ? "configuration" : "members";
}

} // namespace

StoreFollower::StoreFollower(platform::StoreClient& client, FollowSettings settings, Callback callback)
    : m_client(client)
    , m_settings(settings)
    , m_onRead(std::move(callback))
{
}

void StoreFollower::setPaused(bool paused)
{
    if (paused == std::exchange(m_paused, paused))
        return;
    EventLog::write("store-follower", { { "topic", topicName(m_settings.topic) }, { "paused", paused } });
    if (!paused && !m_reading)
        readNext();
    else if (paused && !m_catchingUp)
        m_timer.stop();
}

void StoreFollower::readOnce()
{
    if (!m_reading)
        readNext();
}

void StoreFollower::advanceTo(uint64_t offset, uint64_t era)
{
    if (era < m_era)
        return;
    if (std::exchange(m_era, era) < era)
        m_offset.reset();
    m_offset = std::max(m_offset.value_or(0), offset);
}

void StoreFollower::readSnapshot()
{
    m_reading = true;
    const auto sentAt = MonotonicClock::now();
    m_client.readSnapshot(m_settings.topic, snapshotTimeout,
        [this, sentAt](Result<platform::StoreRead> read) { onRead(sentAt, {}, true, std::move(read)); });
}

void StoreFollower::readNext()
{
    m_timer.stop(); // Of a read that was due later
    if (!m_offset) {
        readSnapshot();
        return;
    }
    const auto sentAt = MonotonicClock::now();
    // After a failure the read is not held, to detect as early as possible that the store is back. A read that returned records
    // confirms freshness only up to the time it was sent; if the next one were held as well, the confirmation would become older
    // than other members accept.
    const bool readsAgain = m_hadRecords && m_settings.readsAgainAfterRecords;
    const auto hold = m_failures || m_paused || m_catchingUp || readsAgain ? Duration::zero() : m_settings.hold;
    m_reading = true;
    m_client.readFrom(m_settings.topic, *m_offset, hold, hold + m_settings.timeout,
        [this, sentAt, hold](Result<platform::StoreRead> read) { onRead(sentAt, hold, false, std::move(read)); });
}

void StoreFollower::onRead(TimePoint sentAt, Duration hold, bool wasSnapshot, Result<platform::StoreRead> read)
{
    m_reading = false;
    if (!read) {
        m_catchingUp = read.error().kind == ErrorKind::LogTrimmed;
        if (m_catchingUp) {
            EventLog::write("store-read-from-start",
                { { "topic", topicName(m_settings.topic) }, { "offset", offset() }, { "detail", read.error().detail } });
            m_offset.reset();
            scheduleNext({});
            return;
        }
        if (std::exchange(m_reachable, false))
            EventLog::write("store-lost", { { "topic", topicName(m_settings.topic) }, { "detail", read.error().detail } });
        const auto maximumDelay = m_offset ? m_settings.maximumRetryDelay : startupRetryMaximum;
        scheduleNext(std::min<Duration>(maximumDelay, initialRetryDelay * (1 << std::min(m_failures, 5U))));
        ++m_failures;
        return;
    }
    if (!std::exchange(m_reachable, true))
        EventLog::write("store-regained", { { "topic", topicName(m_settings.topic) }, { "failures", m_failures } });
    m_failures = 0;
    // The store came back from an earlier copy: other records may stand at the offsets that were read.
    if (read->era > m_era && m_offset && !wasSnapshot) {
        m_catchingUp = true;
        m_offset.reset();
        scheduleNext({});
        return;
    }
    if (read->era < m_era) {
        scheduleNext(std::max<Duration>(m_settings.readDelay, minimumReadDelay));
        return;
    }
    if (std::exchange(m_era, read->era) < read->era)
        m_offset.reset();
    m_catchingUp = !read->isComplete();
    if (m_catchingUp)
        EventLog::write("store-read-incomplete",
            { { "topic", topicName(m_settings.topic) }, { "records", read->records.size() }, { "next", read->nextOffset },
                { "end", read->endOffset } });
    // A read held to its end without records shows that there were none when it ended. The store counts the hold from the arrival
    // of the request.
    const bool held = read->records.empty() && hold > Duration::zero() && MonotonicClock::now() - sentAt >= hold;
    // A late response brings nothing new, and its records may be older than those received meanwhile.
    const uint64_t known = m_offset.value_or(0);
    if (m_offset && !wasSnapshot && read->nextOffset <= known)
        read->records.clear();
    m_offset = std::max(known, read->nextOffset);
    m_hadRecords = !wasSnapshot && !read->records.empty();
    const auto seenUntil = held ? sentAt + hold : sentAt;
    m_onRead({ read->records, known, read->nextOffset, wasSnapshot, m_era },
        m_catchingUp ? std::nullopt : std::optional<TimePoint>(seenUntil));
    if (m_catchingUp) {
        scheduleNext({});
        return;
    }
    // If the store does not hold the read, the rate of reads must stay bounded.
    const auto readDelay = wasSnapshot ? m_settings.delayAfterSnapshot : m_settings.readDelay;
    scheduleNext(held ? Duration::zero() : std::max<Duration>(readDelay, minimumReadDelay));
}

void StoreFollower::scheduleNext(Duration delay)
{
    if (!m_paused || m_catchingUp)
        m_timer.startOnce(delay, [this] { readNext(); });
}

} // namespace shallot
