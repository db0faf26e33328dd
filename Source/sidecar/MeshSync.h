#pragma once

#include "mesh/MeshSyncPolicy.h"
#include "net/Timer.h"
#include "platform/StoreClient.h"
#include "sidecar/StoreFollower.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

namespace wire {
struct FrameT;
struct RecordsRequestT;
struct RecordsT;
} // namespace wire

class CrashSuspects;
class MeshView;
class MeshLinks;
class PeerLink;

// Synchronises the configuration and the member list between the store, the other daemons and this one, as MeshSyncPolicy
// decides.
class MeshSync {
public:
    MeshSync(const MeshSettings&, MeshView&, MeshLinks&, platform::StoreClient&, CrashSuspects&, const MeshMember& own);

    // Called when the member list is known, and again if it turns out later: with the last leave of a backend server beside this
    // daemon that was stored before the daemon started.
    void setFormerLeaveHandler(std::function<void(const EndpointLeave&)> handler) { m_onFormerLeave = std::move(handler); }
    void start();
    void tick(TimePoint now);
    // Stores the changed member record.
    void setOwnService(const std::string&);

    // Stores that the backend server leaves. The handler is called with true once the store has confirmed it, or with false if
    // it did not within a short time; the record is then stored later.
    void storeLeave(const EndpointLeave&, std::function<void(bool stored)> done);
    const EndpointLeave& storedLeave() const { return m_storedLeave; }

    void onSyncRequest(PeerLink&, const wire::RecordsRequestT&, TimePoint now);
    void onSyncResponse(PeerLink&, const wire::RecordsT&, TimePoint now);

    const MeshSyncPolicy& policy() const { return m_policy; }

private:
    void onConfigurationRead(const FollowerUpdate&, std::optional<TimePoint> seenUntil);
    void onMembersRead(const FollowerUpdate&);
    void applyConfiguration(const std::string& document, const char* source);
    void onStoreEra(uint64_t era);
    void applyMembers(const std::vector<MeshMember>&, uint64_t formerEra);
    void storeOwnRecordAgain();
    void repair(MemberListRepair, const char* cause, const std::string& peer, const MemberListState& other);
    void readAllMembers();
    void onMemberListUpdated();
    void applyOwnRecord(const MeshMember&);
    void publishOwnRecord();
    void publishCrashSuspects();
    void connectToMembers();
    void sendSyncRequest(const std::string& member, TimePoint now);
    void pushConfiguration();
    void applyEvacuations(const FollowerUpdate&, TimePoint now);
    void pushEvacuations();
    void pushToZone(const wire::FrameT&);

    MeshView& m_view;
    MeshLinks& m_links;
    platform::StoreClient& m_store;
    CrashSuspects& m_crashSuspects;
    MeshMember m_own;
    EndpointLeave m_storedLeave; // The last one that the store has confirmed
    MeshSyncPolicy m_policy;
    StoreFollower m_configurationFollower;
    StoreFollower m_memberFollower;
    std::function<void(const EndpointLeave&)> m_onFormerLeave;
    Timer m_ownRecordRetry;
    uint64_t m_publishedSuspects { 0 }; // CrashSuspects::revision() of the published records
    bool m_ownRecordStored { false };
    bool m_ownRecordPublished { false }; // Initial publication done or not needed; afterwards only changes are written
    bool m_readingAllMembers { false };
};

} // namespace shallot
