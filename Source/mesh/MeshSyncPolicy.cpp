#include "mesh/MeshSyncPolicy.h"

#include "core/Digest.h"
#include "mesh/ConfigurationFreshness.h"
#include "mesh/MeshSettings.h"
#include "mesh/RemoteEndpoints.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace shallot {

MeshSyncPolicy::MeshSyncPolicy(
    const MeshSettings& settings, RemoteEndpoints& endpoints, ConfigurationFreshness& proof, MeshMember own)
    : m_settings(settings)
    , m_endpoints(endpoints)
    , m_proof(proof)
    , m_own(std::move(own))
    , m_random(static_cast<std::minstd_rand::result_type>(stableHash(m_own.name)))
{
}

SyncActions MeshSyncPolicy::planSync(TimePoint now)
{
    dropUnansweredQuestions(now);
    SyncActions steps;
    if (now - m_proof.confirmedAt > m_settings.proofPatience) {
        m_endpoints.recordOldKnowledge(m_own.name, now);
        askAtRandom(steps);
        steps.readsConfiguration = now - m_lastOwnRead >= m_settings.ownReadInterval;
        if (steps.readsConfiguration)
            m_lastOwnRead = now;
    }
    const auto readers = m_endpoints.readersOf(m_own.zone, m_settings.readersPerZone, now);
    const bool isReader
        = std::any_of(readers.begin(), readers.end(), [this](const auto* reader) { return reader->member.name == m_own.name; });
    // While nobody's knowledge is fresh, as when the store is down, each reads by itself once in a while (above).
    m_followsStore = steps.followsStore = isReader;
    if (!m_followsStore && !readers.empty() && now - m_lastQuestion >= m_settings.proofInterval) {
        m_lastQuestion = now;
        steps.syncTargets.push_back(readers[m_nextQuestion % readers.size()]->member.name);
    }
    if (isReader)
        compareWithAnotherZone(steps, now);
    if (now - m_lastTry >= m_settings.tryAgainInterval) {
        m_lastTry = now;
        if (const auto* lost = m_endpoints.nextToTryAgain(m_own.zone, now))
            steps.syncTargets.push_back(lost->member.name);
    }
    return steps;
}

void MeshSyncPolicy::askAtRandom(SyncActions& steps)
{
    const auto& all = m_endpoints.all();
    for (size_t i = 0; i < m_settings.questionsAtRandom && all.size() > 1; ++i) {
        const auto index = std::uniform_int_distribution<size_t>(0, all.size() - 1)(m_random);
        const auto& name = std::next(all.begin(), static_cast<ptrdiff_t>(index))->first;
        if (name != m_own.name && std::find(steps.syncTargets.begin(), steps.syncTargets.end(), name) == steps.syncTargets.end())
            steps.syncTargets.push_back(name);
    }
}

void MeshSyncPolicy::compareWithAnotherZone(SyncActions& steps, TimePoint now)
{
    if (now - m_lastComparison < m_settings.comparisonInterval)
        return;
    m_lastComparison = now;
    std::vector<const RemoteEndpoint*> others;
    for (const auto& [name, endpoint] : m_endpoints.all()) {
        if (endpoint.member.zone != m_own.zone && !endpoint.linkFailures)
            others.push_back(&endpoint);
    }
    if (!others.empty())
        steps.syncTargets.push_back(others[m_random() % others.size()]->member.name);
}

void MeshSyncPolicy::dropUnansweredQuestions(TimePoint now)
{
    for (auto it = m_questions.begin(); it != m_questions.end();) {
        if (now - it->second.asked < m_settings.proofTimeout) {
            ++it;
            continue;
        }
        m_endpoints.recordOldKnowledge(it->second.member, now);
        it = m_questions.erase(it);
        m_lastQuestion = {}; // The next reader is asked at once
    }
}

uint64_t MeshSyncPolicy::recordSyncRequest(const std::string& member, TimePoint now)
{
    m_questions[m_nextQuestion] = { member, now };
    return m_nextQuestion++;
}

void MeshSyncPolicy::recordSyncResponse(
    uint64_t question, const std::string& member, Duration proofAge, bool isCurrent, TimePoint now)
{
    const auto found = m_questions.find(question);
    if (found == m_questions.end())
        return;
    const auto confirmedAt = found->second.asked - proofAge;
    m_questions.erase(found);
    if (now - confirmedAt > m_settings.proofPatience)
        m_endpoints.recordOldKnowledge(member, now);
    else
        m_endpoints.recordFreshKnowledge(member);
    if (isCurrent)
        m_proof.record(confirmedAt);
}

void MeshSyncPolicy::recordStoreRead(TimePoint seenUntil)
{
    m_proof.record(seenUntil);
    m_endpoints.recordFreshKnowledge(m_own.name);
}

MemberListRepair MeshSyncPolicy::applyMemberUpdate(const MemberUpdate& update, TimePoint now)
{
    switch (m_members.take(update)) {
    case MemberList::Verdict::Whole:
        return MemberListRepair::None;
    case MemberList::Verdict::Gap:
        return MemberListRepair::ReadChanges;
    case MemberList::Verdict::Different:
        break;
    }
    return doubtList(now);
}

MemberListRepair MeshSyncPolicy::compareMemberLists(const MemberListState& other, TimePoint now)
{
    return m_members.differsFrom(other) ? doubtList(now) : MemberListRepair::None;
}

// Which of both lists has the holes cannot be told, so each daemon reads its own again, but not without end.
MemberListRepair MeshSyncPolicy::doubtList(TimePoint now)
{
    m_listInDoubt = true;
    if (m_lastRepair != TimePoint() && now - m_lastRepair < m_settings.repairInterval)
        return MemberListRepair::None;
    m_lastRepair = now;
    return MemberListRepair::ReadSnapshot;
}

} // namespace shallot
