// Index of this file
//   Start and leave:  Sidecar, start, leave, startLeavingBackendServer, waitsForPeers, isIdle, scheduleEnd,
//                    stopAcceptingWhenDue, endRequests, finishLeaving, endWhenConnectionsHaveClosed, applySettings
//   Local servers:    handleControl, acknowledge, checkAnnouncement, handleReadiness, isReady
//   Peers:            onFrame, onLinkClosed, transitDelay, serveCall, answerCall, cancelCall, onCallQuery, cancelAbandonedCalls,
//                    scheduleAbandonment, onGoAway
//   Changes:          onBackendServerChange, onConfiguration, updateRetryAllowance
//   Time:             tick

#include "sidecar/Sidecar.h"

#include "core/EventLog.h"
#include "core/Heap.h"
#include "core/RequestID.h"
#include "core/Version.h"
#include "daemon/CallFrames.h"
#include "mesh/LeaveSchedule.h"
#include "platform/AnnouncementCodec.h"
#include "platform/RequestCodec.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto tickInterval = 250ms;  // Monitors links, sends ledger heartbeats; equals MeshSettings::ledgerHeartbeatInterval
constexpr uint64_t ticksPerFlush = 2; // Flushes the event log every half second
constexpr size_t probesPerTick = 4;   // Of members that may be gone: 16 a second at most
constexpr auto readinessPropagation = 2600ms;     // Two readiness probes, one per second, plus network latency
constexpr auto leaveCheckInterval = 100ms;        // At most
constexpr auto leaveChecksInMargin = 4;           // At least
constexpr Duration maximumShutdownMargin = 700ms; // Reserved at the end of the shutdown time for sending the last responses
constexpr Duration minimumShutdownMargin = 250ms; // Enough for the last responses when the moment of the signal is not known
constexpr auto shutdownMarginDivisor = 6;         // Of the shutdown time, at most: runs are not broken off before the last sixth
constexpr auto lastOutcomesDivisor = 6;           // Of the margin, for the outcomes of calls that have the end as their deadline
constexpr auto lastResponsesDivisor = 3;          // Of the margin, for the responses to the requests that are still open
constexpr auto stallThreshold = 350ms;            // Between two checks; several of their intervals
constexpr auto tickStallThreshold = tickInterval + 100ms;
constexpr auto closeTime = 100ms; // Of the margin, until all links and connections have closed; several round trips between zones
constexpr auto closeCheckInterval = 5ms;
constexpr auto peersReadTime = 1s; // For peers that stand still, when nothing is in progress; one that is cut off costs as much
constexpr auto transitTimeLifetime = 60s;           // Of what is known of a process that sends no calls
constexpr size_t maximumLocalBodyBytes = 64 * 1024; // Of announcements; parsed, a body takes up to a hundred times as much
constexpr auto callResponseTime = 50ms;             // From the deadline of a call until its response has been sent

} // namespace

Sidecar::Sidecar(platform::InstanceSettings instance, const MeshSettings& settings, std::string peerSecret)
    : m_settings(settings)
    , m_instance(std::move(instance))
    , m_own { m_instance.instance, m_instance.zone, m_instance.peers.toString(), m_instance.service }
    , m_boot(makeRandomRequestID().low)
    , m_view(settings, m_instance.zone)
    , m_links({ m_own.name, m_own.zone, std::move(peerSecret), m_boot }, m_own,
          { [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); }, [this](PeerLink& link) { onLinkClosed(link); },
              [this](const std::string& address, TimePoint since) {
                  const auto now = MonotonicClock::now();
                  EventLog::write("member-unreachable", { { "address", address }, { "silent_s", toSeconds(now - since) } });
                  m_view.endpoints().recordUnreachableAt(address, since, now);
              },
              [this](PeerLink& link, Duration unansweredFor) {
                  // Most links are silent for as long as a run takes, so an event is written only once a probe is unanswered.
                  if (unansweredFor > Duration::zero())
                      EventLog::write(
                          "member-silent", { { "member", link.peer() }, { "unanswered_s", toSeconds(unansweredFor) } });
                  m_view.endpoints().recordUnresponsive(link.peer(), MonotonicClock::now());
                  m_ingress.onUnresponsive(link, unansweredFor);
              },
              [this](const MeshMember& member, const EndpointReport& report) {
                  m_view.updateMember(member);
                  m_crashSuspects.merge(member.crashSuspects, WallClock::now());
                  m_view.endpoints().recordReachable(member.name, MonotonicClock::now());
                  m_view.endpoints().recordReport(member.name, report, MonotonicClock::now());
                  m_view.endpoints().recordLeaving(member.name, report.leaving, MonotonicClock::now() + report.takesRunsFor);
              },
              [this] { return m_executor.report(MonotonicClock::now()); } },
          meshFrameDictionary())
    , m_crashSuspects(settings)
    , m_executor(settings, m_instance.backendServer, m_instance.service, m_crashSuspects)
    , m_rateLimiter(settings, m_view, m_links, m_own.name)
    , m_ingress({ settings, m_view, m_links, m_executor, m_rateLimiter, m_metrics, m_crashSuspects, m_own.name })
    , m_store(m_instance.store)
    , m_sync(settings, m_view, m_links, m_store, m_crashSuspects, m_own)
    , m_servedCalls(settings)
{
    m_view.updateMember(m_own);
    m_view.endpoints().setRegions(m_instance.regions);
    m_view.setConfigurationHandler([this] { onConfiguration(); });
    m_view.setEvacuationHandler(
        [this] { m_executor.setEvacuated(m_view.evacuations().isEvacuated(m_own.zone), MonotonicClock::now()); });
    m_sync.setFormerLeaveHandler([this](const EndpointLeave& former) { m_executor.setFormerLeave(former); });
    m_executor.setChangeHandler([this] { onBackendServerChange(); });
    m_executor.setSuspectsHandler([this] { m_links.broadcastCrashSuspects(m_crashSuspects.takeChanges(WallClock::now())); });
    m_executor.setUnsentResponseBytes([this] { return m_links.unsentBytes(); });
    m_executor.setLimitRiseHandler([this] { m_links.broadcastState(); });
    m_executor.setLeaveHandler([this] { m_sync.storeLeave(m_executor.currentLeave(), [](bool) {}); });
}

// Start and leave

Result<void> Sidecar::start()
{
    EventLog::write("start", { { "version", versionText }, { "zone", m_own.zone }, { "service", m_own.service } });
    if (auto started = m_links.listen(m_instance.peers); !started)
        return started;
    if (auto started = m_ingress.start(m_instance.callers); !started)
        return started;
    StrictHTTPLimits localLimits;
    localLimits.maximumBodyBytes = maximumLocalBodyBytes;
    if (auto started = m_control.start(m_instance.announcements, localLimits,
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 handleControl(connection, request);
             },
                nullptr });
        !started)
        return started;
    if (auto started = m_readiness.start(m_instance.readiness, localLimits,
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 handleReadiness(connection, request);
             },
                nullptr });
        !started)
        return started;
    m_sync.start();
    m_tick.startRepeating(tickInterval, [this] { tick(); });
    return {};
}

void Sidecar::leave(TimePoint signalledAt)
{
    if (std::exchange(m_leaving, true))
        return;
    const auto now = MonotonicClock::now();
    m_signalledBy = m_signalledFrom = signalledAt;
    // A signal that arrived while the process stood still is handled afterwards.
    if (m_tickedAt != TimePoint() && now - m_tickedAt > tickStallThreshold)
        m_signalledFrom = std::min(signalledAt, m_tickedAt);
    EventLog::write("leave",
        { { "open_requests", m_ingress.inProgress() }, { "served_calls", m_served.size() },
            { "signalled_s_ago", toSeconds(now - m_signalledFrom) } });
    // The next owners receive the ledgers before other members learn that this one leaves.
    m_rateLimiter.handOver(now);
    const auto margin = std::min(maximumShutdownMargin, m_instance.shutdownTime / shutdownMarginDivisor);
    const auto endBy = scheduleEnd(margin, now);
    // Callers learn of the leave from the readiness probe; until then they are served.
    m_refuseCallersAt = m_signalledBy + readinessPropagation;
    startLeavingBackendServer(endBy, now);
    m_leaveTimer.startRepeating(
        std::min<Duration>(leaveCheckInterval, margin / leaveChecksInMargin), [this, last = now]() mutable {
            const auto now = MonotonicClock::now();
            // A process that has stalled may do so again.
            if (const auto gap = now - std::exchange(last, now); gap > stallThreshold) {
                EventLog::write("leave-stalled", { { "stalled_s", toSeconds(gap) } });
                startLeavingBackendServer(scheduleEnd(m_instance.shutdownTime / shutdownMarginDivisor, now), now);
            }
            stopAcceptingWhenDue(now);
            m_executor.tick();
            m_servedCalls.expire(now);
            m_idleSince = isIdle() ? std::min(m_idleSince, now) : TimePoint::max();
            if (m_idleSince != TimePoint::max() && !waitsForPeers(now))
                finishLeaving();
        });
}

// The backend server stays in use beside this daemon for as long as its runs can end before the daemon does.
void Sidecar::startLeavingBackendServer(TimePoint endBy, TimePoint now)
{
    auto& endpoints = m_view.endpoints();
    const auto runTime = m_executor.isAvailable(now) ? m_executor.usualRunTime(now) : std::nullopt;
    const bool isLastInZone = endpoints.areOthersOutOfUse(m_own.name, now);
    const auto takesRunsUntil = runTime ? lastRunStart({ m_refuseCallersAt, endBy, *runTime, isLastInZone }, now) : now;
    EventLog::write("backend-server-in-use",
        { { "for_s", toSeconds(takesRunsUntil - now) }, { "run_time_ms", runTime ? toSeconds(*runTime) * 1000 : -1 },
            { "last_in_zone", isLastInZone } });
    endpoints.recordLeaving(m_own.name, true, takesRunsUntil);
    m_executor.startLeaving(now, takesRunsUntil, endBy);
}

// What a peer has not acknowledged is lost if it sends anything to a socket that this process has closed.
bool Sidecar::waitsForPeers(TimePoint now) const
{
    return m_idleSince != TimePoint::max() && now < m_idleSince + peersReadTime && m_links.hasUnacknowledgedBytes();
}

// An open connection may carry a request that is still arriving, or the last bytes of a response, and so may a link.
bool Sidecar::isIdle() const
{
    return m_stoppedAccepting && !m_ingress.inProgress() && !m_ingress.openConnections() && m_served.empty()
        && !m_servedCalls.expectedQueries() && !m_links.unsentBytes() && m_waitingNotices.empty();
}

// Returns the time by which requests have to end. All steps are timed from the signal: after a stall, the next one makes up for
// it. Where the moment of the signal is not known, the process is gone before the earliest end of its shutdown time, and runs are
// not broken off before the latest beginning of the last sixth, as far as the margin allows both.
TimePoint Sidecar::scheduleEnd(Duration margin, TimePoint now)
{
    m_killedAt = m_signalledFrom + m_instance.shutdownTime;
    const auto lastSixth = m_signalledBy + m_instance.shutdownTime - m_instance.shutdownTime / shutdownMarginDivisor;
    const auto latestStart = m_killedAt - std::min(margin, minimumShutdownMargin);
    const auto marginStart = std::min(std::max(m_killedAt - margin, lastSixth), latestStart);
    margin = m_killedAt - marginStart;
    const auto endBy = std::max(now, marginStart);
    const auto endRequestsAt = marginStart + margin / lastOutcomesDivisor;
    const auto responseTime = margin / lastResponsesDivisor;
    // After a stall a call may have a deadline from the former schedule.
    m_endCallsBy = std::max(m_endCallsBy, endRequestsAt + responseTime / 2);
    m_finishBy = std::max(endRequestsAt + responseTime, m_endCallsBy + callResponseTime);
    // Backend servers and other daemons end a call at its deadline by themselves, and their outcome goes first. The calls of a
    // run end after it, since their failure would keep it from being repeated elsewhere.
    m_ingress.startLeaving(endBy, endRequestsAt + responseTime / 2);
    m_endTimer.startOnce(std::max(endRequestsAt - now, Duration::zero()), [this] { endRequests(); });
    return endBy;
}

// The runs of the local backend server may still make calls, which arrive here as well. A request on an idle connection would
// cross its close, so they stay open for as long as the process does.
void Sidecar::stopAcceptingWhenDue(TimePoint now)
{
    if (m_stoppedAccepting || now < m_refuseCallersAt)
        return;
    m_ingress.refuseCallers();
    if (m_executor.inProgress() || m_ingress.inProgress())
        return;
    m_stoppedAccepting = true;
    m_ingress.stopAccepting();
}

// The shutdown time is nearly over: what is still open gets a response instead of a closed connection.
void Sidecar::endRequests()
{
    EventLog::write("shutdown-time-over", { { "open_requests", m_ingress.inProgress() }, { "runs", m_executor.inProgress() } });
    m_ingress.refuseCallers(); // Requests behind those that end now are read next
    m_executor.endAll(MonotonicClock::now());
    // The backend server cancels the calls of the runs that have ended.
    m_ingress.endAll(RequestOrigin::Caller, MonotonicClock::now());
    if (!std::exchange(m_stoppedAccepting, true))
        m_ingress.stopAccepting();
    m_leaveTimer.startOnce(std::max(m_finishBy - MonotonicClock::now(), Duration::zero()), [this] { finishLeaving(); });
}

// Calls that are on their way to this daemon would count as "may have run" if it closed the links without a word, and what has
// arrived at the other listeners would have no response.
void Sidecar::finishLeaving()
{
    m_endTimer.stop();
    m_ingress.endAll(RequestOrigin::BackendServer, MonotonicClock::now());
    m_beginsNoCalls = true;
    m_executor.endAll(MonotonicClock::now()); // Its runs would count as not begun
    m_links.goAway();
    for (const auto& connection : std::exchange(m_waitingNotices, {}))
        acknowledge(*connection, false);
    m_control.startDraining();
    m_readiness.startDraining();
    const auto latest = std::min(MonotonicClock::now() + closeTime, m_killedAt - closeTime);
    m_leaveTimer.startRepeating(closeCheckInterval, [this, latest] { endWhenConnectionsHaveClosed(latest); });
}

void Sidecar::endWhenConnectionsHaveClosed(TimePoint latest)
{
    const auto now = MonotonicClock::now();
    const bool waitsForLinks = m_links.linkCount() && now < m_finishBy && waitsForPeers(now);
    const bool isOpen = m_links.linkCount() || m_ingress.openConnections() || openLocalConnections();
    if (waitsForLinks || (now < latest && isOpen))
        return;
    m_leaveTimer.stop();
    EventLog::write("stop",
        { { "open_requests", m_ingress.inProgress() }, { "served_calls", m_served.size() }, { "runs", m_executor.inProgress() },
            { "open_connections", m_ingress.openConnections() }, { "open_local_connections", openLocalConnections() },
            { "outcomes_not_asked_for", m_servedCalls.expectedQueries() } });
    EventLog::flush();
    if (m_onLeaveCompleted)
        m_onLeaveCompleted();
}

void Sidecar::applySettings(const platform::InstanceSettings& instance)
{
    if (!m_leaving) // The end that requests at work have been promised stays
        m_instance.shutdownTime = instance.shutdownTime;
    m_store.setAddress(instance.store);
    EventLog::write("reload", { { "store", instance.store.toString() } });
}

// Local servers

void Sidecar::handleControl(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    const auto now = MonotonicClock::now();
    const auto refuse = [this, &connection, now](const Error& error) {
        EventLog::write("announcement-refused", { { "detail", error.detail } });
        connection->respond(platform::makeErrorResponse(error, {}), m_leaving, now);
    };
    const auto notice = platform::decodeNotice(request);
    if (!notice) {
        refuse(notice.error());
        return;
    }
    const auto* announcement = std::get_if<EndpointAnnouncement>(&*notice);
    if (const auto checked = announcement ? checkAnnouncement(*announcement) : Result<void>(); !checked) {
        refuse(checked.error());
        return;
    }
    if (announcement) {
        m_executor.recordAnnouncement(*announcement, now);
    } else {
        const auto& leave = std::get<platform::LeaveNotice>(*notice);
        m_executor.recordLeave(leave.instance, leave.startedAt);
    }
    // An acknowledged leave must survive a restart of this daemon, so it is acknowledged only if it is stored. It is in force in
    // any case, and the backend server says it again.
    const auto leave = m_executor.currentLeave();
    if (leave.instance.empty() || m_sync.storedLeave().covers(leave.instance, leave.latestStart)) {
        acknowledge(*connection, true);
        return;
    }
    if (m_beginsNoCalls) // This process may end before the store responds
        acknowledge(*connection, false);
    else
        m_waitingNotices.insert(connection);
    m_sync.storeLeave(leave, [this, connection](bool stored) {
        if (m_waitingNotices.erase(connection))
            acknowledge(*connection, stored);
    });
}

void Sidecar::acknowledge(StrictHTTPConnection& connection, bool stored) const
{
    const uint16_t status = stored ? 200 : 503;
    connection.respond({ status, { { "Content-Type", "application/json" } }, "{}" }, m_leaving, MonotonicClock::now());
}

// Only the backend server at this daemon's address, of a service that exists, may change what is known of it.
Result<void> Sidecar::checkAnnouncement(const EndpointAnnouncement& announcement) const
{
    if (announcement.address.toString() != m_instance.backendServer.toString())
        return fail(ErrorKind::BadRequest,
            announcement.instance + " announces itself at " + announcement.address.toString() + ", not at this daemon's address");
    const auto* routes = m_view.routes();
    const bool isKnown = announcement.service == m_instance.service || (routes && routes->findService(announcement.service));
    if (!isKnown)
        return fail(ErrorKind::BadRequest,
            announcement.instance + " announces the service " + announcement.service + ", which is unknown");
    return {};
}

void Sidecar::handleReadiness(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    const auto now = MonotonicClock::now();
    if (request.target == "/metrics") {
        m_metrics.setGauge("shallot_links", static_cast<double>(m_links.linkCount()));
        m_metrics.setGauge("shallot_members", static_cast<double>(m_view.memberCount()));
        const auto& members = m_sync.policy().members();
        m_metrics.setGauge("shallot_members_listed", static_cast<double>(members.size()));
        m_metrics.setGauge("shallot_member_list_offset", static_cast<double>(members.state().offset));
        m_metrics.setGauge("shallot_member_list_in_doubt", m_sync.policy().isListInDoubt() ? 1 : 0);
        m_metrics.setGauge("shallot_backend_server_limit", m_executor.rateLimit().value_or(-1));
        m_metrics.setGauge("shallot_backend_connections_opened", static_cast<double>(m_executor.openedConnections()));
        m_metrics.setGauge("shallot_backend_connections_avoided", static_cast<double>(m_executor.avoidedReuses()));
        m_metrics.setGauge("shallot_backend_server_cold_seconds", toSeconds(m_executor.coldFor(now)));
        m_metrics.setGauge("shallot_zones_evacuated", static_cast<double>(m_view.evacuations().zones().size()));
        m_metrics.setGauge("shallot_backend_server_pace", m_executor.reportedLoad().pace());
        m_metrics.setGauge("shallot_load_headers_malformed", static_cast<double>(m_executor.reportedLoad().malformedHeaders()));
        m_metrics.setGauge("shallot_crash_suspects", static_cast<double>(m_crashSuspects.size()));
        m_metrics.setGauge("shallot_unread_response_bytes", static_cast<double>(m_ingress.server().unreadResponseBytes()));
        m_metrics.setGauge("shallot_cut_off_readers", static_cast<double>(m_ingress.server().cutOffReaders()));
        m_metrics.setGauge("shallot_cut_requests", static_cast<double>(m_ingress.server().cutRequests()));
        m_metrics.setGauge("shallot_heap_bytes", static_cast<double>(heapBytes()));
        m_metrics.setGauge("shallot_requests_open", static_cast<double>(m_ingress.inProgress()));
        m_metrics.setGauge("shallot_configuration_version", static_cast<double>(m_view.version()));
        m_metrics.setGauge("shallot_configuration_age_seconds", toSeconds(now - m_view.freshness().confirmedAt));
        m_metrics.setGauge("shallot_log_lines_dropped", static_cast<double>(EventLog::droppedLines()));
        connection->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.toText() }, m_leaving, now);
        return;
    }
    if (!platform::isReadinessProbe(request.target)) {
        connection->respond({ 404, {}, {} }, m_leaving, now);
        return;
    }
    connection->respond({ static_cast<uint16_t>(isReady(now) ? 200 : 503), {}, {} }, m_leaving, now);
}

bool Sidecar::isReady(TimePoint now)
{
    const bool ready = !m_leaving && m_view.isInitialized() && m_view.mayAcceptKeys(now);
    if (ready != std::exchange(m_wasReady, ready)) {
        EventLog::write("readiness",
            { { "ready", ready }, { "leaving", m_leaving }, { "version", m_view.version() },
                { "configuration_age_s", toSeconds(now - m_view.freshness().confirmedAt) } });
    }
    return ready;
}

// Peers

void Sidecar::onFrame(PeerLink& link, wire::FrameT& frame)
{
    const auto now = MonotonicClock::now();
    if (auto* call = frame.body.AsCall())
        serveCall(link, *call);
    else if (auto* response = frame.body.AsAnswer())
        m_ingress.onResponse(link, *response);
    else if (const auto* cancel = frame.body.AsCancel())
        cancelCall({ link.peer(), link.peerBoot(), cancel->id });
    else if (const auto* query = frame.body.AsCallQuery())
        onCallQuery(link, *query);
    else if (const auto* state = frame.body.AsCallState())
        m_ingress.onCallState(link, *state);
    else if (frame.body.AsGoAway())
        onGoAway(link);
    else if (const auto* requests = frame.body.AsLoanRequests())
        m_rateLimiter.onRequests(link, *requests, now);
    else if (const auto* grants = frame.body.AsLoans())
        m_rateLimiter.onGrants(*grants, now);
    else if (const auto* syncRequest = frame.body.AsRecordsRequest())
        m_sync.onSyncRequest(link, *syncRequest, now);
    else if (const auto* syncResponse = frame.body.AsRecords())
        m_sync.onSyncResponse(link, *syncResponse, now);
}

Duration Sidecar::transitDelay(const PeerLink& link, const MeshCall& call, TimePoint now)
{
    if (call.sentAt == TimePoint())
        return {};
    return m_transitTimes[{ link.peer(), link.peerBoot() }].record(call.sentAt, now);
}

void Sidecar::serveCall(PeerLink& link, wire::CallT& frame)
{
    const auto now = MonotonicClock::now();
    if (m_beginsNoCalls) {
        link.send(makeMeshAnswerFrame(frame.id, { fail(ErrorKind::Draining, "this daemon has ended"), m_executor.report(now) }));
        return;
    }
    const ServedCallKey key { link.peer(), link.peerBoot(), frame.id };
    auto call = readMeshCall(frame);
    const auto delay = transitDelay(link, call, now);
    call.context.remaining -= delay;
    const bool isNew = m_servedCalls.begin(key, now + call.context.remaining, now);
    if (!isNew || delay > m_settings.maximumTransitDelay) {
        EventLog::write("call-late", { { "peer", key.sender }, { "call", key.id }, { "held_up_s", toSeconds(delay) } });
        if (isNew)
            m_servedCalls.refuse(key);
        link.send(makeMeshAnswerFrame(key.id, { fail(ErrorKind::NoBackendServer, "it arrived late"), m_executor.report(now) }));
        return;
    }
    // The completion may be called before submit() returns.
    m_served[key] = { &link, 0 };
    const auto executorCallID
        = m_executor.submit(std::move(call), now, [this, key](MeshOutcome outcome) { answerCall(key, std::move(outcome)); });
    if (const auto found = m_served.find(key); found != m_served.end())
        found->second.executorCallID = executorCallID;
}

// The outcome is kept as well, since the answer is lost if the link ends now.
void Sidecar::answerCall(const ServedCallKey& key, MeshOutcome outcome)
{
    const auto found = m_served.find(key);
    if (found == m_served.end())
        return;
    const auto link = found->second.link;
    m_served.erase(found);
    const auto frame = makeMeshAnswerFrame(key.id, outcome);
    m_servedCalls.end(key, std::move(outcome), MonotonicClock::now());
    if (!link || !link->send(frame))
        m_servedCalls.expectQuery(key);
}

void Sidecar::cancelCall(const ServedCallKey& key)
{
    const auto found = m_served.find(key);
    if (found == m_served.end())
        return;
    const auto executorCallID = found->second.executorCallID;
    m_served.erase(found);
    m_servedCalls.end(key, std::nullopt, MonotonicClock::now());
    m_executor.cancel(executorCallID);
}

void Sidecar::onCallQuery(PeerLink& link, const wire::CallQueryT& query)
{
    const ServedCallKey key { link.peer(), link.peerBoot(), query.id };
    const auto state = query.boot == m_boot ? m_servedCalls.query(key, MonotonicClock::now()) : ServedCallState::Unknown;
    EventLog::write("call-queried", { { "peer", key.sender }, { "call", key.id }, { "state", static_cast<int>(state) } });
    if (state == ServedCallState::Ended) {
        const auto* outcome = m_servedCalls.outcomeOf(key);
        if (outcome && !link.send(makeMeshAnswerFrame(key.id, *outcome)))
            m_servedCalls.expectQuery(key);
        return;
    }
    // A query on an earlier link may arrive late; the sender has given that link up.
    const auto found = m_served.find(key);
    if (found != m_served.end() && (!found->second.link || found->second.link->number() < link.number()))
        found->second.link = &link;
    link.send(makeCallStateFrame(key.id, state));
}

// A caller that is gone must not keep its run going, so the sender of a call has only a short time to ask for it.
void Sidecar::cancelAbandonedCalls()
{
    const auto now = MonotonicClock::now();
    for (const auto& key : m_servedCalls.takeAbandoned(now)) {
        const auto found = m_served.find(key);
        if (found == m_served.end() || m_executor.runsOnlyOnce(found->second.executorCallID))
            continue; // A run that has begun since the link ended goes on
        if (!m_executor.isRunning(found->second.executorCallID))
            m_servedCalls.refuse(key);
        cancelCall(key);
    }
    scheduleAbandonment(now);
}

void Sidecar::scheduleAbandonment(TimePoint now)
{
    if (const auto next = m_servedCalls.nextAbandonment())
        m_abandonmentTimer.startOnce(std::max(*next - now, Duration::zero()), [this] { cancelAbandonedCalls(); });
}

void Sidecar::onGoAway(PeerLink& link)
{
    EventLog::write("link-goes-away", { { "peer", link.peer() } });
    m_view.endpoints().recordLeaving(link.peer(), true); // Whatever time it had named
    link.setPeerEnds();
    if (!m_ingress.onGoAway(link))
        link.close();
}

void Sidecar::onLinkClosed(PeerLink& link)
{
    const auto now = MonotonicClock::now();
    for (auto& [key, served] : m_served) {
        if (served.link.get() != &link)
            continue;
        served.link = nullptr;
        if (!m_executor.runsOnlyOnce(served.executorCallID))
            m_servedCalls.detach(key, now);
    }
    if (!link.peerEnds()) // One that ends has no request left
        m_servedCalls.expectQueries(link.peer(), link.peerBoot(), now);
    scheduleAbandonment(now);
    m_ingress.onLinkClosed(link);
}

// Changes

void Sidecar::onBackendServerChange()
{
    const auto now = MonotonicClock::now();
    m_view.endpoints().recordReport(m_own.name, m_executor.report(now), now);
    if (!m_executor.service().empty() && m_executor.service() != m_own.service) {
        m_own.service = m_executor.service();
        m_links.setOwnService(m_own.service);
        m_view.updateMember(m_own);
        m_sync.setOwnService(m_own.service);
    }
    m_links.broadcastState();
}

void Sidecar::onConfiguration()
{
    const auto& configuration = m_view.routes()->configuration();
    m_ingress.applyLimits(configuration.limits);
    std::map<std::string, std::string> healthPaths;
    std::map<std::string, ColdStart> coldStarts;
    for (const auto& service : configuration.services) {
        healthPaths[service.name] = service.healthPath;
        coldStarts[service.name] = service.coldStart;
    }
    m_executor.setKeepsRetryBudget(configuration.hasBulkRoutes);
    m_executor.setColdStarts(std::move(coldStarts));
    m_executor.setHealthPaths(std::move(healthPaths));
    updateRetryAllowance();
}

void Sidecar::updateRetryAllowance()
{
    const auto servers = std::max<size_t>(1, m_view.endpoints().countOf(m_own.service));
    m_executor.setRetryAllowance(
        m_settings.retryAllowance * m_settings.allowanceFractionAtBackend / static_cast<double>(servers));
}

// Time

void Sidecar::tick()
{
    const auto now = MonotonicClock::now();
    m_tickedAt = now;
    m_links.tick(now);
    for (const auto& address : m_view.endpoints().takeProbes(probesPerTick, now))
        m_links.probe(address);
    m_rateLimiter.sendHeartbeats(now);
    m_sync.tick(now);
    m_servedCalls.expire(now);
    if (++m_ticks % ticksPerFlush)
        return;
    updateRetryAllowance();
    std::erase_if(m_transitTimes, [now](const auto& item) { return now - item.second.lastRecordedAt() > transitTimeLifetime; });
    m_executor.tick();
    EventLog::flush();
}

} // namespace shallot
