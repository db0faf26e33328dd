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
    Serving,   // Runs; its backend server, if it has one, takes work
    Draining,  // Runs, but takes no new work
    Suspected, // Missed probes
    Dead,      // Suspected for too long
    Left,      // Said goodbye
};

std::string_view toString(MemberStatus);

// One daemon as gossip spreads it.
struct GossipMember {
    std::string member;
    std::string zone;
    std::string address; // Peer link
    std::string service; // Of its backend server; empty when it has none
    uint32_t slots { 0 };
    uint64_t version { 0 }; // Raised by the member itself with each change
    MemberStatus status { MemberStatus::Serving };
};

struct GossipSettings {
    Duration probeInterval { std::chrono::milliseconds(500) };     // One probe each
    Duration probeTimeout { std::chrono::milliseconds(1000) };     // No acknowledgement by then: suspected
    Duration suspicionTimeout { std::chrono::milliseconds(2000) }; // Suspected for this long: dead
    Duration endedMemberRetention { std::chrono::minutes(5) };     // Dead or left members are dropped
    Duration deadProbeInterval { std::chrono::seconds(2) }; // Dead members are probed too, so that cut zones find each other
    size_t changesPerMessage { 8 };                         // Recent changes that one message carries
    size_t refreshesPerMessage { 1 };                       // Further entries in turn, so that lost changes heal
    unsigned transmissionsPerChange { 12 };                 // How often a change is passed on, about 3 log2 of the members
};

// Membership by probing and gossip: no full mesh, and constant traffic per member however large the fleet.
class GossipTable {
public:
    GossipTable(GossipSettings, GossipMember self, uint64_t seed);

    // The own entry changed.
    void updateSelf(std::string service, uint32_t slots, MemberStatus, TimePoint now);
    const GossipMember& self() const { return m_entries.at(m_selfName).member; }
    // Learns of a member from elsewhere, such as the log; does not replace what gossip knows.
    void addMember(const GossipMember&, TimePoint now);

    // Entries for the next message. A peer that has just started asks for the whole table.
    std::vector<GossipMember> takeUpdates(bool fullTable);
    // Takes what a message carried. Returns whether anything changed.
    bool merge(const std::vector<GossipMember>&, TimePoint now);

    // Member to probe now; empty when none is due. The caller reports the acknowledgement.
    std::string nextProbe(TimePoint now);
    void recordAcknowledgement(std::string_view member, TimePoint now);
    // Turns missed probes into suspicions and deaths. Returns whether anything changed.
    bool tick(TimePoint now);

    const GossipMember* find(std::string_view member) const;
    bool isAlive(std::string_view member) const;
    std::vector<const GossipMember*> members() const;
    TimePoint lastAcknowledged(std::string_view member) const;

private:
    struct Entry {
        GossipMember member;
        unsigned transmissionsLeft { 0 };
        TimePoint statusSince {}; // Of the present status
        TimePoint lastAcknowledged {};
        TimePoint probedAt {}; // Of the probe in progress; zero when none
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
