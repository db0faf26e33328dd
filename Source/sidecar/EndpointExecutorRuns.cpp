// Index of this file
//   Runs:      run, send, onResponse, finish, refuse, cancel, onDeadline
//   Headers:   recordStateHeaders, recordRateLimit, recordLoad, announceLimitRise
//   Crashes:   recordUnanswered, recordAnswered, recordCrash, suspectCrash, probeSuspectedCrash, onSuspicionProbe, concludeCrash,
//             endSuspicion

#include "core/Digest.h"
#include "core/EventLog.h"
#include "mesh/MeshSettings.h"
#include "platform/RequestCodec.h"
#include "sidecar/EndpointExecutor.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto responseGrace = 20ms; // The backend server stops at the deadline by itself; its response gets this much longer
constexpr auto deliveryMargin = 2s;  // After a request's deadline, for one that was sent again and is delivered late
constexpr size_t maximumUnansweredRuns = 1024; // Several times the slots of the largest backend server
constexpr auto suspicionProbeTimeout = 200ms;  // Of a probe after a suspected crash; tens of times the usual response time
constexpr double limitRiseFactor = 2;          // A smaller rise of a limit reaches the senders with the next responses
constexpr auto limitNoticeInterval = 500ms;    // Between two notices of a limit that has ended or risen
constexpr size_t maximumLoggedAttempts = 8;    // Of the runs that a crash interrupted

} // namespace

// Runs

void EndpointExecutor::run(LiveRun& live, TimePoint now)
{
    const RefPtr<LiveRun> protect(&live);
    live.running = true;
    live.started = now;
    if (!m_crashSuspects.isEmpty())
        live.knownCrashes = m_crashSuspects.crashesOf(fingerprintOf(live), WallClock::now());
    m_queue.recordStart(now);
    if (live.call.repeat)
        m_retryBudget.recordRepeat(now);
    m_deadlines.set(live.item.id, live.deadline + responseGrace);
    m_running[live.attemptID] = live.item.id;
    m_loadShedder.recordStart(live.call.context.route, live.call.context.priority);
    platform::addDeliveryHeaders(live.call.request, live.deadline - now, m_life.current().instance);
    if (live.mayResend) {
        send(live, Duration::max());
        return;
    }
    // Only the connection keeps the body.
    if (!live.call.request.body.empty())
        fingerprintOf(live);
    send(live, m_settings.maximumIdleForNonIdempotent);
    live.call.request.body = {};
}

void EndpointExecutor::send(LiveRun& live, Duration maximumIdle)
{
    const auto id = live.item.id;
    m_pool.send(id, live.call.request, [this, id](Result<HTTPResponse> response) { onResponse(id, std::move(response)); },
        { .matcher =
                [attemptID = live.attemptID](const HTTPResponse& response, bool onReusedConnection) {
                    const auto echoed = platform::attemptIDOf(response.headers);
                    if (echoed == attemptID)
                        return HTTPConnection::ResponseMatch::Matched;
                    if (!echoed.empty())
                        return HTTPConnection::ResponseMatch::Mismatched;
                    return onReusedConnection ? HTTPConnection::ResponseMatch::Unknown : HTTPConnection::ResponseMatch::Matched;
                },
            .maximumIdle = maximumIdle,
            .requestID = live.attemptID,
            .mayBeSentAgainUntil = live.deadline + deliveryMargin });
}

void EndpointExecutor::onResponse(uint64_t id, Result<HTTPResponse> response)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto live = found->second;
    const auto now = MonotonicClock::now();
    if (!response) {
        const bool wasStale = response.error().kind == ErrorKind::BackendFailed && response.error().onReusedConnection
            && now - live->started < m_settings.staleConnectionWindow;
        if (wasStale && live->mayResend && !live->resent && m_retryBudget.available(now) >= 1) {
            live->resent = true;
            live->call.repeat = true; // The first sending may have run, and its nested calls are made again
            recordUnanswered(*live, now);
            m_retryBudget.recordRepeat(now);
            send(*live, Duration::zero());
            return;
        }
        if (response.error().kind == ErrorKind::BackendFailed) {
            recordUnanswered(*live, now);
            suspectCrash(now);
        }
        if (response.error().kind == ErrorKind::BackendRefused)
            suspectCrash(now); // It has too many connections, or nothing but its kernel is there
        if (response.error().kind == ErrorKind::NoBackendServer)
            concludeCrash("refuses connections", now);
        const bool isOwnShortage = response.error().kind == ErrorKind::Overloaded && !live->resent;
        if (isOwnShortage)
            response.error().retryAfter = m_queue.retryAfter(live->item.priority, now);
        finish(*live, std::move(response), !isOwnShortage, now);
        return;
    }
    const auto responseClass = platform::classifyResponse(*response);
    endSuspicion(now);
    if (responseClass == platform::ResponseClass::Valid || responseClass == platform::ResponseClass::NotExecuted)
        recordStateHeaders(*response, live->started, now);
    switch (responseClass) {
    case platform::ResponseClass::Valid:
        m_life.recordResponse(now);
        recordAnswered(*live, response->status);
        m_queue.recordServiceTime(now - live->started, now);
        platform::removeInternalHeaders(*response);
        finish(*live, std::move(response), true, now);
        break;
    case platform::ResponseClass::NotExecuted:
        finish(*live, fail(ErrorKind::BackendRefused, "refused with status " + std::to_string(response->status)), true, now);
        break;
    case platform::ResponseClass::WrongInstance:
        m_life.recordUnreachable();
        updateAvailability();
        finish(*live, fail(ErrorKind::BackendRefused, "another instance uses the address"), true, now);
        break;
    case platform::ResponseClass::Invalid:
        finish(*live, fail(ErrorKind::BadResponse, "invalid response: no seal, an encoded body or an interim status"), true, now);
        break;
    }
}

// What the backend server says of itself in each response.
void EndpointExecutor::recordStateHeaders(const HTTPResponse& response, TimePoint sentAt, TimePoint now)
{
    recordRateLimit(response, sentAt, now);
    recordLoad(response, now);
    if (!platform::isLeaving(response) || !currentLeave().instance.empty())
        return;
    recordLeave(m_life.current().instance, m_life.current().startedAt);
    if (m_onLeave)
        m_onLeave();
}

void EndpointExecutor::recordLoad(const HTTPResponse& response, TimePoint now)
{
    const auto header = platform::loadOf(response);
    if (header.load)
        m_reportedLoad.record(header.load->workTimePercent, now);
    else if (header.isMalformed && m_reportedLoad.recordMalformed(now))
        EventLog::write("load-header-malformed",
            { { "backend_server", m_life.current().instance }, { "malformed_so_far", m_reportedLoad.malformedHeaders() },
                { "pace_kept", m_reportedLoad.pace() } });
}

// Responses may overtake each other: one to a request sent before the limit was named does not end it.
void EndpointExecutor::recordRateLimit(const HTTPResponse& response, TimePoint sentAt, TimePoint now)
{
    const auto named = platform::rateLimitOf(response);
    if (named)
        m_rateLimitNamedAt = now;
    else if (sentAt <= m_rateLimitNamedAt)
        return;
    const auto previous = std::exchange(m_rateLimit, named);
    if (previous == m_rateLimit)
        return;
    updateWarmUp(now);
    EventLog::write("backend-server-limit",
        { { "backend_server", m_life.current().instance }, { "named", m_rateLimit.has_value() },
            { "per_second", m_rateLimit.value_or(0) }, { "previous", previous.value_or(0) } });
    if (m_rateLimit)
        m_leastRateLimit = std::min(*m_rateLimit, m_leastRateLimit.value_or(*m_rateLimit));
    const bool rises = m_leastRateLimit && (!m_rateLimit || *m_rateLimit >= limitRiseFactor * *m_leastRateLimit);
    if (rises && !std::exchange(m_limitNoticePending, true) && !m_limitNoticeWaits)
        announceLimitRise();
}

// Senders that hold an outdated limit avoid the backend server and would not find out. A limit that goes up and down costs one
// notice an interval.
void EndpointExecutor::announceLimitRise()
{
    m_limitNoticeWaits = std::exchange(m_limitNoticePending, false);
    if (!m_limitNoticeWaits)
        return;
    m_leastRateLimit = m_rateLimit;
    m_limitNoticeTimer.startOnce(limitNoticeInterval, [this] { announceLimitRise(); });
    if (m_onLimitRise)
        m_onLimitRise();
}

void EndpointExecutor::refuse(LiveRun& live, ErrorKind kind, TimePoint now)
{
    Error error { kind, m_evacuated ? "the zone is evacuated" : "", {} };
    if (kind == ErrorKind::Overloaded || kind == ErrorKind::ExpiredInQueue)
        error.retryAfter = m_queue.retryAfter(live.item.priority, now);
    finish(live, tl::unexpected(std::move(error)), false, now);
}

void EndpointExecutor::finish(LiveRun& live, Result<HTTPResponse> response, bool reachedBackend, TimePoint now)
{
    const RefPtr<LiveRun> protect(&live);
    // The first sending may have begun, whatever became of the second one.
    if (live.resent && !response && isNotExecuted(response.error()))
        response = fail(ErrorKind::BackendFailed, "sent twice; " + response.error().detail);
    m_queue.remove(live.item);
    m_calls.erase(live.item.id);
    m_deadlines.remove(live.item.id);
    if (std::exchange(live.isolated, false))
        --m_isolatedCalls;
    m_heldBodyBytes -= std::exchange(live.heldBodyBytes, 0);
    const auto& context = live.call.context;
    if (!response && live.completion) {
        EventLog::write("run-failed",
            { { "request", live.attemptID }, { "route", context.route }, { "priority", context.priority },
                { "reason", errorInfo(response.error().kind).name }, { "detail", response.error().detail },
                { "arrived", reachedBackend }, { "backend_server", m_life.current().instance }, { "running", m_queue.running() },
                { "queued", m_queue.queued() }, { "limit", m_queue.limit() },
                { "service_time_ms", toSeconds(m_queue.serviceTime()) * 1000 },
                { "pressure_ms", toSeconds(m_loadShedder.pressure(context.route, context.priority, now)) * 1000 },
                { "held_ms", toSeconds(now - live.submitted) * 1000 },
                { "announced_s", toSeconds(now - m_life.lastContact()) } });
    }
    if (std::exchange(live.running, false)) {
        m_queue.recordEnd();
        m_running.erase(live.attemptID);
        m_loadShedder.recordEnd(context.route, context.priority);
    }
    if (const auto completion = std::exchange(live.completion, nullptr)) {
        auto ownReport = report(now);
        ownReport.pressure
            = std::max(m_queue.pressure(context.priority, now), m_loadShedder.pressure(context.route, context.priority, now));
        completion({ std::move(response), ownReport, reachedBackend, live.nestedCallFailed });
    }
    runNext(now);
}

void EndpointExecutor::cancel(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto live = found->second;
    const auto now = MonotonicClock::now();
    live->completion = nullptr;
    if (live->running) {
        recordUnanswered(*live, now);
        m_pool.abandon(id);
    }
    finish(*live, fail(ErrorKind::Cancelled), true, now);
}

bool EndpointExecutor::isRunning(uint64_t id) const
{
    const auto found = m_calls.find(id);
    return found != m_calls.end() && found->second->running;
}

bool EndpointExecutor::runsOnlyOnce(uint64_t id) const
{
    return isRunning(id) && !m_calls.at(id)->call.context.idempotent;
}

void EndpointExecutor::endAll(TimePoint now)
{
    m_lastStart = std::min(m_lastStart, now);
    m_takesRunsUntil = std::min(m_takesRunsUntil, now);
    std::vector<RefPtr<LiveRun>> open;
    for (const auto& [id, live] : m_calls)
        open.push_back(live);
    for (const auto& live : open) {
        if (!live->running) {
            refuse(*live, ErrorKind::Draining, now);
            continue;
        }
        m_pool.abandon(live->item.id);
        finish(*live, fail(ErrorKind::BackendFailed, "the shutdown time of this daemon is over"), true, now);
    }
}

void EndpointExecutor::onDeadline(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto live = found->second;
    const auto now = MonotonicClock::now();
    if (!live->running) {
        refuse(*live, now >= m_lastStart ? ErrorKind::Draining : ErrorKind::ExpiredInQueue, now);
        return;
    }
    recordUnanswered(*live, now);
    m_pool.abandon(id);
    finish(*live, fail(ErrorKind::TimedOut, "the backend server did not respond by the deadline"), true, now);
}

// Crashes

void EndpointExecutor::recordUnanswered(LiveRun& live, TimePoint now)
{
    if (m_unanswered.size() >= maximumUnansweredRuns)
        m_unanswered.erase(m_unanswered.begin());
    const auto fingerprint = fingerprintOf(live);
    m_unanswered.push_back({ { fingerprint, live.knownCrashes, 0 }, live.attemptID, now, m_answered.contains(fingerprint, now) });
}

// A run that started later and was answered shows that the earlier ones did not crash the backend server.
void EndpointExecutor::recordAnswered(LiveRun& live, uint16_t status)
{
    std::erase_if(
        m_unanswered, [&live](const auto& run) { return run.endedAt < live.started || run.attemptID == live.attemptID; });
    // An answer with a server error may have been made without running the request.
    if (status >= 500)
        return;
    m_answered.record(fingerprintOf(live), MonotonicClock::now());
    if (m_crashSuspects.isEmpty() || !m_crashSuspects.recordAnswer(fingerprintOf(live), WallClock::now()))
        return;
    EventLog::write("crash-suspect-cleared", { { "request", live.attemptID }, { "route", live.call.context.route } });
    if (m_onSuspectsChange)
        m_onSuspectsChange();
}

void EndpointExecutor::recordCrash(const std::string& instance, const char* evidence)
{
    const auto runs = std::exchange(m_unanswered, {});
    std::vector<CrashSuspects::InterruptedRun> interrupted;
    uint32_t knownCrashes = 0;
    // A backend server may start again under its name.
    const auto crashID = stableHash(instance + '\n' + std::to_string(WallClock::milliseconds()));
    for (const auto& ended : runs) {
        interrupted.push_back(ended.run);
        interrupted.back().crashID = ended.answeredBefore ? 0 : crashID;
        knownCrashes = std::max(knownCrashes, ended.run.knownCrashes);
    }
    std::string attempts;
    for (size_t i = 0; i < std::min(runs.size(), maximumLoggedAttempts); ++i)
        attempts += (i ? " " : "") + runs[i].attemptID;
    EventLog::write("backend-server-crashed",
        { { "backend_server", instance }, { "evidence", evidence }, { "runs", runs.size() }, { "requests", attempts },
            { "crashes_before", knownCrashes } });
    m_crashSuspects.recordCrash(interrupted, WallClock::now());
    if (m_onSuspectsChange)
        m_onSuspectsChange();
}

// A crash breaks all connections, and so do a faulty response and a connection that was idle for too long. Which one it was is
// found out on a new connection; until then requests wait, since those sent to a crashed backend server would be lost.
void EndpointExecutor::suspectCrash(TimePoint now)
{
    if (m_crashSuspected || !m_life.isAvailable(now))
        return;
    m_crashSuspected = true;
    m_failedProbes = 0;
    m_queue.setPaused(true);
    m_suspicionTimer.startOnce(m_settings.crashProbeDelay, [this] { probeSuspectedCrash(); });
}

void EndpointExecutor::probeSuspectedCrash()
{
    const auto path = m_healthPaths.find(m_life.service());
    if (path == m_healthPaths.end()) {
        endSuspicion(MonotonicClock::now());
        return;
    }
    m_suspicionProbeID = m_nextID++;
    m_suspicionProbeSentAt = MonotonicClock::now();
    m_suspicionTimer.startOnce(suspicionProbeTimeout, [this] {
        m_probePool.abandon(m_suspicionProbeID);
        onSuspicionProbe(fail(ErrorKind::TimedOut, "no answer"));
    });
    m_probePool.send(m_suspicionProbeID, { "GET", path->second, { { "Host", m_host } }, {} },
        [this](const Result<HTTPResponse>& response) { onSuspicionProbe(response); }, { .maximumIdle = Duration::zero() });
}

void EndpointExecutor::onSuspicionProbe(const Result<HTTPResponse>& response)
{
    const auto now = MonotonicClock::now();
    m_suspicionTimer.stop();
    if (!m_crashSuspected)
        return;
    if (response) {
        const auto instance = platform::instanceOf(*response);
        if (instance == m_life.current().instance)
            recordColdTime(*response, m_suspicionProbeSentAt, now);
        if (instance.empty() || instance == m_life.current().instance)
            endSuspicion(now);
        else
            concludeCrash("another instance answers", now);
        return;
    }
    if (response.error().kind == ErrorKind::NoBackendServer) {
        concludeCrash("refuses connections", now);
        return;
    }
    // A backend server that is slow or frozen is silent, too, so silence is no evidence; nor is an own lack of sockets.
    if (response.error().kind == ErrorKind::TimedOut || response.error().kind == ErrorKind::Overloaded) {
        endSuspicion(now);
        return;
    }
    // A crash ends all connections; a backend server with too many of them refuses new ones.
    if (m_pool.openConnections()) {
        endSuspicion(now);
        return;
    }
    if (++m_failedProbes >= m_settings.crashProbes)
        concludeCrash("closes connections", now);
    else
        m_suspicionTimer.startOnce(m_settings.crashProbeDelay, [this] { probeSuspectedCrash(); });
}

// The backend server is unavailable until its next announcement. After a leave, its end is no crash.
void EndpointExecutor::concludeCrash(const char* evidence, TimePoint now)
{
    const bool isNews = !m_life.isUnreachable() && currentLeave().instance.empty();
    m_life.recordUnreachable();
    if (isNews)
        recordCrash(m_life.current().instance, evidence);
    updateAvailability();
    endSuspicion(now);
}

void EndpointExecutor::endSuspicion(TimePoint now)
{
    if (!std::exchange(m_crashSuspected, false))
        return;
    m_suspicionTimer.stop();
    m_probePool.abandon(m_suspicionProbeID);
    m_queue.setPaused(false);
    runNext(now);
}

} // namespace shallot
