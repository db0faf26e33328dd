#pragma once

#include "core/Time.h"
#include "mesh/MemberList.h"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

class RemoteEndpoints;
struct ConfigurationFreshness;
struct MeshSettings;

// What a daemon must do now to keep its configuration and member list complete and fresh.
struct SyncActions {
    bool followsStore { true };           // Act as the zone's store reader: hold reads at the store
    bool readsConfiguration { false };    // Read the configuration from the store once, without holding the read
    std::vector<std::string> syncTargets; // Members to send a sync request to
};

// How to repair a member list with missing records.
enum class MemberListRepair : uint8_t {
    None,
    ReadChanges,  // Read the records after the known offset from the store
    ReadSnapshot, // Read all members from the store
};

// Decides from where a daemon synchronises its configuration and its member list.
// - One store reader per zone holds reads at the store. The other daemons of the zone send it sync requests. One response
//   confirms that the configuration is the newest, or brings the newer one, and carries the changes of the member list.
// - A daemon without a fresh confirmation reads the store directly once in a while and sends sync requests to random members,
//   one of which may reach the store.
// - Store readers compare their member lists with another zone's, so that no zone keeps an incomplete list.
// - Unreachable members of the own zone are probed, so that its daemons agree on a store reader.
// Designed for hundreds of daemons that start at once, a store that charges for each call, and store readers that fail or lag.
class MeshSyncPolicy {
public:
    MeshSyncPolicy(const MeshSettings&, RemoteEndpoints&, ConfigurationFreshness&, MeshMember own);

    // Called at each tick. The caller carries the returned actions out at once.
    SyncActions planSync(TimePoint now);
    bool followsStore() const { return m_followsStore; }

    // Records a sync request that is being sent. Returns its number, which the response repeats.
    uint64_t recordSyncRequest(const std::string& member, TimePoint now);
    // Records the response of a member whose own confirmation had that age. `isCurrent`: its configuration is not older than this
    // daemon's. Unknown or expired numbers are ignored.
    void recordSyncResponse(uint64_t request, const std::string& member, Duration confirmationAge, bool isCurrent, TimePoint now);
    // A read of the store showed that nothing newer existed at that time.
    void recordStoreRead(TimePoint confirmedAt);

    MemberList& members() { return m_members; }
    const MemberList& members() const { return m_members; }
    MemberListRepair applyMemberUpdate(const MemberUpdate&, TimePoint now);
    // Compares with the list state in another daemon's sync request.
    MemberListRepair compareMemberLists(const MemberListState&, TimePoint now);
    // Another list with the same offset differed, and this one has not been read again since.
    bool isListInDoubt() const { return m_listInDoubt; }
    // When to store the own record again after the store lost it: at a random time, since all daemons notice that together.
    Duration delayOfRestoredRecord();
    // All members have been read from the store.
    void recordRepaired() { m_listInDoubt = false; }

private:
    struct SyncRequest {
        std::string member;
        TimePoint sentAt {};
    };

    void expireSyncRequests(TimePoint now);
    void addRandomTargets(SyncActions&);
    void addComparisonTarget(SyncActions&, TimePoint now);
    MemberListRepair markListInDoubt(TimePoint now);

    const MeshSettings& m_settings;
    RemoteEndpoints& m_endpoints;
    ConfigurationFreshness& m_freshness;
    MeshMember m_own;
    MemberList m_members;
    std::unordered_map<uint64_t, SyncRequest> m_openRequests; // By number
    uint64_t m_nextRequest { 1 };
    TimePoint m_lastSyncRequest {};
    TimePoint m_lastFallbackRead {}; // Of the configuration, without a fresh confirmation
    TimePoint m_lastComparison {};   // With a member list of another zone
    TimePoint m_lastRepair {};       // Of the member list
    TimePoint m_lastProbe {};        // Of an unreachable member of the zone
    std::minstd_rand m_random;
    bool m_followsStore { true };
    bool m_listInDoubt { false };
};

} // namespace shallot
