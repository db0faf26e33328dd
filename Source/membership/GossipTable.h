#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

enum class MemberStatus : uint8_t {
    Serving,   // Running; its backend server, if any, accepts work
    Draining,  // Running, but accepts no new work
    Suspected, // Did not acknowledge a probe in time
    Dead,      // Suspected for longer than the suspicion timeout
    Left,      // Announced that it leaves
};

std::string_view toString(MemberStatus);

// State of one daemon as gossip distributes it.
struct GossipMember {
    std::string member;
    std::string zone;
    std::string address; // "IP:port" of the peer link
    std::string service; // Service of its backend server; empty without one
    uint32_t slots { 0 };
    uint64_t version { 0 }; // Incremented by the member itself on each change
    MemberStatus status { MemberStatus::Serving };
};

struct GossipSettings {
    Duration probeInterval { std::chrono::milliseconds(500) };     // Time between probes
    Duration probeTimeout { std::chrono::milliseconds(1000) };     // Without an acknowledgement the member is then suspected
    Duration suspicionTimeout { std::chrono::milliseconds(2000) }; // A suspected member is then declared dead
    Duration endedMemberRetention { std::chrono::minutes(5) };     // Dead and left members are removed after this
    Duration deadProbeInterval { std::chrono::seconds(2) }; // Probes of dead members let the sides of a partition reconnect
    size_t changesPerMessage { 8 };                         // Maximum number of recent changes per message
    size_t refreshesPerMessage { 1 };       // Further entries in rotation, which repair lost changes (anti-entropy)
    unsigned transmissionsPerChange { 12 }; // Times that each member passes a change on: about 3 log2 of the number of members
};

// Membership and failure detection by probing and gossip, like SWIM: needs no full mesh, and the traffic per member does not grow
// with the fleet.
class GossipTable {
public:
    GossipTable(GossipSettings, GossipMember self, uint64_t seed);

    // Updates this member's own entry. A change increments its version.
    void updateSelf(std::string service, uint32_t slots, MemberStatus, TimePoint now);
    const GossipMember& self() const { return m_entries.at(m_selfName).member; }
    // Adds a member known from another source, such as the log. Does not replace an existing entry.
    void addMember(const GossipMember&, TimePoint now);

    // Entries for the next message; all of them with `fullTable`, which a peer requests when it starts.
    std::vector<GossipMember> takeUpdates(bool fullTable);
    // Merges the entries of a received message. Returns whether anything changed.
    bool merge(const std::vector<GossipMember>&, TimePoint now);

    // Member to probe now; empty when none is due. The caller reports the response with recordAcknowledgement().
    std::string nextProbe(TimePoint now);
    void recordAcknowledgement(std::string_view member, TimePoint now);
    // Marks members as suspected or dead after missed probes, and removes old entries. Returns whether anything changed.
    bool tick(TimePoint now);

    const GossipMember* find(std::string_view member) const;
    // Whether the member is known and neither dead nor left; a suspected member is alive.
    bool isAlive(std::string_view member) const;
    std::vector<const GossipMember*> members() const;
    TimePoint lastAcknowledged(std::string_view member) const;

private:
    struct Entry {
        GossipMember member;
        unsigned transmissionsLeft { 0 };
        TimePoint statusSince {}; // Start of the current status
        TimePoint lastAcknowledged {};
        TimePoint probedAt {}; // Send time of the unacknowledged probe; zero without one
    };

    bool mergeOne(const GossipMember&, TimePoint now);
    bool refute(const GossipMember&);
    void setStatus(Entry&, MemberStatus, TimePoint now);

    GossipSettings m_settings;
    std::string m_selfName;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::vector<std::string> m_probeOrder;
    std::string m_refreshCursor;
    TimePoint m_lastProbe {};
    TimePoint m_lastDeadProbe {};
    std::minstd_rand m_random;
};

} // namespace shallot
