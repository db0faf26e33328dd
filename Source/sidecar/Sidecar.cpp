// Index of this file
//   Start and leave:  Sidecar, start, leave, finishLeaving, applySettings
//   Own servers:      answerControl, answerReadiness, isReady
//   Peers:            onFrame, onLinkClosed, serveCall, cancelCall
//   Beliefs:          what the store and the backend server say; the member list; proofs
//   Time:             tick

#include "sidecar/Sidecar.h"

#include "core/EventLog.h"
#include "core/Version.h"
#include "daemon/CallFrames.h"
#include "platform/AnnouncementCodec.h"
#include "platform/MemberCodec.h"
#include "platform/RequestCodec.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto tickInterval = 250ms;  // Watches links and greets ledgers; MeshSettings::greetInterval
constexpr uint64_t ticksPerFlush = 2; // Logs: each half second
constexpr auto appendTimeout = 1s;
constexpr auto appendRetry = 700ms;
constexpr auto readinessLag = 2600ms; // Two questions, one a second, and the way
constexpr auto leaveCheck = 100ms;
constexpr auto closeMargin = 700ms;    // Of the shutdown time; left for the last answers to go out
constexpr size_t greetedMembers = 128; // After a start; in a larger fleet the others learn with their next call
constexpr size_t questionsAtOnce = 3;  // To members at random, while no reader answers

} // namespace

Sidecar::Sidecar(platform::InstanceSettings instance, const MeshSettings& settings, std::string peerSecret)
    : m_instance(std::move(instance))
    , m_settings(settings)
    , m_own { m_instance.instance, m_instance.zone, m_instance.peers.toString(), m_instance.service }
    , m_beliefs(settings, m_instance.zone)
    , m_links({ m_own.name, m_own.zone, std::move(peerSecret) }, m_own,
          { [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); }, [this](PeerLink& link) { onLinkClosed(link); },
              [this](const std::string& address) {
                  EventLog::write("member-unreachable", { { "address", address } });
                  m_beliefs.endpoints().recordUnreachableAt(address, MonotonicClock::now());
              },
              [this](const std::string& member) {
                  EventLog::write("member-silent", { { "member", member } });
                  m_beliefs.endpoints().recordSilent(member, MonotonicClock::now());
              },
              [this](const MeshMember& member, const EndpointReport& report) {
                  m_beliefs.takeMember(member);
                  m_beliefs.endpoints().recordReachable(member.name);
                  m_beliefs.endpoints().recordReport(member.name, report, MonotonicClock::now());
              },
              [this] { return m_executor.report(MonotonicClock::now()); } },
          meshFrameDictionary())
    , m_executor(settings, m_instance.backendServer, m_instance.service)
    , m_rates(settings, m_beliefs, m_links, m_own.name)
    , m_ingress({ settings, m_beliefs, m_links, m_executor, m_rates, m_metrics, m_own.name })
    , m_store(m_instance.store)
    , m_configurationFollower(m_store, followConfiguration(settings),
          { [this](const platform::KeyedRecord& record) { onConfigurationRecord(record); },
              [this](TimePoint seenUntil) {
                  m_beliefs.proof().record(seenUntil);
                  m_beliefs.endpoints().recordFreshKnowledge(m_own.name);
              } })
    , m_memberFollower(m_store, followMembers(),
          { [this](const platform::KeyedRecord& record) { onMemberRecord(record); }, [this](TimePoint) { onMembersRead(); } })
{
    m_beliefs.takeMember(m_own);
    m_beliefs.setConfigurationHandler([this] { onConfiguration(); });
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
    m_configurationFollower.start();
    m_memberFollower.start();
    m_tick.startRepeating(tickInterval, [this] { tick(); });
    return {};
}

void Sidecar::leave()
{
    if (std::exchange(m_leaving, true))
        return;
    EventLog::write("leave", { { "open_requests", m_ingress.inProgress() }, { "served_calls", m_served.size() } });
    m_executor.startLeaving();
    m_ingress.startLeaving();
    m_rates.handOver(MonotonicClock::now());
    const auto closeBy = MonotonicClock::now() + m_instance.shutdownTime - closeMargin;
    // Callers learn of the leave by the readiness question; until then they are served.
    const auto earliest = MonotonicClock::now() + readinessLag;
    m_leaveTimer.startRepeating(leaveCheck, [this, closeBy, earliest] {
        const auto now = MonotonicClock::now();
        if (now >= earliest && !std::exchange(m_stoppedAccepting, true))
            m_ingress.stopAccepting();
        const bool idle = !m_ingress.inProgress() && m_served.empty();
        if ((idle && now >= earliest) || now >= closeBy)
            finishLeaving();
    });
}

void Sidecar::finishLeaving()
{
    m_leaveTimer.stop();
    EventLog::write("stop", { { "open_requests", m_ingress.inProgress() }, { "served_calls", m_served.size() } });
    EventLog::flush();
    if (m_onLeft)
        m_onLeft();
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
    connection->respond({ 200, { { "Content-Type", "application/json" } }, "{}" }, false, now);
}

void Sidecar::answerReadiness(const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request)
{
    const auto now = MonotonicClock::now();
    if (request.target == "/metrics") {
        m_metrics.setGauge("shallot_links", static_cast<double>(m_links.linkCount()));
        m_metrics.setGauge("shallot_members", static_cast<double>(m_beliefs.memberCount()));
        m_metrics.setGauge("shallot_requests_open", static_cast<double>(m_ingress.inProgress()));
        m_metrics.setGauge("shallot_configuration_version", static_cast<double>(m_beliefs.version()));
        m_metrics.setGauge("shallot_configuration_age_seconds", toSeconds(now - m_beliefs.proof().provenAt));
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
                { "configuration_age_s", toSeconds(now - m_beliefs.proof().provenAt) } });
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
        answerProof(link, *question);
    else if (const auto* proof = frame.body.AsRecords())
        takeProof(link, *proof);
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

// Beliefs

void Sidecar::onConfigurationRecord(const platform::KeyedRecord& record)
{
    if (!platform::isConfigurationRecord(record))
        return;
    const auto before = m_beliefs.version();
    (void)m_beliefs.takeConfiguration(record.value, "store"); // Logs what it cannot read
    if (m_isReader && m_beliefs.version() > before)
        pushConfiguration();
}

void Sidecar::onMemberRecord(const platform::KeyedRecord& record)
{
    if (record.key == m_own.name)
        m_membershipStored = record.value == platform::encodeMember(m_own).value;
    else if (const auto member = platform::decodeMember(record)) {
        m_beliefs.takeMember(*member);
        m_membersOfRead.push_back(*member);
    }
}

void Sidecar::onMembersRead()
{
    const auto next = m_memberFollower.offset();
    // The first read tells the newest record of each member, not what the log holds between two offsets.
    m_memberNews.record(m_membersKnownTo ? m_membersKnownTo : next, next, std::exchange(m_membersOfRead, {}));
    m_membersKnownTo = next;
    if (!m_beliefs.setMembersKnown())
        return;
    greetMembers();
    // A record that stands already would only wake every other daemon.
    if (!m_membershipStored)
        announceMembership();
}

// News of the member list come with the proofs of the zone's reader; what it no longer knows is read from the store.
void Sidecar::takeMemberNews(const wire::RecordsT& news)
{
    if (!m_membersKnownTo || news.members_next <= m_membersKnownTo)
        return;
    if (news.members_from > m_membersKnownTo) {
        m_memberFollower.readOnce();
        return;
    }
    const auto members = readMembers(news);
    for (const auto& member : members)
        m_beliefs.takeMember(member);
    m_memberNews.record(m_membersKnownTo, news.members_next, members);
    m_membersKnownTo = news.members_next;
    m_memberFollower.advanceTo(news.members_next);
}

void Sidecar::onBackendServerChange()
{
    const auto now = MonotonicClock::now();
    m_beliefs.endpoints().recordReport(m_own.name, m_executor.report(now), now);
    if (!m_executor.service().empty() && m_executor.service() != m_own.service) {
        m_own.service = m_executor.service();
        m_links.setOwnService(m_own.service);
        m_beliefs.takeMember(m_own);
        announceMembership();
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

void Sidecar::announceMembership()
{
    m_store.append(
        platform::StoreTopic::Members, platform::encodeMember(m_own), appendTimeout, [this](const Result<void>& result) {
            m_membershipStored = result.has_value();
            if (m_membershipStored)
                return;
            EventLog::write("membership-not-stored", { { "detail", result.error().detail } });
            m_membershipRetry.startOnce(appendRetry, [this] { announceMembership(); });
        });
}

// After a start: those that found this daemon gone may use it again.
void Sidecar::greetMembers()
{
    size_t greeted = 0;
    for (const auto& [name, endpoint] : m_beliefs.endpoints().all()) {
        if (name != m_own.name && greeted++ < greetedMembers)
            m_links.linkTo(endpoint.member.address);
    }
}

// A few members of each zone hold a read at the store; the others ask them. Whoever gets no fresh proof that way reads by
// itself, and asks members at random, of which one may be in touch with the store.
void Sidecar::renewProof(TimePoint now)
{
    dropUnansweredQuestions(now);
    auto& endpoints = m_beliefs.endpoints();
    const bool isOld = now - m_beliefs.proof().provenAt > m_settings.proofPatience;
    if (isOld) {
        endpoints.recordOldKnowledge(m_own.name, now);
        askSomeForProof(now);
        if (now - m_lastOwnRead >= m_settings.ownReadInterval) {
            m_lastOwnRead = now;
            m_configurationFollower.readOnce();
        }
    }
    const auto readers = endpoints.readersOf(m_own.zone, m_settings.readersPerZone, now);
    const auto isOwn = [this](const auto* reader) { return reader->member.name == m_own.name; };
    // While nobody's knowledge is fresh, as when the store is down, each reads by itself once in a while (above).
    m_isReader = !m_beliefs.isComplete() || std::any_of(readers.begin(), readers.end(), isOwn);
    m_configurationFollower.setPaused(!m_isReader);
    m_memberFollower.setPaused(!m_isReader);
    if (!m_isReader && !readers.empty() && now - m_lastQuestion >= m_settings.proofInterval) {
        m_lastQuestion = now;
        askForProof(*readers[m_nextQuestion % readers.size()], now);
    }
}

void Sidecar::askSomeForProof(TimePoint now)
{
    size_t index = m_ticks; // A different few each time
    for (const auto& [name, endpoint] : m_beliefs.endpoints().all()) {
        if (index++ % m_beliefs.memberCount() < questionsAtOnce && name != m_own.name)
            askForProof(endpoint, now);
    }
}

void Sidecar::dropUnansweredQuestions(TimePoint now)
{
    for (auto it = m_proofQuestions.begin(); it != m_proofQuestions.end();) {
        if (now - it->second.asked < m_settings.proofTimeout) {
            ++it;
            continue;
        }
        m_beliefs.endpoints().recordOldKnowledge(it->second.member, now);
        it = m_proofQuestions.erase(it);
        m_lastQuestion = {}; // The next reader is asked at once
    }
}

void Sidecar::askForProof(const RemoteEndpoint& endpoint, TimePoint now)
{
    const auto link = m_links.linkTo(endpoint.member.address);
    if (!link)
        return;
    wire::RecordsRequestT question;
    question.sequence = m_nextQuestion++;
    question.from = m_beliefs.version();
    question.members_from = m_membersKnownTo;
    m_proofQuestions[question.sequence] = { endpoint.member.name, now };
    wire::FrameT frame;
    frame.body.Set(question);
    link->send(frame);
}

// News travel at once; that nothing newer exists is proved by questions only, since a pushed frame may be held up on the way.
void Sidecar::pushConfiguration()
{
    wire::RecordsT news;
    news.next_offset = m_beliefs.version();
    news.snapshot = m_beliefs.document();
    wire::FrameT frame;
    frame.body.Set(std::move(news));
    for (const auto& [name, endpoint] : m_beliefs.endpoints().all()) {
        if (name == m_own.name || endpoint.member.zone != m_own.zone)
            continue;
        if (const auto link = m_links.linkTo(endpoint.member.address))
            link->send(frame);
    }
}

void Sidecar::answerProof(PeerLink& link, const wire::RecordsRequestT& question)
{
    const auto now = MonotonicClock::now();
    if (m_beliefs.proof().provenAt == TimePoint())
        return;
    wire::RecordsT answer;
    answer.sequence = question.sequence;
    answer.next_offset = m_beliefs.version();
    answer.log_age_us = static_cast<uint64_t>((now - m_beliefs.proof().provenAt).count());
    if (question.from < m_beliefs.version())
        answer.snapshot = m_beliefs.document();
    if (question.members_from < m_membersKnownTo)
        addMembers(answer, m_memberNews.since(question.members_from), question.members_from, m_membersKnownTo);
    wire::FrameT frame;
    frame.body.Set(std::move(answer));
    link.send(frame);
}

void Sidecar::takeProof(PeerLink& link, const wire::RecordsT& proof)
{
    const auto now = MonotonicClock::now();
    if (!proof.snapshot.empty() && proof.next_offset > m_beliefs.version())
        (void)m_beliefs.takeConfiguration(proof.snapshot, "peer");
    takeMemberNews(proof);
    const auto found = m_proofQuestions.find(proof.sequence);
    if (found == m_proofQuestions.end())
        return;
    const auto asked = found->second.asked;
    m_proofQuestions.erase(found);
    constexpr uint64_t longestAge = 3'600'000'000;
    const auto provenAt = asked - Duration(static_cast<int64_t>(std::min(proof.log_age_us, longestAge)));
    if (now - provenAt > m_settings.proofPatience)
        m_beliefs.endpoints().recordOldKnowledge(link.peer(), now);
    else
        m_beliefs.endpoints().recordFreshKnowledge(link.peer());
    if (proof.next_offset >= m_beliefs.version())
        m_beliefs.proof().record(provenAt);
}

// Time

void Sidecar::tick()
{
    const auto now = MonotonicClock::now();
    m_links.tick(now);
    m_rates.greet(now);
    renewProof(now);
    if (++m_ticks % ticksPerFlush)
        return;
    m_executor.tick();
    EventLog::flush();
}

} // namespace shallot
