// Index of this file
//   Start and leave:  Sidecar, start, leave, finishLeaving, applySettings
//   Own servers:      answerControl, answerReadiness, isReady
//   Peers:            onFrame, onLinkClosed, serveCall, cancelCall
//   Changes:          onBackendServerChange, onConfiguration
//   Time:             tick

#include "sidecar/Sidecar.h"

#include "core/EventLog.h"
#include "core/Version.h"
#include "daemon/CallFrames.h"
#include "platform/AnnouncementCodec.h"
#include "platform/RequestCodec.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto tickInterval = 250ms;  // Watches links and greets ledgers; MeshSettings::ledgerHeartbeatInterval
constexpr uint64_t ticksPerFlush = 2; // Logs: each half second
constexpr auto readinessLag = 2600ms; // Two questions, one a second, and the way
constexpr auto leaveCheck = 100ms;
constexpr auto closeMargin = 700ms; // Of the shutdown time; left for the last answers to go out

} // namespace

Sidecar::Sidecar(platform::InstanceSettings instance, const MeshSettings& settings, std::string peerSecret)
    : m_instance(std::move(instance))
    , m_own { m_instance.instance, m_instance.zone, m_instance.peers.toString(), m_instance.service }
    , m_beliefs(settings, m_instance.zone)
    , m_links({ m_own.name, m_own.zone, std::move(peerSecret) }, m_own,
          { [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); }, [this](PeerLink& link) { onLinkClosed(link); },
              [this](const std::string& address, TimePoint since) {
                  const auto now = MonotonicClock::now();
                  EventLog::write("member-unreachable", { { "address", address }, { "silent_s", toSeconds(now - since) } });
                  m_beliefs.endpoints().recordUnreachableAt(address, since, now);
              },
              [this](const std::string& member, Duration unanswered) {
                  // Most links are silent for as long as a run takes; only one that leaves a question open is worth a line.
                  if (unanswered > Duration::zero())
                      EventLog::write("member-silent", { { "member", member }, { "unanswered_s", toSeconds(unanswered) } });
                  m_beliefs.endpoints().recordSilent(member, MonotonicClock::now());
              },
              [this](const MeshMember& member, const EndpointReport& report) {
                  m_beliefs.takeMember(member);
                  m_beliefs.endpoints().recordReachable(member.name, MonotonicClock::now());
                  m_beliefs.endpoints().recordReport(member.name, report, MonotonicClock::now());
                  m_beliefs.endpoints().recordLeaving(member.name, report.leaving);
              },
              [this] { return m_executor.report(MonotonicClock::now()); } },
          meshFrameDictionary())
    , m_executor(settings, m_instance.backendServer, m_instance.service)
    , m_rates(settings, m_beliefs, m_links, m_own.name)
    , m_ingress({ settings, m_beliefs, m_links, m_executor, m_rates, m_metrics, m_own.name })
    , m_store(m_instance.store)
    , m_knowledge(settings, m_beliefs, m_links, m_store, m_own)
{
    m_beliefs.takeMember(m_own);
    m_beliefs.setConfigurationHandler([this] { onConfiguration(); });
    m_knowledge.setListKnownHandler([this](const EndpointLeave& former) { m_executor.setFormerLeave(former); });
    m_executor.setChangeHandler([this] { onBackendServerChange(); });
}

// Start and leave

Result<void> Sidecar::start()
{
    EventLog::write("start", { { "version", versionText }, { "zone", m_own.zone }, { "service", m_own.service } });
    if (auto started = m_links.listen(m_instance.peers); !started)
        return started;
    if (auto started = m_ingress.start(m_instance.callers); !started)
        return started;
    if (auto started = m_control.start(m_instance.announcements, {},
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 answerControl(connection, request);
             },
                nullptr });
        !started)
        return started;
    if (auto started = m_readiness.start(m_instance.readiness, {},
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 answerReadiness(connection, request);
             },
                nullptr });
        !started)
        return started;
    m_knowledge.start();
    m_tick.startRepeating(tickInterval, [this] { tick(); });
    return {};
}

void Sidecar::leave()
{
    if (std::exchange(m_leaving, true))
        return;
    EventLog::write("leave", { { "open_requests", m_ingress.inProgress() }, { "served_calls", m_served.size() } });
    // The next keepers hear of their ledgers before the members hear that this one leaves.
    m_rates.handOver(MonotonicClock::now());
    m_executor.startLeaving();
    m_ingress.startLeaving();
    const auto closeBy = MonotonicClock::now() + m_instance.shutdownTime - closeMargin;
    // Callers learn of the leave by the readiness question; until then they are served.
    const auto earliest = MonotonicClock::now() + readinessLag;
    m_leaveTimer.startRepeating(leaveCheck, [this, closeBy, earliest] {
        const auto now = MonotonicClock::now();
        if (now >= earliest && !std::exchange(m_stoppedAccepting, true))
            m_ingress.stopAccepting();
        // A connection that is still open may carry a request that is on its way, or the last bytes of an answer.
        const bool idle = m_stoppedAccepting && !m_ingress.inProgress() && !m_ingress.openConnections() && m_served.empty();
        if (idle || now >= closeBy)
            finishLeaving();
    });
}

void Sidecar::finishLeaving()
{
    m_leaveTimer.stop();
    EventLog::write("stop", { { "open_requests", m_ingress.inProgress() }, { "served_calls", m_served.size() } });
    EventLog::flush();
    if (m_onLeaveCompleted)
        m_onLeaveCompleted();
}

void Sidecar::applySettings(const platform::InstanceSettings& instance)
{
    m_instance.shutdownTime = instance.shutdownTime;
    m_store.setAddress(instance.store);
    EventLog::write("reload", { { "store", instance.store.toString() } });
}

// Own servers

void Sidecar::answerControl(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    const auto now = MonotonicClock::now();
    const auto notice = platform::decodeNotice(request);
    if (!notice) {
        EventLog::write("announcement-refused", { { "detail", notice.error().detail } });
        connection->respond(platform::makeFailure(notice.error(), {}), false, now);
        return;
    }
    if (const auto* announcement = std::get_if<EndpointAnnouncement>(&*notice))
        m_executor.announce(*announcement, now);
    else
        m_executor.announceLeave(std::get<platform::LeaveNotice>(*notice).instance, now);
    const auto acknowledge = [connection] {
        connection->respond({ 200, { { "Content-Type", "application/json" } }, "{}" }, false, MonotonicClock::now());
    };
    // The acknowledgement of a leave binds this daemon also after a restart, so the store has to know first.
    const auto leave = m_executor.currentLeave();
    if (leave.instance.empty() || m_knowledge.storedLeave().covers(leave.instance, leave.latestStart))
        acknowledge();
    else
        m_knowledge.storeLeave(leave, acknowledge);
}

void Sidecar::answerReadiness(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    const auto now = MonotonicClock::now();
    if (request.target == "/metrics") {
        m_metrics.setGauge("shallot_links", static_cast<double>(m_links.linkCount()));
        m_metrics.setGauge("shallot_members", static_cast<double>(m_beliefs.memberCount()));
        const auto& members = m_knowledge.knowledge().members();
        m_metrics.setGauge("shallot_members_listed", static_cast<double>(members.size()));
        m_metrics.setGauge("shallot_member_list_offset", static_cast<double>(members.state().offset));
        m_metrics.setGauge("shallot_member_list_in_doubt", m_knowledge.knowledge().isListInDoubt() ? 1 : 0);
        m_metrics.setGauge("shallot_requests_open", static_cast<double>(m_ingress.inProgress()));
        m_metrics.setGauge("shallot_configuration_version", static_cast<double>(m_beliefs.version()));
        m_metrics.setGauge("shallot_configuration_age_seconds", toSeconds(now - m_beliefs.proof().confirmedAt));
        m_metrics.setGauge("shallot_log_lines_dropped", static_cast<double>(EventLog::droppedLines()));
        connection->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.toText() }, false, now);
        return;
    }
    if (!platform::isReadinessQuestion(request.target)) {
        connection->respond({ 404, {}, {} }, false, now);
        return;
    }
    connection->respond({ static_cast<uint16_t>(isReady(now) ? 200 : 503), {}, {} }, false, now);
}

bool Sidecar::isReady(TimePoint now)
{
    const bool ready = !m_leaving && m_beliefs.isComplete() && m_beliefs.mayHonourKeys(now);
    if (ready != std::exchange(m_wasReady, ready)) {
        EventLog::write("readiness",
            { { "ready", ready }, { "leaving", m_leaving }, { "version", m_beliefs.version() },
                { "configuration_age_s", toSeconds(now - m_beliefs.proof().confirmedAt) } });
    }
    return ready;
}

// Peers

void Sidecar::onFrame(PeerLink& link, wire::FrameT& frame)
{
    const auto now = MonotonicClock::now();
    if (auto* call = frame.body.AsCall())
        serveCall(link, *call);
    else if (auto* answer = frame.body.AsAnswer())
        m_ingress.onAnswer(link, *answer);
    else if (const auto* cancel = frame.body.AsCancel())
        cancelCall(link, *cancel);
    else if (const auto* requests = frame.body.AsLoanRequests())
        m_rates.onRequests(link, *requests, now);
    else if (const auto* grants = frame.body.AsLoans())
        m_rates.onGrants(*grants, now);
    else if (const auto* question = frame.body.AsRecordsRequest())
        m_knowledge.onQuestion(link, *question, now);
    else if (const auto* proof = frame.body.AsRecords())
        m_knowledge.onAnswer(link, *proof, now);
}

void Sidecar::serveCall(PeerLink& link, wire::CallT& frame)
{
    const RefPtr<PeerLink> peer(&link);
    const auto id = frame.id;
    auto call = readMeshCall(frame);
    const bool idempotent = call.context.idempotent;
    // The completion may come before submit() returns, when the id is not known yet.
    auto done = std::make_shared<bool>(false);
    auto executorID = std::make_shared<uint64_t>(0);
    *executorID = m_executor.submit(
        std::move(call), MonotonicClock::now(), [this, peer, id, done, executorID](const MeshOutcome& outcome) {
            *done = true;
            peer->send(makeMeshAnswerFrame(id, outcome));
            m_served.erase(*executorID);
        });
    if (!*done)
        m_served[*executorID] = { peer, id, idempotent };
}

void Sidecar::cancelCall(PeerLink& link, const wire::CancelT& cancel)
{
    for (auto it = m_served.begin(); it != m_served.end(); ++it) {
        if (it->second.link.get() != &link || it->second.id != cancel.id)
            continue;
        const auto executorID = it->first;
        m_served.erase(it);
        m_executor.cancel(executorID);
        return;
    }
}

void Sidecar::onLinkClosed(PeerLink& link)
{
    std::vector<uint64_t> orphans;
    for (const auto& [executorID, served] : m_served) {
        if (served.link.get() == &link)
            orphans.push_back(executorID);
    }
    for (const auto executorID : orphans) {
        m_served.erase(executorID);
        m_executor.cancel(executorID);
    }
    m_ingress.onLinkClosed(link);
}

// Changes

void Sidecar::onBackendServerChange()
{
    const auto now = MonotonicClock::now();
    m_beliefs.endpoints().recordReport(m_own.name, m_executor.report(now), now);
    if (!m_executor.service().empty() && m_executor.service() != m_own.service) {
        m_own.service = m_executor.service();
        m_links.setOwnService(m_own.service);
        m_beliefs.takeMember(m_own);
        m_knowledge.setOwnService(m_own.service);
    }
    m_links.announceState();
}

void Sidecar::onConfiguration()
{
    const auto& configuration = m_beliefs.routes()->configuration();
    m_ingress.applyLimits(configuration.limits);
    if (const auto* service = m_beliefs.routes()->findService(m_own.service))
        m_executor.setHealthPath(service->healthPath, MonotonicClock::now());
}

// Time

void Sidecar::tick()
{
    const auto now = MonotonicClock::now();
    m_links.tick(now);
    m_rates.greet(now);
    m_knowledge.tick(now);
    if (++m_ticks % ticksPerFlush)
        return;
    m_executor.tick();
    EventLog::flush();
}

} // namespace shallot
