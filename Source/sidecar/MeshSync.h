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
    void setListKnownHandler(std::function<void(const EndpointLeave&)> handler) { m_onListKnown = std::move(handler); }
    void start();
    void tick(TimePoint now);
    // Writes the changed record into the store.
    void setOwnService(const std::string&);

    // Writes into the store that the backend server leaves; the handler is called once that stands there, or soon when it cannot.
    void storeLeave(const EndpointLeave&, std::function<void()> done);
    const EndpointLeave& storedLeave() const { return m_own.lastLeave; }

    void onQuestion(PeerLink&, const wire::RecordsRequestT&, TimePoint now);
    void onAnswer(PeerLink&, const wire::RecordsT&, TimePoint now);

    const MeshSyncPolicy& knowledge() const { return m_knowledge; }

private:
    void onConfigurationRead(const FollowedRead&, TimePoint seenUntil);
    void onMembersRead(const FollowedRead&);
    void takeConfiguration(const std::string& document, const char* source);
    void believe(const std::vector<MeshMember>&);
    void repair(MemberListRepair, const char* cause, const std::string& peer, const MemberListState& other);
    void readAllMembers();
    void noteMembersKnown();
    void takeOwnRecord(const MeshMember&);
    void announceMembership();
    void greetMembers();
    void ask(const std::string& member, TimePoint now);
    void pushConfiguration();

    MeshView& m_beliefs;
    MeshLinks& m_links;
    platform::StoreClient& m_store;
    MeshMember m_own;
    MeshSyncPolicy m_knowledge;
    StoreFollower m_configurationFollower;
    StoreFollower m_memberFollower;
    std::function<void(const EndpointLeave&)> m_onListKnown;
    Timer m_membershipRetry;
    bool m_membershipStored { false };
    bool m_membershipAnnounced { false }; // Once; later only changes are written
    bool m_readingAll { false };
};

} // namespace shallot
