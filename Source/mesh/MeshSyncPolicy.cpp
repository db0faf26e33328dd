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
    const MeshSettings& settings, RemoteEndpoints& endpoints, ConfigurationFreshness& freshness, MeshMember own)
    : m_settings(settings)
    , m_endpoints(endpoints)
    , m_freshness(freshness)
    , m_own(std::move(own))
    , m_random(static_cast<std::minstd_rand::result_type>(stableHash(m_own.name)))
{
}

SyncActions MeshSyncPolicy::planSync(TimePoint now)
{
    expireSyncRequests(now);
    SyncActions actions;
    if (now - m_freshness.confirmedAt > m_settings.maximumConfirmationAge) {
        m_endpoints.recordStaleConfiguration(m_own.name, now);
        addRandomTargets(actions);
        actions.readsConfiguration = now - m_lastFallbackRead >= m_settings.fallbackReadInterval;
        if (actions.readsConfiguration)
            m_lastFallbackRead = now;
    }
    const auto readers = m_endpoints.readersOf(m_own.zone, m_settings.readersPerZone, now);
    const bool isReader
        = std::any_of(readers.begin(), readers.end(), [this](const auto* reader) { return reader->member.name == m_own.name; });
    // While no member has a fresh confirmation, for example because the store is down, the zone may have no store reader; each
    // member then reads the store at the fallback interval (above).
    m_followsStore = actions.followsStore = isReader;
    if (!m_followsStore && !readers.empty() && now - m_lastSyncRequest >= m_settings.syncInterval) {
        m_lastSyncRequest = now;
        actions.syncTargets.push_back(readers[m_nextRequest % readers.size()]->member.name);
    }
    if (isReader)
        addComparisonTarget(actions, now);
    if (now - m_lastProbe >= m_settings.probeInterval) {
        m_lastProbe = now;
        if (const auto* unreachable = m_endpoints.nextToProbe(m_own.zone, now))
            actions.syncTargets.push_back(unreachable->member.name);
    }
    return actions;
}

void MeshSyncPolicy::addRandomTargets(SyncActions& actions)
{
    const auto& all = m_endpoints.all();
    for (size_t i = 0; i < m_settings.randomSyncTargets && all.size() > 1; ++i) {
        const auto index = std::uniform_int_distribution<size_t>(0, all.size() - 1)(m_random);
        const auto& name = std::next(all.begin(), static_cast<ptrdiff_t>(index))->first;
        if (name != m_own.name
            && std::find(actions.syncTargets.begin(), actions.syncTargets.end(), name) == actions.syncTargets.end())
            actions.syncTargets.push_back(name);
    }
}

void MeshSyncPolicy::addComparisonTarget(SyncActions& actions, TimePoint now)
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
        actions.syncTargets.push_back(others[m_random() % others.size()]->member.name);
}

void MeshSyncPolicy::expireSyncRequests(TimePoint now)
{
    for (auto it = m_openRequests.begin(); it != m_openRequests.end();) {
        if (now - it->second.sentAt < m_settings.syncRequestTimeout) {
            ++it;
            continue;
        }
        m_endpoints.recordStaleConfiguration(it->second.member, now);
        it = m_openRequests.erase(it);
        m_lastSyncRequest = {}; // Sends a request to the next store reader at once
    }
}

uint64_t MeshSyncPolicy::recordSyncRequest(const std::string& member, TimePoint now)
{
    m_openRequests[m_nextRequest] = { member, now };
    return m_nextRequest++;
}

void MeshSyncPolicy::recordSyncResponse(
    uint64_t request, const std::string& member, Duration confirmationAge, bool isCurrent, TimePoint now)
{
    const auto found = m_openRequests.find(request);
    if (found == m_openRequests.end())
        return;
    const auto confirmedAt = found->second.sentAt - confirmationAge;
    m_openRequests.erase(found);
    if (now - confirmedAt > m_settings.maximumConfirmationAge)
        m_endpoints.recordStaleConfiguration(member, now);
    else
        m_endpoints.recordFreshConfiguration(member);
    if (isCurrent)
        m_freshness.confirm(confirmedAt);
}

void MeshSyncPolicy::recordStoreRead(TimePoint confirmedAt)
{
    m_freshness.confirm(confirmedAt);
    m_endpoints.recordFreshConfiguration(m_own.name);
}

MemberListRepair MeshSyncPolicy::applyMemberUpdate(const MemberUpdate& update, TimePoint now)
{
    switch (m_members.applyUpdate(update)) {
    case MemberList::UpdateResult::Consistent:
        return MemberListRepair::None;
    case MemberList::UpdateResult::Gap:
        return MemberListRepair::ReadChanges;
    case MemberList::UpdateResult::Diverged:
        break;
    }
    return markListInDoubt(now);
}

MemberListRepair MeshSyncPolicy::compareMemberLists(const MemberListState& other, TimePoint now)
{
    return m_members.differsFrom(other) ? markListInDoubt(now) : MemberListRepair::None;
}

Duration MeshSyncPolicy::delayOfRestoredRecord()
{
    const auto longest = static_cast<double>(m_endpoints.all().size()) / m_settings.restoredRecordsPerSecond;
    return fromSeconds(std::uniform_real_distribution<double>(0, longest)(m_random));
}

// Two lists that differ do not show which one is incomplete, so each daemon reads its own again, at most once per repair
// interval.
MemberListRepair MeshSyncPolicy::markListInDoubt(TimePoint now)
{
    m_listInDoubt = true;
    if (m_lastRepair != TimePoint() && now - m_lastRepair < m_settings.repairInterval)
        return MemberListRepair::None;
    m_lastRepair = now;
    return MemberListRepair::ReadSnapshot;
}

} // namespace shallot
