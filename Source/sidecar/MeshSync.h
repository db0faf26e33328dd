#pragma once

#include "mesh/MeshSyncPolicy.h"
#include "net/Timer.h"
#include "platform/StoreClient.h"
#include "sidecar/StoreFollower.h"

#include <functional>
#include <string>
#include <vector>

namespace shallot {

namespace wire {
struct RecordsRequestT;
struct RecordsT;
} // namespace wire

class MeshView;
class MeshLinks;
class PeerLink;

// Carries knowledge of the configuration and of the member list between the store, the other daemons and this one, as
// MeshSyncPolicy decides.
class MeshSync {
public:
    MeshSync(const MeshSettings&, MeshView&, MeshLinks&, platform::StoreClient&, const MeshMember& own);

    // Called once the member list is known, and when it turns out later: the last leave beside this daemon, from before its
    // start.
    void setFormerLeaveHandler(std::function<void(const EndpointLeave&)> handler) { m_onFormerLeave = std::move(handler); }
    void start();
    void tick(TimePoint now);
    // Writes the changed record into the store.
    void setOwnService(const std::string&);

    // Writes into the store that the backend server leaves; the handler is called once that stands there, or soon when it cannot.
    void storeLeave(const EndpointLeave&, std::function<void()> done);
    const EndpointLeave& storedLeave() const { return m_own.lastLeave; }

    void onSyncRequest(PeerLink&, const wire::RecordsRequestT&, TimePoint now);
    void onSyncResponse(PeerLink&, const wire::RecordsT&, TimePoint now);

    const MeshSyncPolicy& policy() const { return m_policy; }

private:
    void onConfigurationRead(const FollowerUpdate&, TimePoint seenUntil);
    void onMembersRead(const FollowerUpdate&);
    void applyConfiguration(const std::string& document, const char* source);
    void applyMembers(const std::vector<MeshMember>&);
    void repair(MemberListRepair, const char* cause, const std::string& peer, const MemberListState& other);
    void readAllMembers();
    void onMemberListUpdated();
    void applyOwnRecord(const MeshMember&);
    void publishOwnRecord();
    void connectToMembers();
    void sendSyncRequest(const std::string& member, TimePoint now);
    void pushConfiguration();

    MeshView& m_view;
    MeshLinks& m_links;
    platform::StoreClient& m_store;
    MeshMember m_own;
    MeshSyncPolicy m_policy;
    StoreFollower m_configurationFollower;
    StoreFollower m_memberFollower;
    std::function<void(const EndpointLeave&)> m_onFormerLeave;
    Timer m_ownRecordRetry;
    bool m_ownRecordStored { false };
    bool m_ownRecordPublished { false }; // Once; later only changes are written
    bool m_readingAllMembers { false };
};

} // namespace shallot
