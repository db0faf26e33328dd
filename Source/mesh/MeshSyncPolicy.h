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

// What a daemon does next to keep its knowledge whole and fresh.
struct SyncActions {
    bool followsStore { true };           // Hold reads at the store on behalf of the zone
    bool readsConfiguration { false };    // Ask the store once
    std::vector<std::string> syncTargets; // Members that get a question
};

// What a daemon does about a member list that turned out to have holes.
enum class MemberListRepair : uint8_t {
    None,
    ReadChanges,  // From the offset known, at the store
    ReadSnapshot, // All members, at the store
};

// Decides where a daemon gets its knowledge of the fleet from. One reader a zone holds reads at the store; the others ask it
// and get, with one answer, the proof that a configuration is the newest, what is new in it, and the changes of the member
// list. Whoever gets no fresh answer reads by itself and asks members at random, of which one may be in touch with the store.
// Readers compare their member lists with another zone's, so no zone keeps a list with holes. Lost members of the own zone are
// tried again, so its daemons agree on a reader. The load it answers: hundreds of daemons that start at once, a store with a
// price for each call, readers that die or fall behind.
class MeshSyncPolicy {
public:
    MeshSyncPolicy(const MeshSettings&, RemoteEndpoints&, ConfigurationFreshness&, MeshMember own);

    // Called at each tick; what it says is to be done at once.
    SyncActions planSync(TimePoint now);
    bool followsStore() const { return m_followsStore; }

    // Number of a question that goes out now; the answer repeats it.
    uint64_t recordSyncRequest(const std::string& member, TimePoint now);
    // The answer of a member whose proof was that old. `isCurrent`: its configuration is not older than the own one.
    void recordSyncResponse(uint64_t request, const std::string& member, Duration confirmationAge, bool isCurrent, TimePoint now);
    // The store had nothing newer at that time.
    void recordStoreRead(TimePoint confirmedAt);

    MemberList& members() { return m_members; }
    const MemberList& members() const { return m_members; }
    MemberListRepair applyMemberUpdate(const MemberUpdate&, TimePoint now);
    // Another daemon's list, as its question tells it.
    MemberListRepair compareMemberLists(const MemberListState&, TimePoint now);
    // A list known equally far was not the same, and this one has not been read again since.
    bool isListInDoubt() const { return m_listInDoubt; }
    // All members were read at the store.
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
    std::unordered_map<uint64_t, SyncRequest> m_openRequests; // Open ones, by number
    uint64_t m_nextRequest { 1 };
    TimePoint m_lastSyncRequest {};
    TimePoint m_lastFallbackRead {}; // Of the configuration, while no answer is fresh
    TimePoint m_lastComparison {};   // With another zone
    TimePoint m_lastRepair {};       // Of the member list
    TimePoint m_lastProbe {};        // To reach a member of the zone that was lost
    std::minstd_rand m_random;
    bool m_followsStore { true };
    bool m_listInDoubt { false };
};

} // namespace shallot
