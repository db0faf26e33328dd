// Index of this file
//   Store:   start, onConfigurationRead, takeConfiguration, onMembersRead, believe, noteMembersKnown, readAllMembers
//   Record:  takeOwnRecord, setOwnService, announceMembership, storeLeave
//   Peers:   tick, ask, onQuestion, onAnswer, pushConfiguration, greetMembers
//   Repair:  repair

#include "sidecar/MeshSync.h"

#include "core/EventLog.h"
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

constexpr auto appendTimeout = 1s;                  // The store answers within milliseconds; a slow one is asked again
constexpr auto leaveTimeout = 600ms;                // A backend server waits a second for its acknowledgement
constexpr auto appendRetry = 700ms;                 // After an append that failed or whose answer was lost
constexpr auto newestTimeout = 1500ms;              // Several times the slowest answer of a store that is not in trouble
constexpr size_t greetedMembers = 128;              // After a start; in a larger fleet the others learn with their next call
constexpr uint64_t longestProofAge = 3'600'000'000; // Microseconds: an hour proves as little as a day

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

MeshSync::MeshSync(
    const MeshSettings& settings, MeshView& beliefs, MeshLinks& links, platform::StoreClient& store, const MeshMember& own)
    : m_beliefs(beliefs)
    , m_links(links)
    , m_store(store)
    , m_own(own)
    , m_knowledge(settings, beliefs.endpoints(), beliefs.proof(), own)
    , m_configurationFollower(store, followConfiguration(settings),
          [this](const FollowedRead& read, TimePoint seenUntil) { onConfigurationRead(read, seenUntil); })
    , m_memberFollower(store, followMembers(), [this](const FollowedRead& read, TimePoint) { onMembersRead(read); })
{
}

// Store

void MeshSync::start()
{
    m_configurationFollower.start();
    m_memberFollower.start();
}

void MeshSync::onConfigurationRead(const FollowedRead& read, TimePoint seenUntil)
{
    for (const auto& record : read.records) {
        if (platform::isConfigurationRecord(record))
            takeConfiguration(record.value, "store");
    }
    m_knowledge.recordStoreRead(seenUntil);
}

void MeshSync::takeConfiguration(const std::string& document, const char* source)
{
    const auto before = m_beliefs.version();
    (void)m_beliefs.takeConfiguration(document, source); // Logs what it cannot read
    if (m_knowledge.followsStore() && m_beliefs.version() > before)
        pushConfiguration();
}

void MeshSync::onMembersRead(const FollowedRead& read)
{
    const auto members = decodeMembers(read.records);
    if (read.isNewest)
        m_knowledge.members().applySnapshot(read.next, members);
    else
        m_knowledge.members().applyRecords(read.from, read.next, members);
    believe(members);
    noteMembersKnown();
}

void MeshSync::believe(const std::vector<MeshMember>& members)
{
    for (const auto& member : members) {
        if (member.name != m_own.name)
            m_beliefs.takeMember(member);
        else
            takeOwnRecord(member);
    }
}

void MeshSync::noteMembersKnown()
{
    const auto& state = m_knowledge.members().state();
    if (!state.isKnown)
        return;
    m_memberFollower.advanceTo(state.offset);
    if (!m_beliefs.setMembersKnown())
        return;
    EventLog::write("members-known", { { "members", m_knowledge.members().size() }, { "offset", state.offset } });
    if (m_onListKnown)
        m_onListKnown(m_own.lastLeave);
    greetMembers();
    // A record that stands already would only wake the readers.
    m_membershipAnnounced = true;
    if (!m_membershipStored)
        announceMembership();
}

// All members at once, beside the reads of the follower, which may be held for long.
void MeshSync::readAllMembers()
{
    if (std::exchange(m_readingAll, true))
        return;
    m_store.readNewest(platform::StoreTopic::Members, newestTimeout, [this](const Result<platform::StoreRead>& read) {
        m_readingAll = false;
        if (!read) {
            EventLog::write("members-not-read", { { "detail", read.error().detail } });
            return;
        }
        onMembersRead({ read->records, read->nextOffset, read->nextOffset, true });
        m_knowledge.recordRepaired();
        const auto& state = m_knowledge.members().state();
        EventLog::write("members-read-again",
            { { "members", m_knowledge.members().size() }, { "offset", state.offset }, { "digest", state.digest } });
    });
}

// Record

// What this daemon wrote before a restart. A peer that gave the list first may not have known it.
void MeshSync::takeOwnRecord(const MeshMember& record)
{
    if (m_own.lastLeave.instance.empty() && !record.lastLeave.instance.empty()) {
        m_own.lastLeave = record.lastLeave;
        if (m_membershipAnnounced && m_onListKnown)
            m_onListKnown(m_own.lastLeave);
    }
    m_membershipStored = platform::encodeMember(record).value == platform::encodeMember(m_own).value;
}

void MeshSync::setOwnService(const std::string& service)
{
    m_own.service = service;
    if (m_membershipAnnounced)
        announceMembership();
}

void MeshSync::announceMembership()
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

void MeshSync::storeLeave(const EndpointLeave& leave, std::function<void()> done)
{
    m_own.lastLeave = leave;
    m_store.append(platform::StoreTopic::Members, platform::encodeMember(m_own), leaveTimeout,
        [this, done = std::move(done), instance = leave.instance](const Result<void>& result) {
            if (!result) {
                EventLog::write("leave-not-stored", { { "backend_server", instance }, { "detail", result.error().detail } });
                m_membershipRetry.startOnce(appendRetry, [this] { announceMembership(); });
            }
            done();
        });
}

// Peers

void MeshSync::tick(TimePoint now)
{
    const auto steps = m_knowledge.planSync(now);
    if (steps.readsConfiguration)
        m_configurationFollower.readOnce();
    m_configurationFollower.setPaused(!steps.followsStore);
    m_memberFollower.setPaused(!steps.followsStore);
    for (const auto& member : steps.syncTargets)
        ask(member, now);
}

void MeshSync::ask(const std::string& member, TimePoint now)
{
    const auto* endpoint = m_beliefs.endpoints().find(member);
    const auto link = endpoint ? m_links.linkTo(endpoint->member.address) : nullptr;
    if (!link)
        return;
    const auto& state = m_knowledge.members().state();
    wire::RecordsRequestT question;
    question.sequence = m_knowledge.recordSyncRequest(member, now);
    question.from = m_beliefs.version();
    question.members_known = state.isKnown;
    question.members_from = state.offset;
    question.members_digest = state.digest;
    wire::FrameT frame;
    frame.body.Set(question);
    link->send(frame);
}

void MeshSync::onQuestion(PeerLink& link, const wire::RecordsRequestT& question, TimePoint now)
{
    const MemberListState asker { question.members_known, question.members_from, question.members_digest };
    wire::RecordsT answer;
    answer.sequence = question.sequence;
    answer.next_offset = m_beliefs.version();
    const auto age = now - m_beliefs.proof().confirmedAt;
    answer.log_age_us = std::min(longestProofAge, static_cast<uint64_t>(std::max<int64_t>(0, age.count())));
    if (question.from < m_beliefs.version())
        answer.snapshot = m_beliefs.document();
    addMemberUpdate(answer, m_knowledge.members().updateFor(asker));
    wire::FrameT frame;
    frame.body.Set(std::move(answer));
    const auto peer = link.peer();
    link.send(frame);
    repair(m_knowledge.compareMemberLists(asker, now), "question", peer, asker);
}

void MeshSync::onAnswer(PeerLink& link, const wire::RecordsT& answer, TimePoint now)
{
    const auto& peer = link.peer();
    m_beliefs.endpoints().recordReachable(peer, now);
    if (!answer.snapshot.empty() && answer.next_offset > m_beliefs.version())
        takeConfiguration(answer.snapshot, "peer");
    const auto update = readMemberUpdate(answer);
    const auto known = m_knowledge.members().state().offset;
    const auto verdict = m_knowledge.applyMemberUpdate(update, now);
    if (m_knowledge.members().state().offset > known || update.isSnapshot)
        believe(update.members);
    noteMembersKnown();
    repair(verdict, "answer", peer, update.state);
    const Duration age(static_cast<int64_t>(std::min(answer.log_age_us, longestProofAge)));
    m_knowledge.recordSyncResponse(answer.sequence, peer, age, answer.next_offset >= m_beliefs.version(), now);
}

// News travel at once; that nothing newer exists is proved by questions only, since a pushed frame may be held up on the way.
void MeshSync::pushConfiguration()
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

// After a start: those that found this daemon gone may use it again.
void MeshSync::greetMembers()
{
    size_t greeted = 0;
    for (const auto& [name, endpoint] : m_beliefs.endpoints().all()) {
        if (name != m_own.name && greeted++ < greetedMembers)
            m_links.linkTo(endpoint.member.address);
    }
}

// Repair

void MeshSync::repair(MemberListRepair repair, const char* cause, const std::string& peer, const MemberListState& other)
{
    if (repair == MemberListRepair::None)
        return;
    const auto& own = m_knowledge.members().state();
    EventLog::write("member-list-differs",
        { { "peer", peer }, { "cause", cause }, { "whole_list_read", repair == MemberListRepair::ReadSnapshot },
            { "offset", own.offset }, { "digest", own.digest }, { "members", m_knowledge.members().size() },
            { "peer_offset", other.offset }, { "peer_digest", other.digest } });
    if (repair == MemberListRepair::ReadSnapshot)
        readAllMembers();
    else
        m_memberFollower.readOnce();
}

} // namespace shallot
