// Index of this file
//   Wiring:      constructor, start
//   Frames:      onFrame and the handlers of each message
//   Changes:     onFleetStateChanged, onMembershipChanged, updateOwnEntry, updateLogSources
//   Tick:        tick, controlTick, runOwnership, appendSnapshot
//   Leaving:     leave, continueLeaving
//   Inspection:  status

#include "daemon/Daemon.h"

#include "core/Digest.h"
#include "core/JSON.h"
#include "core/Log.h"
#include "core/Version.h"
#include "daemon/CallFrames.h"
#include "daemon/LoanFrames.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto tickInterval = 5ms;     // Period of the work that requests wait for
constexpr auto controlInterval = 50ms; // Period of the work whose cost grows with the number of members
constexpr auto seedProbeInterval = 2s;
constexpr auto controlAppendTimeout = 10s; // An ownership or snapshot entry not stored by then is decided again
constexpr auto handoverTimeout = 3s;       // A leaving daemon waits this long for its handover to be stored in the log
constexpr size_t minimumLogReaders = 2;    // In each zone
constexpr size_t membersPerLogReader = 10;

} // namespace

// Wiring

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
    , m_member(m_settings.name + "." + toHex(makeRandomRequestID()).substr(0, 8))
    , m_links({ m_member, m_settings.zone, m_settings.secret },
          { [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); },
              [this](PeerLink& link) { onLinkClosed(link); } })
    , m_crashes(m_settings.policy)
    , m_endpoints(m_settings.policy, m_settings.zone)
    , m_executor(m_settings.policy, m_crashes)
    , m_router(m_settings.policy, m_endpoints, m_links, m_executor, m_member)
    , m_appends({}, m_member)
    , m_logClient(m_settings.log)
    , m_follower(m_logClient, m_links, m_appends)
    , m_limits(m_limitSettings, m_member, m_settings.zone, m_settings.peer.toString(),
          { [this](const LoanRequestBatch& batch) { sendLoanRequests(batch); },
              [this] { m_ingress.retryHeld(MonotonicClock::now()); },
              [this](const std::string& member) { return m_gossipTable.isAlive(member); } })
    , m_gossipTable(m_settings.gossip, { m_member, m_settings.zone, m_settings.peer.toString(), {}, 0, 1, MemberStatus::Serving },
          stableHash(m_member))
    , m_gossiper(m_gossipTable, m_links, m_crashes, m_limits)
    , m_claims(m_follower.fleetState(), m_appends, m_links, m_member)
    , m_ingress({ m_index, m_settings.policy, m_limitSettings, m_router, m_limits, m_claims, m_crashes, m_metrics })
    , m_egress(m_executor, m_router, m_index, m_settings.policy)
    , m_admin({ m_follower.fleetState(), m_gossipTable, m_metrics, m_appends, m_settings.operators, [this] { return status(); },
          nullptr })
{
    m_executor.setChangeHandler([this] { updateOwnEntry(); });
    m_follower.setChangeHandler([this] { onFleetStateChanged(); });
    m_gossiper.setChangeHandler([this] { onMembershipChanged(); });
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    if (auto result = m_links.listen(m_settings.peer); !result)
        return result;
    if (auto result = m_egress.start(m_settings.egress); !result)
        return result;
    if (m_settings.allowFaults) {
        m_admin.setFaultHandler([this](const std::set<std::string>& blocked) {
            m_links.setBlocked(blocked);
            m_logClient.setBlocked(blocked.contains("log"));
        });
    }
    if (auto result = m_admin.start(m_settings.admin); !result)
        return result;
    if (auto result = m_ingress.start(m_settings.ingress, m_settings.ingressLimits); !result)
        return result;
    updateLogSources();
    m_ticker.startRepeating(tickInterval, [this] { tick(); });
    SHALLOT_LOG(INFO, "daemon") << "Member " << m_member << " in zone " << m_settings.zone << " accepts requests at "
                                << m_settings.ingress.toString() << ".";
    return {};
}

// Frames

void Daemon::onFrame(PeerLink& link, wire::FrameT& frame)
{
    const auto now = MonotonicClock::now();
    switch (frame.body.type) {
    case wire::Body::Call:
        onCall(link, frame);
        break;
    case wire::Body::Answer:
        if (!m_claims.onAnswer(link, *frame.body.AsAnswer()))
            m_router.onAnswer(link, *frame.body.AsAnswer());
        break;
    case wire::Body::Cancel:
        onCancel(link, frame.body.AsCancel()->id);
        break;
    case wire::Body::Gossip:
        m_gossiper.onGossip(link, *frame.body.AsGossip(), now);
        break;
    case wire::Body::RecordsRequest:
        m_follower.onRequest(link, *frame.body.AsRecordsRequest(), now);
        break;
    case wire::Body::Records:
        m_follower.onRecords(link, *frame.body.AsRecords(), now);
        break;
    case wire::Body::LoanRequests:
        onLoanRequests(link, frame);
        break;
    case wire::Body::Loans:
        onLoans(link, frame);
        break;
    case wire::Body::PromiseRequest:
        onVoteRequest(link, frame);
        break;
    case wire::Body::Promise:
        if (const auto* vote = frame.body.AsPromise(); vote->given)
            m_limits.ownership().onRevocationVote(link.peer(), vote->member, vote->join_offset);
        break;
    case wire::Body::ClaimQuery:
        m_claims.onQuery(link, *frame.body.AsClaimQuery(), now);
        break;
    case wire::Body::NONE:
    case wire::Body::Hello:
    case wire::Body::Proof:
    case wire::Body::GoAway: // Frames of the sidecar
    case wire::Body::CallQuery:
    case wire::Body::CallState:
        break;
    }
}

void Daemon::onCall(PeerLink& link, wire::FrameT& frame)
{
    auto& call = *frame.body.AsCall();
    const auto id = call.id;
    const RefPtr<PeerLink> callerLink(&link);
    const auto key = std::make_pair(static_cast<const PeerLink*>(&link), id);
    // Registered before the call starts, because it may complete at once.
    m_peerCalls[key] = 0;
    const auto context = readContext(call);
    const auto service = call.service;
    const auto executorCallID = m_executor.submit(
        context, service, readRequest(call), MonotonicClock::now(), [this, callerLink, id, key](const CallOutcome& outcome) {
            m_peerCalls.erase(key);
            callerLink->send(makeAnswerFrame(id, outcome));
        });
    if (const auto found = m_peerCalls.find(key); found != m_peerCalls.end())
        found->second = executorCallID;
}

void Daemon::onCancel(PeerLink& link, uint64_t id)
{
    const auto found = m_peerCalls.find({ &link, id });
    if (found == m_peerCalls.end())
        return;
    const auto executorCallID = found->second;
    m_peerCalls.erase(found);
    m_executor.cancel(executorCallID);
}

void Daemon::onLinkClosed(PeerLink& link)
{
    // Responses can no longer reach the callers behind the link, so their calls are cancelled; running non-idempotent ones
    // continue.
    std::vector<uint64_t> orphans;
    std::erase_if(m_peerCalls, [&](const auto& item) {
        if (item.first.first != &link)
            return false;
        orphans.push_back(item.second);
        return true;
    });
    for (const auto id : orphans)
        m_executor.cancel(id);
    m_router.onLinkClosed(link);
    m_claims.onLinkClosed(link);
    m_follower.onLinkClosed(link);
}

void Daemon::sendLoanRequests(const LoanRequestBatch& batch)
{
    const auto* lender = m_gossipTable.find(batch.lender);
    const auto link = lender ? m_links.linkTo(lender->address) : nullptr;
    if (link)
        link->send(makeLoanRequestsFrame(batch));
}

void Daemon::onLoanRequests(PeerLink& link, const wire::FrameT& frame)
{
    const auto& message = *frame.body.AsLoanRequests();
    const auto loans = m_limits.onRequests(link.peer(), readLoanRequests(message), MonotonicClock::now());
    link.send(makeLoansFrame(message.sequence, loans));
}

void Daemon::onLoans(PeerLink& link, const wire::FrameT& frame)
{
    const auto& message = *frame.body.AsLoans();
    m_limits.onLoans(link.peer(), message.sequence, readLoans(message), MonotonicClock::now());
}

void Daemon::onVoteRequest(PeerLink& link, const wire::FrameT& frame)
{
    const auto& request = *frame.body.AsPromiseRequest();
    wire::PromiseT vote;
    vote.member = request.member;
    vote.join_offset = request.join_offset;
    vote.given = m_limits.ownership().voteToRevoke(request.member, !m_gossipTable.isAlive(request.member));
    wire::FrameT response;
    response.body.Set(std::move(vote));
    link.send(response);
}

// Changes

void Daemon::onFleetStateChanged()
{
    const auto now = MonotonicClock::now();
    const auto& fleetState = m_follower.fleetState();
    if (fleetState.configuration().revision() != m_indexedRevision) {
        m_indexedRevision = fleetState.configuration().revision();
        m_index = ConfigurationIndex(fleetState.configuration().configuration());
        SHALLOT_LOG(INFO, "config") << "Configuration revision " << m_indexedRevision << " is in force.";
    }
    for (const auto& [name, member] : fleetState.membership().members()) {
        if (!member.endedOffset && name != m_member)
            m_gossipTable.addMember({ name, member.zone, member.address, {}, 0, 0, MemberStatus::Serving }, now);
    }
    updateLogSources();
    const auto* self = fleetState.membership().find(m_member);
    if (self && self->revoked && m_leaveStage == LeaveStage::None) {
        SHALLOT_LOG(WARNING, "daemon") << "Member " << m_member
                                       << " was revoked by a majority of its witnesses; leaving the fleet.";
        leave();
    }
}

void Daemon::onMembershipChanged()
{
    for (const auto* member : m_gossipTable.members()) {
        if (member->member == m_member || member->service.empty()) {
            if (member->member != m_member)
                m_endpoints.remove(member->member);
            continue;
        }
        Endpoint endpoint;
        endpoint.member = member->member;
        endpoint.zone = member->zone;
        endpoint.address = member->address;
        endpoint.service = member->service;
        endpoint.slots = std::max<uint32_t>(1, member->slots);
        endpoint.available = member->status == MemberStatus::Serving;
        m_endpoints.update(std::move(endpoint));
    }
    updateLogSources();
}

void Daemon::updateOwnEntry()
{
    const auto now = MonotonicClock::now();
    const auto& announcement = m_executor.announcement();
    Endpoint endpoint;
    endpoint.member = m_member;
    endpoint.zone = m_settings.zone;
    endpoint.service = announcement.service;
    endpoint.slots = announcement.slots;
    endpoint.available = m_executor.isAvailable();
    m_endpoints.update(std::move(endpoint));
    const bool serving = m_executor.isAvailable() || !m_executor.isAnnounced();
    const auto service = m_executor.isAnnounced() ? announcement.service : std::string();
    const auto status = m_leaveStage != LeaveStage::None || !serving ? MemberStatus::Draining : MemberStatus::Serving;
    m_gossipTable.updateSelf(service, announcement.slots, status, now);
    m_gossiper.announce(now);
}

std::vector<std::string> Daemon::aliveInZone() const
{
    std::vector<std::string> alive;
    for (const auto* member : m_gossipTable.members()) {
        if (member->zone == m_settings.zone && m_gossipTable.isAlive(member->member))
            alive.push_back(member->member);
    }
    return alive;
}

// The first members of each zone read the log service; the others read from them, or from any other member if they fail.
void Daemon::updateLogSources()
{
    const auto zone = aliveInZone();
    const auto rank = static_cast<size_t>(std::find(zone.begin(), zone.end(), m_member) - zone.begin());
    std::vector<std::string> relays;
    const size_t readers = std::max(minimumLogReaders, zone.size() / membersPerLogReader);
    for (size_t i = 0; i < zone.size() && i < readers; ++i) {
        if (zone[i] != m_member)
            relays.push_back(m_gossipTable.find(zone[i])->address);
    }
    // Distributes the other members over the readers.
    if (!relays.empty())
        std::rotate(relays.begin(), relays.begin() + static_cast<ptrdiff_t>(rank % relays.size()), relays.end());
    for (const auto* member : m_gossipTable.members()) {
        if (member->member != m_member && m_gossipTable.isAlive(member->member)
            && std::find(relays.begin(), relays.end(), member->address) == relays.end())
            relays.push_back(member->address);
    }
    relays.insert(relays.end(), m_settings.seeds.begin(), m_settings.seeds.end());
    std::erase(relays, m_settings.peer.toString());
    m_follower.setSources(std::move(relays), rank < readers);
}

// Tick

void Daemon::tick()
{
    const auto now = MonotonicClock::now();
    m_executor.tick(now);
    m_router.tick(now);
    m_logClient.tick(now);
    m_follower.tick(now);
    m_limits.exchangeLoans(now);
    m_ingress.tick(now);
    if (now - m_lastControlTick >= controlInterval) {
        m_lastControlTick = now;
        controlTick(now);
    }
    if (m_leaveStage != LeaveStage::None)
        continueLeaving(now);
}

void Daemon::controlTick(TimePoint now)
{
    m_gossiper.tick(now);
    runOwnership(now);
    appendSnapshot(now);
    m_claims.tick(now);
    m_crashes.expire(now);
    if (m_gossipTable.members().size() < 2 && now - m_lastSeedProbe >= seedProbeInterval) {
        m_lastSeedProbe = now;
        for (const auto& seed : m_settings.seeds)
            m_gossiper.probeAddress(seed, now);
    }
}

void Daemon::runOwnership(TimePoint now)
{
    const OwnershipView view { m_follower.fleetState(), m_follower.confirmedAt(), aliveInZone(),
        [this](const std::string& member) { return !m_gossipTable.isAlive(member); } };
    const auto actions = m_limits.tick(view, m_index, now);
    for (const auto& witness : actions.leaseRenewals)
        m_gossiper.requestLeaseRenewal(witness, now);
    for (const auto& [witness, member] : actions.voteRequests) {
        const auto* target = m_gossipTable.find(witness);
        const auto* suspect = m_follower.fleetState().membership().find(member);
        const auto link = target && suspect ? m_links.linkTo(target->address) : nullptr;
        if (!link)
            continue;
        wire::PromiseRequestT request;
        request.member = member;
        request.join_offset = suspect->joinOffset;
        wire::FrameT frame;
        frame.body.Set(std::move(request));
        link->send(frame);
    }
    for (const auto& entry : actions.appends) {
        ++m_pendingAppends;
        m_appends.push(entry, now + controlAppendTimeout, [this](const Result<uint64_t>& result) {
            const bool neverSent = !result && result.error().kind == ErrorKind::LogUnavailable;
            if (!--m_pendingAppends)
                m_limits.ownership().onAppendsCompleted(neverSent);
        });
    }
}

// One member of the fleet appends the whole state to the log before the records that it was computed from expire.
void Daemon::appendSnapshot(TimePoint now)
{
    const auto& fleetState = m_follower.fleetState();
    if (m_snapshotPending || !fleetState.isSnapshotDue())
        return;
    std::vector<std::string> alive;
    for (const auto* member : m_gossipTable.members()) {
        if (m_gossipTable.isAlive(member->member))
            alive.push_back(member->member);
    }
    if (preferredOwner(alive, { "snapshot", 0 }) != m_member)
        return;
    m_snapshotPending = true;
    SHALLOT_LOG(INFO, "log") << "Appending a snapshot of the fleet state up to log offset " << fleetState.nextOffset() << ".";
    m_appends.push(SnapshotEntry { fleetState.nextOffset(), fleetState.serialize() }, now + controlAppendTimeout,
        [this](const Result<uint64_t>&) { m_snapshotPending = false; });
}

// Leaving

void Daemon::leave()
{
    if (m_leaveStage != LeaveStage::None)
        return;
    SHALLOT_LOG(INFO, "daemon") << "Leaving the fleet with " << m_ingress.inProgress() << " requests in progress.";
    m_leaveStage = LeaveStage::Announced;
    m_leaveStarted = MonotonicClock::now();
    m_executor.setLeaving();
    m_egress.startLeaving();
    m_admin.startLeaving();
    updateOwnEntry();
}

void Daemon::continueLeaving(TimePoint now)
{
    const auto passed = now - m_leaveStarted;
    if (m_leaveStage == LeaveStage::Announced && passed >= m_settings.drainGrace) {
        m_ingress.startDraining();
        const bool busy = m_ingress.inProgress() || m_executor.running() || m_executor.queued() || m_router.pending();
        if (busy && passed < m_settings.drainMaximum)
            return;
        m_leaveStage = LeaveStage::HandingOver;
        m_leaveStarted = now;
        for (const auto& entry : m_limits.leave(m_follower.fleetState(), aliveInZone(), now)) {
            ++m_pendingAppends;
            m_appends.push(entry, now + handoverTimeout, [this](const Result<uint64_t>&) { --m_pendingAppends; });
        }
        return;
    }
    if (m_leaveStage == LeaveStage::HandingOver && (!m_pendingAppends || passed >= handoverTimeout + 1s)) {
        m_leaveStage = LeaveStage::Done;
        m_gossipTable.updateSelf({}, 0, MemberStatus::Left, now);
        m_gossiper.announce(now);
        SHALLOT_LOG(INFO, "daemon") << "Left the fleet; the process stops.";
        if (m_onLeaveCompleted)
            m_onLeaveCompleted();
    }
}

// Inspection

std::string Daemon::status() const
{
    const auto now = MonotonicClock::now();
    const auto& fleetState = m_follower.fleetState();
    const auto& counters = m_router.counters();
    const auto& executor = m_executor.counters();
    size_t ownedParts = 0;
    for (const auto& [id, ownership] : fleetState.ownerships().partitions())
        ownedParts += ownership.owner == m_member ? 1 : 0;
    JSONWriter writer;
    writer.beginObject().add("version", versionText).add("member", m_member).add("zone", m_settings.zone);
    writer.beginObject("log").add("nextOffset", fleetState.nextOffset()).add("revision", fleetState.configuration().revision());
    writer.add("skippedRecords", fleetState.skippedRecords()).add("reader", m_follower.readsLog());
    writer.add("ageSeconds", m_follower.confirmedAt() == TimePoint() ? -1.0 : toSeconds(now - m_follower.confirmedAt()));
    writer.add("appends", m_appends.appends()).endObject();
    writer.beginObject("backend").add("announced", m_executor.isAnnounced()).add("available", m_executor.isAvailable());
    writer.add("running", static_cast<uint64_t>(m_executor.running())).add("queued", static_cast<uint64_t>(m_executor.queued()));
    writer.add("limit", m_executor.limit(now)).add("level", static_cast<double>(m_executor.level()));
    writer.add("completed", executor.completed).add("shedByLevel", executor.shedByLevel).add("shedByQueue", executor.shedByQueue);
    writer.add("expired", executor.expired).add("failed", executor.failed).endObject();
    writer.beginObject("calls").add("started", counters.calls).add("pending", static_cast<uint64_t>(m_router.pending()));
    writer.add("retries", counters.retries).add("reroutes", counters.reroutes).add("succeeded", counters.succeeded);
    writer.add("refused", counters.refused).add("failed", counters.failed).endObject();
    writer.beginObject("limits").add("ownedParts", static_cast<uint64_t>(ownedParts)).add("lending", m_limits.isLending());
    writer.add("lenderAccounts", static_cast<uint64_t>(m_limits.lender().accounts())).endObject();
    writer.beginObject("ingress").add("inProgress", static_cast<uint64_t>(m_ingress.inProgress()));
    writer.add("held", static_cast<uint64_t>(m_ingress.held()))
        .add("keptAnswers", static_cast<uint64_t>(m_claims.cachedResponses()))
        .endObject();
    writer.beginObject("links")
        .add("open", static_cast<uint64_t>(m_links.linkCount()))
        .add("bytesSent", m_links.bytesSent())
        .endObject();
    writer.add("leaving", m_leaveStage != LeaveStage::None).endObject();
    return writer.finish(true);
}

} // namespace shallot
