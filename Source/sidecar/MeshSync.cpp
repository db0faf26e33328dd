// Index of this file
//   Store:       start, onConfigurationRead, applyEvacuations, applyConfiguration
//   Members:     onMembersRead, onStoreEra, applyMembers, storeOwnRecordAgain, onMemberListUpdated, readAllMembers
//   Own record:  applyOwnRecord, setOwnService, publishOwnRecord, publishCrashSuspects, storeLeave
//   Peers:       tick, sendSyncRequest, onSyncRequest, onSyncResponse, connectToMembers
//   Pushes:      pushConfiguration, pushEvacuations, pushToZone
//   Repair:      repair

#include "sidecar/MeshSync.h"

#include "core/EventLog.h"
#include "mesh/CrashSuspects.h"
#include "platform/EvacuationCodec.h"
#include "platform/MemberCodec.h"
#include "sidecar/FollowSettings.h"
#include "sidecar/MeshFrames.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshView.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto appendTimeout = 1s;                // The store responds within milliseconds; after that the append is retried
constexpr auto leaveTimeout = 600ms;              // A backend server waits one second for the acknowledgement of its leave
constexpr auto appendRetryDelay = 700ms;          // After an append that failed or whose response was lost
constexpr auto snapshotTimeout = 1500ms;          // Several times the slowest response of a healthy store
constexpr size_t maximumInitialConnections = 128; // After a start; further members learn of this daemon with a later call
constexpr uint64_t maximumFreshnessAgeUs = 3'600'000'000; // One hour; older confirmations need not be told apart

std::vector<MeshMember> decodeMembers(const std::vector<platform::KeyedRecord>& records)
{
    std::vector<MeshMember> members;
    for (const auto& record : records) {
        if (auto member = platform::decodeMember(record))
            members.push_back(std::move(*member));
        else
            EventLog::write("member-unreadable", { { "key", record.key } });
    }
    return members;
}

} // namespace

MeshSync::MeshSync(const MeshSettings& settings, MeshView& view, MeshLinks& links, platform::StoreClient& store,
    CrashSuspects& crashSuspects, const MeshMember& own)
    : m_view(view)
    , m_links(links)
    , m_store(store)
    , m_crashSuspects(crashSuspects)
    , m_own(own)
    , m_policy(settings, view.endpoints(), view.freshness(), own)
    , m_configurationFollower(store, followConfiguration(settings),
          [this](const FollowerUpdate& read, std::optional<TimePoint> seenUntil) { onConfigurationRead(read, seenUntil); })
    , m_memberFollower(
          store, followMembers(), [this](const FollowerUpdate& read, std::optional<TimePoint>) { onMembersRead(read); })
{
    m_store.setEraHandler([this](uint64_t era) { onStoreEra(era); });
}

// Store

void MeshSync::start()
{
    m_configurationFollower.start();
    m_memberFollower.start();
}

void MeshSync::onConfigurationRead(const FollowerUpdate& read, std::optional<TimePoint> seenUntil)
{
    for (const auto& record : read.records) {
        if (platform::isConfigurationRecord(record))
            applyConfiguration(record.value, "store");
    }
    applyEvacuations(read, MonotonicClock::now());
    if (seenUntil)
        m_policy.recordStoreRead(*seenUntil);
}

void MeshSync::applyEvacuations(const FollowerUpdate& read, TimePoint now)
{
    std::vector<EvacuationRecord> records;
    for (const auto& record : read.records) {
        auto evacuation = platform::decodeEvacuation(record);
        if (!evacuation)
            continue;
        if (evacuation->kind == EvacuationRecord::Kind::Unreadable) {
            EventLog::write("evacuation-unreadable",
                { { "key", record.key }, { "offset", record.offset },
                    { "kept_evacuated", m_view.evacuations().isEvacuated(evacuation->zone) } });
        }
        records.push_back(std::move(*evacuation));
    }
    const TopicPosition position { read.era, read.next };
    const bool changed = read.isSnapshot ? m_view.applyEvacuationSnapshot(position, records, now)
                                         : m_view.applyEvacuationRecords(position, records, now);
    if (changed && m_policy.followsStore())
        pushEvacuations();
}

void MeshSync::applyConfiguration(const std::string& document, const char* source)
{
    const auto before = m_view.version();
    (void)m_view.applyConfiguration(document, source); // Logs documents that cannot be decoded
    if (m_policy.followsStore() && m_view.version() > before)
        pushConfiguration();
}

void MeshSync::onMembersRead(const FollowerUpdate& read)
{
    const auto members = decodeMembers(read.records);
    const auto formerEra = m_policy.members().state().era;
    if (read.isSnapshot)
        m_policy.members().applySnapshot(read.next, members, read.era);
    else
        m_policy.members().applyRecords(read.from, read.next, members, read.era);
    applyMembers(members, formerEra);
    onMemberListUpdated();
}

// The member follower may hold a read for long, so it is not what notices that the store came back from an earlier copy.
void MeshSync::onStoreEra(uint64_t era)
{
    const auto& state = m_policy.members().state();
    if (state.isKnown && state.era < era)
        readAllMembers();
}

void MeshSync::applyMembers(const std::vector<MeshMember>& members, uint64_t formerEra)
{
    const bool isNewEra = m_policy.members().state().era > formerEra && m_ownRecordPublished;
    if (isNewEra)
        m_ownRecordStored = false;
    for (const auto& member : members) {
        if (member.name == m_own.name) {
            applyOwnRecord(member);
            continue;
        }
        m_view.updateMember(member);
        m_crashSuspects.merge(member.crashSuspects, WallClock::now());
    }
    if (isNewEra)
        storeOwnRecordAgain();
}

// The earlier copy may lack what the store had confirmed since. All daemons find that out at the same time; leaves and crashes,
// which must not be forgotten by a restart, are stored at once.
void MeshSync::storeOwnRecordAgain()
{
    if (m_ownRecordStored)
        return;
    m_storedLeave = {};
    const bool urgent = !m_own.lastLeave.instance.empty() || !m_own.crashSuspects.empty();
    const auto delay = urgent ? Duration::zero() : m_policy.delayOfRestoredRecord();
    EventLog::write("own-record-lost",
        { { "era", m_policy.members().state().era }, { "left_instance", m_own.lastLeave.instance },
            { "crash_suspects", m_own.crashSuspects.size() }, { "stored_again_in_s", toSeconds(delay) } });
    m_ownRecordRetry.startOnce(delay, [this] {
        if (!m_ownRecordStored)
            publishOwnRecord();
    });
}

void MeshSync::onMemberListUpdated()
{
    const auto& state = m_policy.members().state();
    if (!state.isKnown)
        return;
    m_memberFollower.advanceTo(state.offset, state.era);
    if (!m_view.markMembersKnown())
        return;
    EventLog::write("members-known", { { "members", m_policy.members().size() }, { "offset", state.offset } });
    if (m_onFormerLeave)
        m_onFormerLeave(m_own.lastLeave);
    connectToMembers();
    // Storing an identical record again would only wake the readers.
    m_ownRecordPublished = true;
    if (!m_ownRecordStored)
        publishOwnRecord();
}

// Reads the whole member list, independent of the follower, whose read may be held for a long time.
void MeshSync::readAllMembers()
{
    if (std::exchange(m_readingAllMembers, true))
        return;
    m_store.readSnapshot(platform::StoreTopic::Members, snapshotTimeout, [this](const Result<platform::StoreRead>& read) {
        m_readingAllMembers = false;
        if (!read) {
            EventLog::write("members-not-read", { { "detail", read.error().detail } });
            return;
        }
        onMembersRead({ read->records, read->nextOffset, read->nextOffset, true, read->era });
        m_policy.recordRepaired();
        const auto& state = m_policy.members().state();
        EventLog::write("members-read-again",
            { { "members", m_policy.members().size() }, { "offset", state.offset }, { "digest", state.digest } });
    });
}

// Own record

// The record that this daemon stored before a restart. A peer that delivered the member list first may not have known it.
void MeshSync::applyOwnRecord(const MeshMember& record)
{
    if (m_own.lastLeave.instance.empty() && !record.lastLeave.instance.empty()) {
        m_own.lastLeave = record.lastLeave;
        m_storedLeave = record.lastLeave;
        if (m_ownRecordPublished && m_onFormerLeave)
            m_onFormerLeave(m_own.lastLeave);
    }
    m_crashSuspects.restore(record.crashSuspects, WallClock::now());
    if (!m_ownRecordPublished) {
        m_publishedSuspects = m_crashSuspects.revision();
        m_own.crashSuspects = m_crashSuspects.ownRecords(WallClock::now());
    }
    m_ownRecordStored = platform::encodeMember(record).value == platform::encodeMember(m_own).value;
}

void MeshSync::setOwnService(const std::string& service)
{
    m_own.service = service;
    if (m_ownRecordPublished)
        publishOwnRecord();
}

void MeshSync::publishOwnRecord()
{
    m_store.append(platform::StoreTopic::Members, platform::encodeMember(m_own), appendTimeout,
        [this, leave = m_own.lastLeave](const Result<void>& result) {
            m_ownRecordStored = result.has_value();
            if (m_ownRecordStored) {
                m_storedLeave = leave;
                return;
            }
            EventLog::write("membership-not-stored", { { "detail", result.error().detail } });
            m_ownRecordRetry.startOnce(appendRetryDelay, [this] { publishOwnRecord(); });
        });
}

void MeshSync::publishCrashSuspects()
{
    if (!m_ownRecordPublished || m_publishedSuspects == m_crashSuspects.revision())
        return;
    m_publishedSuspects = m_crashSuspects.revision();
    m_own.crashSuspects = m_crashSuspects.ownRecords(WallClock::now());
    publishOwnRecord();
}

void MeshSync::storeLeave(const EndpointLeave& leave, std::function<void(bool stored)> done)
{
    m_own.lastLeave = leave;
    m_store.append(platform::StoreTopic::Members, platform::encodeMember(m_own), leaveTimeout,
        [this, done = std::move(done), leave](const Result<void>& result) {
            if (result) {
                m_storedLeave = leave;
            } else {
                EventLog::write(
                    "leave-not-stored", { { "backend_server", leave.instance }, { "detail", result.error().detail } });
                m_ownRecordRetry.startOnce(appendRetryDelay, [this] { publishOwnRecord(); });
            }
            done(result.has_value());
        });
}

// Peers

void MeshSync::tick(TimePoint now)
{
    publishCrashSuspects();
    const auto actions = m_policy.planSync(now);
    if (actions.readsConfiguration)
        m_configurationFollower.readOnce();
    m_configurationFollower.setPaused(!actions.followsStore);
    m_memberFollower.setPaused(!actions.followsStore);
    for (const auto& member : actions.syncTargets)
        sendSyncRequest(member, now);
}

void MeshSync::sendSyncRequest(const std::string& member, TimePoint now)
{
    const auto* endpoint = m_view.endpoints().find(member);
    const auto link = endpoint ? m_links.linkTo(endpoint->member.address) : nullptr;
    if (!link)
        return;
    const auto& state = m_policy.members().state();
    wire::RecordsRequestT request;
    request.sequence = m_policy.recordSyncRequest(member, now);
    request.from = m_view.version();
    request.members_known = state.isKnown;
    request.members_from = state.offset;
    request.members_digest = state.digest;
    request.members_era = state.era;
    wire::FrameT frame;
    frame.body.Set(request);
    link->send(frame);
}

void MeshSync::onSyncRequest(PeerLink& link, const wire::RecordsRequestT& request, TimePoint now)
{
    const MemberListState requester { request.members_known, request.members_from, request.members_digest, request.members_era };
    wire::RecordsT response;
    response.sequence = request.sequence;
    response.next_offset = m_view.version();
    const auto age = now - m_view.freshness().confirmedAt;
    response.log_age_us = std::min(maximumFreshnessAgeUs, static_cast<uint64_t>(std::max<int64_t>(0, age.count())));
    if (request.from < m_view.version())
        response.snapshot = m_view.document();
    addMemberUpdate(response, m_policy.members().updateFor(requester));
    addEvacuations(response, m_view.evacuations());
    wire::FrameT frame;
    frame.body.Set(std::move(response));
    const auto peer = link.peer();
    link.send(frame);
    repair(m_policy.compareMemberLists(requester, now), "question", peer, requester);
}

void MeshSync::onSyncResponse(PeerLink& link, const wire::RecordsT& response, TimePoint now)
{
    const auto& peer = link.peer();
    m_view.endpoints().recordReachable(peer, now);
    if (!response.snapshot.empty() && response.next_offset > m_view.version())
        applyConfiguration(response.snapshot, "peer");
    if (response.operator_known) {
        const TopicPosition position { response.operator_era, response.operator_next };
        if (m_view.applyEvacuationCopy(position, readEvacuations(response), now) && m_policy.followsStore())
            pushEvacuations();
    }
    const auto update = readMemberUpdate(response);
    const auto former = m_policy.members().state();
    const auto repairAction = m_policy.applyMemberUpdate(update, now);
    if (former.isBehind(m_policy.members().state()))
        applyMembers(update.members, former.era);
    onMemberListUpdated();
    repair(repairAction, "answer", peer, update.state);
    const Duration age(static_cast<int64_t>(std::min(response.log_age_us, maximumFreshnessAgeUs)));
    m_policy.recordSyncResponse(response.sequence, peer, age, response.next_offset >= m_view.version(), now);
}

// Changes are pushed at once, but only a sync request can confirm that nothing newer exists: a pushed frame may be delayed on the
// way.
void MeshSync::pushConfiguration()
{
    wire::RecordsT update;
    update.next_offset = m_view.version();
    update.snapshot = m_view.document();
    wire::FrameT frame;
    frame.body.Set(std::move(update));
    pushToZone(frame);
}

void MeshSync::pushEvacuations()
{
    wire::RecordsT update;
    addEvacuations(update, m_view.evacuations());
    wire::FrameT frame;
    frame.body.Set(std::move(update));
    pushToZone(frame);
}

void MeshSync::pushToZone(const wire::FrameT& frame)
{
    for (const auto& [name, endpoint] : m_view.endpoints().all()) {
        if (name == m_own.name || endpoint.member.zone != m_own.zone)
            continue;
        if (const auto link = m_links.linkTo(endpoint.member.address))
            link->send(frame);
    }
}

// Connects after a start, so that members that found this daemon unreachable use it again.
void MeshSync::connectToMembers()
{
    size_t connected = 0;
    for (const auto& [name, endpoint] : m_view.endpoints().all()) {
        if (name != m_own.name && connected++ < maximumInitialConnections)
            m_links.linkTo(endpoint.member.address);
    }
}

// Repair

void MeshSync::repair(MemberListRepair repair, const char* cause, const std::string& peer, const MemberListState& other)
{
    if (repair == MemberListRepair::None)
        return;
    const auto& own = m_policy.members().state();
    EventLog::write("member-list-differs",
        { { "peer", peer }, { "cause", cause }, { "whole_list_read", repair == MemberListRepair::ReadSnapshot },
            { "offset", own.offset }, { "digest", own.digest }, { "era", own.era }, { "members", m_policy.members().size() },
            { "peer_offset", other.offset }, { "peer_digest", other.digest }, { "peer_era", other.era } });
    if (repair == MemberListRepair::ReadSnapshot)
        readAllMembers();
    else
        m_memberFollower.readOnce();
}

} // namespace shallot
