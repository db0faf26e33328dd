// Index of this file
//   Announcements:  recordAnnouncement, onNewRun, recordLeave, verifyInstance, onProbe, isAvailable, startLeaving, tick
//   Admission:      submit, checkAdmission, checkCrashSuspicion, checkRetryBudget, reserveBodyBytes, runNext
//   Nested calls:   findParent, recordPressure, recordFailedNestedCall
// The runs at the backend server are in EndpointExecutorRuns.cpp, its warm-up is in EndpointExecutorWarmUp.cpp.

#include "sidecar/EndpointExecutor.h"

#include "core/EventLog.h"
#include "mesh/MeshSettings.h"
#include "platform/RequestCodec.h"
#include "policy/CrashFingerprints.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto inheritedDeadlineTolerance = 3ms; // Deadlines are transmitted in whole milliseconds
constexpr auto probeTimeout = 1s;                // Of a health probe, which usually takes a few milliseconds
constexpr size_t minimumKnownRuns = 20;          // For a usual time
constexpr double usualShareOfRuns = 0.95;        // That end within the usual time
constexpr auto probeInterval = 250ms;            // Until a probe that came too early for an announcement is repeated

// Connections that were opened earlier lead to former runs. One that has kept their name may serve requests before it announces
// itself; one with another name refuses them. A start that is not in the past says nothing.
TimePoint firstConnectionOf(const EndpointAnnouncement& run, const std::string& former, TimePoint now)
{
    const auto wallClock = WallClock::milliseconds();
    if (run.instance != former || !run.startedAt || run.startedAt > wallClock)
        return TimePoint::max();
    return now - std::chrono::milliseconds(wallClock - run.startedAt);
}

} // namespace

EndpointExecutor::EndpointExecutor(
    const MeshSettings& settings, const SocketAddress& backendServer, const std::string& service, CrashSuspects& crashSuspects)
    : m_settings(settings)
    , m_crashSuspects(crashSuspects)
    , m_host(backendServer.toString())
    , m_life(settings, service)
    , m_queue(settings)
    , m_warmUp(settings)
    , m_loadShedder(settings)
    , m_retryBudget(settings.retryShare * settings.retryFractionAtBackend)
    , m_deadlines([this](uint64_t id) { onDeadline(id); })
    , m_formerService(service)
{
    m_pool.setAddress(backendServer);
    m_pool.setAcceptsCloseDelimited(true);
    m_pool.setMaximumBufferedBytes(settings.maximumReceivedResponseBytes);
    m_probePool.setAddress(backendServer);
}

// Announcements

void EndpointExecutor::recordAnnouncement(const EndpointAnnouncement& announcement, TimePoint now)
{
    const auto former = m_life.current().instance;
    const bool mayHaveCrashed = m_life.isAnnounced() && currentLeave().instance.empty();
    const auto verdict = m_life.recordAnnouncement(announcement, now);
    switch (verdict) {
    case AnnouncementVerdict::Stale:
        EventLog::write("announcement-stale",
            { { "backend_server", announcement.instance }, { "sequence", announcement.sequence }, { "current", former } });
        return;
    case AnnouncementVerdict::Unconfirmed:
        EventLog::write("announcement-unconfirmed",
            { { "backend_server", announcement.instance }, { "service", announcement.service }, { "current", former } });
        verifyInstance();
        return;
    case AnnouncementVerdict::NewRun:
        onNewRun(former, mayHaveCrashed, now);
        break;
    case AnnouncementVerdict::Renewed:
        m_queue.setSlots(announcement.slots);
        break;
    }
    recordColdAnnouncement(now);
    if (m_life.needsProbe())
        verifyInstance();
    updateAvailability();
    runNext(now);
}

void EndpointExecutor::onNewRun(const std::string& former, bool mayHaveCrashed, TimePoint now)
{
    const auto& current = m_life.current();
    m_queue.setSlots(current.slots);
    m_rateLimit.reset();
    m_reportedLoad.reset();
    m_warmUp.reset();
    recordColdAnnouncement(now);
    EventLog::write("instance-new",
        { { "backend_server", current.instance }, { "service", current.service }, { "slots", current.slots },
            { "replaces", former } });
    // Each run that ends here makes room for a queued call, which must be checked against the new backend server.
    m_pool.reset(firstConnectionOf(current, former, now));
    if (mayHaveCrashed)
        recordCrash(former, "replaced");
    endSuspicion(now);
}

void EndpointExecutor::recordLeave(const std::string& instance, uint64_t startedAt)
{
    const bool isNews = m_life.recordLeave(instance, startedAt, WallClock::milliseconds());
    EventLog::write(isNews ? "instance-leaves" : "leave-stale",
        { { "backend_server", instance }, { "started_at_ms", startedAt }, { "current", m_life.current().instance },
            { "current_started_at_ms", m_life.current().startedAt } });
    updateAvailability();
}

void EndpointExecutor::setFormerLeave(const EndpointLeave& leave)
{
    m_life.setFormerLeave(leave);
    updateAvailability();
}

void EndpointExecutor::setHealthPaths(std::map<std::string, std::string> paths)
{
    m_healthPaths = std::move(paths);
    if (m_life.needsProbe())
        verifyInstance();
}

// Asks the backend server for its name: after a start of this daemon, since the backend server may have been running for long and
// the first announcement received may be stale, and when another run is announced beside the one in use.
void EndpointExecutor::verifyInstance()
{
    const auto path = m_healthPaths.find(m_life.probedService());
    if (m_probing || path == m_healthPaths.end())
        return;
    m_probing = true;
    m_probeSentAt = MonotonicClock::now();
    m_probeID = m_nextID++;
    m_probeTimer.startOnce(probeTimeout, [this] {
        m_probePool.abandon(m_probeID);
        onProbe(fail(ErrorKind::TimedOut, "no answer"));
    });
    m_probePool.send(m_probeID, { "GET", path->second, { { "Host", m_host } }, {} },
        [this](const Result<HTTPResponse>& response) { onProbe(response); });
}

void EndpointExecutor::onProbe(const Result<HTTPResponse>& response)
{
    const auto now = MonotonicClock::now();
    m_probing = false;
    m_probeTimer.stop();
    const bool healthy = response && response->status == 200;
    const std::string instance(healthy ? platform::instanceOf(*response) : "");
    const auto slots = healthy ? platform::loadOf(*response).load.value_or(platform::EndpointLoad {}).slots : 0;
    const auto former = m_life.current().instance;
    const bool wasAnnounced = m_life.isAnnounced();
    const bool mayHaveCrashed = wasAnnounced && currentLeave().instance.empty();
    if (m_life.recordProbe(instance, slots, m_probeSentAt, now)) {
        onNewRun(former, mayHaveCrashed, now);
        // It may have announced its leave before it was confirmed.
        if (!currentLeave().instance.empty() && m_onLeave)
            m_onLeave();
    } else if (!wasAnnounced && m_life.isAnnounced()) {
        m_queue.setSlots(m_life.current().slots);
    }
    if (healthy && instance == m_life.current().instance) {
        recordStateHeaders(*response, m_probeSentAt, now);
        recordColdTime(*response, m_probeSentAt, now);
    }
    EventLog::write("instance-probed",
        { { "backend_server", instance }, { "verified", m_life.isVerified() },
            { "reason", response ? std::to_string(response->status) : response.error().detail } });
    updateAvailability();
    runNext(now);
    // The candidate announced itself after this probe was sent.
    if (healthy && m_life.isVerified() && m_life.needsProbe())
        m_probeTimer.startOnce(probeInterval, [this] { verifyInstance(); });
}

bool EndpointExecutor::isAvailable(TimePoint now) const
{
    return m_life.isAvailable(now) && takesRuns(now) && !m_evacuated;
}

void EndpointExecutor::tick()
{
    updateAvailability();
    checkSilence(MonotonicClock::now());
}

EndpointReport EndpointExecutor::report(TimePoint now) const
{
    auto report = m_queue.report(isAvailable(now), now);
    report.leaving = m_leaving;
    report.pace = m_reportedLoad.pace();
    report.paceAge = m_reportedLoad.paceAge(now);
    report.keepsRetryBudget = m_keepsRetryBudget;
    if (m_leaving && report.available)
        report.takesRunsFor = m_takesRunsUntil - now;
    return report;
}

bool EndpointExecutor::updateAvailability()
{
    const bool available = isAvailable(MonotonicClock::now());
    if (available == m_wasAvailable && service() == m_formerService)
        return false;
    m_wasAvailable = available;
    m_formerService = service();
    const auto& current = m_life.current();
    EventLog::write("instance-availability",
        { { "backend_server", current.instance }, { "service", service() }, { "available", available },
            { "draining", current.draining }, { "left", m_life.hasLeft() },
            { "left_before_restart", m_life.formerLeave().instance }, { "unreachable", m_life.isUnreachable() },
            { "verified", m_life.isVerified() }, { "evacuated", m_evacuated } });
    if (m_onChange)
        m_onChange();
    return true;
}

std::optional<Duration> EndpointExecutor::usualRunTime(TimePoint now) const
{
    const auto& ended = m_queue.runTimes();
    if (ended.count() < minimumKnownRuns)
        return std::nullopt;
    auto time = *ended.quantile(usualShareOfRuns);
    for (const auto& [attempt, id] : m_running)
        time = std::max(time, now - m_calls.at(id)->started);
    return time;
}

void EndpointExecutor::startLeaving(TimePoint now, TimePoint takesRunsUntil, TimePoint endBy)
{
    m_leaving = true;
    m_takesRunsUntil = std::min(m_takesRunsUntil, takesRunsUntil);
    m_lastStart = std::min(m_lastStart, std::max(now + (endBy - now) / 2, m_takesRunsUntil));
    for (const auto& [id, live] : m_calls) {
        if (live->running)
            continue;
        live->item.deadline = std::min(live->item.deadline, m_lastStart);
        m_deadlines.set(id, live->item.deadline);
    }
    // Members must learn of the leave even if no backend server was available.
    if (!updateAvailability() && m_onChange)
        m_onChange();
}

// Admission

ErrorKind EndpointExecutor::checkAdmission(LiveRun& live, TimePoint now)
{
    const auto& call = live.call;
    if (!m_life.isAnnounced() || call.service != m_life.current().service)
        return ErrorKind::NoBackendServer;
    if (m_evacuated)
        return ErrorKind::NoBackendServer;
    const bool mayStart = live.queued ? now < m_lastStart : takesRuns(now);
    if (!m_life.isAvailable(now) || !mayStart)
        return ErrorKind::Draining;
    if (call.context.remaining <= Duration::zero())
        return ErrorKind::ExpiredInQueue;
    return checkCrashSuspicion(live);
}

ErrorKind EndpointExecutor::checkCrashSuspicion(LiveRun& live)
{
    if (m_crashSuspects.isEmpty())
        return ErrorKind::None;
    const auto now = WallClock::now();
    const auto fingerprint = fingerprintOf(live);
    if (m_crashSuspects.isRefused(fingerprint, now))
        return ErrorKind::CrashSuspect;
    // With two of them at one backend server, its crash would not show which one is the culprit.
    if (!live.isolated && m_crashSuspects.isIsolated(fingerprint, now)) {
        if (m_isolatedCalls)
            return ErrorKind::Overloaded;
        live.isolated = true;
        ++m_isolatedCalls;
    }
    return ErrorKind::None;
}

ErrorKind EndpointExecutor::checkRetryBudget(const LiveRun& live, TimePoint now)
{
    if (!live.call.repeat || !m_keepsRetryBudget || m_retryLevel.admit(live.score, m_retryBudget.available(now), now))
        return ErrorKind::None;
    return ErrorKind::RetryBudgetExhausted;
}

// The backend server may read a body as slowly as it likes. A request that may be sent again is held twice.
ErrorKind EndpointExecutor::reserveBodyBytes(LiveRun& live)
{
    const auto bodyBytes = live.call.request.body.size();
    live.mayResend = live.call.context.idempotent && bodyBytes <= m_settings.maximumResentBodyBytes;
    const auto bytes = live.mayResend ? 2 * bodyBytes : bodyBytes;
    if (bytes && m_heldBodyBytes + bytes > m_settings.maximumHeldBodyBytes)
        return ErrorKind::Overloaded;
    live.heldBodyBytes = bytes;
    m_heldBodyBytes += bytes;
    return ErrorKind::None;
}

uint64_t EndpointExecutor::fingerprintOf(LiveRun& live) const
{
    const auto& request = live.call.request;
    if (!live.fingerprint)
        live.fingerprint = requestFingerprint(live.call.context.organisation, request.method, request.target, request.body);
    return live.fingerprint;
}

uint64_t EndpointExecutor::submit(MeshCall call, TimePoint now, MeshCompletion completion)
{
    auto live = makeRef<LiveRun>();
    live->item.id = m_nextID++;
    live->item.priority = call.context.priority;
    live->item.organisation = call.context.organisation;
    live->deadline = now + call.context.remaining;
    live->submitted = now;
    live->attemptID = platform::attemptIDOf(call.request.headers);
    live->call = std::move(call);
    live->completion = std::move(completion);
    const auto id = live->item.id;
    m_calls[id] = live;
    if (const auto refusal = checkAdmission(*live, now); refusal != ErrorKind::None) {
        refuse(*live, refusal, now);
        return id;
    }
    if (const auto refusal = reserveBodyBytes(*live); refusal != ErrorKind::None) {
        refuse(*live, refusal, now);
        return id;
    }
    const auto& context = live->call.context;
    live->score = callGraphScore(context.priority, live->attemptID);
    if (live->call.firstSending)
        m_retryBudget.recordRequest(now);
    if (const auto refusal = checkRetryBudget(*live, now); refusal != ErrorKind::None) {
        refuse(*live, refusal, now);
        return id;
    }
    if (!isNestedCallPriority(context.priority)
        && !m_loadShedder.admits(context.route, context.priority, live->call.scheduledRetry, now)) {
        refuse(*live, ErrorKind::Overloaded, now);
        return id;
    }
    const auto service = m_queue.serviceTime();
    const auto target = live->call.targetLatency > Duration::zero() ? live->call.targetLatency : live->call.context.remaining;
    const auto latestStart = m_leaving ? m_takesRunsUntil : TimePoint::max();
    const auto maximumWait = std::min({ target - service, live->call.context.remaining - service, latestStart - now });
    live->item.deadline = std::min(now + std::max(Duration::zero(), live->call.context.remaining - service), m_lastStart);
    switch (m_queue.decide(live->item.priority, maximumWait, now)) {
    case QueueDecision::Run:
        run(*live, now);
        break;
    case QueueDecision::Wait:
        live->queued = true;
        m_queue.push(live->item);
        m_deadlines.set(id, live->item.deadline);
        runNext(now);
        break;
    case QueueDecision::Refuse:
        refuse(*live, ErrorKind::Overloaded, now);
        break;
    }
    return id;
}

void EndpointExecutor::runNext(TimePoint now)
{
    // A refusal calls back; a loop instead of recursion keeps the stack small however long the queue is.
    if (std::exchange(m_emptyingQueue, true))
        return;
    while (auto* item = m_queue.popIfFree(now)) {
        const auto live = m_calls.at(item->id);
        // The backend server may have changed since the call was queued; even its service may be another one.
        auto refusal = checkAdmission(*live, now);
        if (refusal == ErrorKind::None && item->deadline <= now)
            refusal = ErrorKind::ExpiredInQueue;
        if (refusal == ErrorKind::None && live->call.repeat && m_keepsRetryBudget && m_retryBudget.available(now) < 1)
            refusal = ErrorKind::RetryBudgetExhausted;
        if (refusal != ErrorKind::None)
            refuse(*live, refusal, now);
        else
            run(*live, now);
    }
    m_emptyingQueue = false;
    if (const auto wait = m_queue.nextStartIn(now); wait > Duration::zero() && m_queue.queued())
        m_rateTimer.startOnce(wait, [this] { runNext(MonotonicClock::now()); });
}

// A nested call is matched by its attempt id if that is the attempt id of a running request plus a suffix after a dot, otherwise
// by the deadline that it inherited.
std::optional<ParentRun> EndpointExecutor::findParent(std::string_view attemptID, Duration remaining, TimePoint now) const
{
    const auto toParent = [this](uint64_t id) {
        const auto& context = m_calls.at(id)->call.context;
        const auto& call = m_calls.at(id)->call;
        return ParentRun { id, context.route, context.priority, context.hops, call.repeat, call.rootOrganisation };
    };
    if (const auto dot = attemptID.rfind('.'); dot != std::string_view::npos) {
        if (const auto found = m_running.find(std::string(attemptID.substr(0, dot))); found != m_running.end())
            return toParent(found->second);
    }
    for (const auto& [name, id] : m_running) {
        const auto difference = m_calls.at(id)->deadline - (now + remaining);
        if (difference > -inheritedDeadlineTolerance && difference < inheritedDeadlineTolerance)
            return toParent(id);
    }
    return std::nullopt;
}

void EndpointExecutor::recordPressure(const ParentRun& parent, Duration wait, TimePoint now)
{
    m_loadShedder.recordPressure(parent.route, parent.priority, wait, now);
}

void EndpointExecutor::recordFailedNestedCall(const ParentRun& parent)
{
    if (const auto found = m_calls.find(parent.id); found != m_calls.end())
        found->second->nestedCallFailed = true;
}

} // namespace shallot
