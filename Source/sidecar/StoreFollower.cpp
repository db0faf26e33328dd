#include "sidecar/StoreFollower.h"

#include "core/EventLog.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto newestTimeout = 1500ms; // Several times the slowest answer of a store that is not in trouble
constexpr auto firstRetry = 150ms;     // After a failed read; doubled each time
constexpr auto startRetry = 800ms;     // Before the first answer nothing can be served
constexpr auto shortestPause = 20ms;   // Between two reads that were answered at once

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
    if (paused)
        m_timer.stop();
    else if (!m_reading)
        readNext();
}

void StoreFollower::readOnce()
{
    if (!m_reading)
        readNext();
}

void StoreFollower::advanceTo(uint64_t offset)
{
    m_offset = std::max(m_offset.value_or(0), offset);
}

void StoreFollower::readNewest()
{
    m_reading = true;
    const auto asked = MonotonicClock::now();
    m_client.readNewest(m_settings.topic, newestTimeout,
        [this, asked](Result<platform::StoreRead> read) { onRead(asked, {}, true, std::move(read)); });
}

void StoreFollower::readNext()
{
    if (!m_offset) {
        readNewest();
        return;
    }
    const auto asked = MonotonicClock::now();
    // After a failure the store is asked for an answer at once, to learn as early as possible that it is back. A read that
    // brought news proves nothing about the time after its question; held as long as another one, it would leave the proof older
    // than others are content with.
    const bool asksAgain = m_hadNews && m_settings.asksAgainAfterNews;
    const auto hold = m_failures || m_paused || asksAgain ? Duration::zero() : m_settings.hold;
    m_reading = true;
    m_client.readFrom(m_settings.topic, *m_offset, hold, hold + m_settings.timeout,
        [this, asked, hold](Result<platform::StoreRead> read) { onRead(asked, hold, false, std::move(read)); });
}

void StoreFollower::onRead(TimePoint asked, Duration hold, bool wasNewest, Result<platform::StoreRead> read)
{
    m_reading = false;
    if (!read) {
        if (read.error().kind == ErrorKind::LogTrimmed) {
            m_offset.reset();
            scheduleNext({});
            return;
        }
        if (std::exchange(m_reachable, false))
            EventLog::write("store-lost", { { "topic", topicName(m_settings.topic) }, { "detail", read.error().detail } });
        const auto longest = m_offset ? m_settings.longestRetry : startRetry;
        scheduleNext(std::min<Duration>(longest, firstRetry * (1 << std::min(m_failures, 5U))));
        ++m_failures;
        return;
    }
    if (!std::exchange(m_reachable, true))
        EventLog::write("store-regained", { { "topic", topicName(m_settings.topic) }, { "failures", m_failures } });
    m_failures = 0;
    // An answer that comes late tells nothing new, and its records may be older than what was learned elsewhere.
    const uint64_t known = m_offset.value_or(0);
    if (m_offset && !wasNewest && read->nextOffset <= known)
        read->records.clear();
    m_offset = std::max(known, read->nextOffset);
    m_hadNews = !wasNewest && !read->records.empty();
    // A read that was held to its end without news shows that there were none when it ended, which the store counts from the
    // question's arrival.
    const bool held = read->records.empty() && hold > Duration::zero() && MonotonicClock::now() - asked >= hold;
    m_onRead({ read->records, known, read->nextOffset, wasNewest }, held ? asked + hold : asked);
    // A store that does not hold the read must not be asked without end.
    const auto pause = wasNewest ? m_settings.pauseAfterNewest : m_settings.pause;
    scheduleNext(held ? Duration::zero() : std::max<Duration>(pause, shortestPause));
}

void StoreFollower::scheduleNext(Duration delay)
{
    if (!m_paused)
        m_timer.startOnce(delay, [this] { readNext(); });
}

} // namespace shallot
