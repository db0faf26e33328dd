#pragma once

#include "limits/LimitSettings.h"
#include "limits/OwnershipTable.h"
#include "log/LogEntry.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallot {

class FleetState;

// What the system knows of the world at one tick.
struct OwnershipView {
    const FleetState& fleetState;
    TimePoint logConfirmedAt {};                                   // Latest time at which the fold was the whole log
    std::vector<std::string> aliveInZone;                          // By gossip, this member included
    std::function<bool(const std::string& member)> isReportedDead; // By gossip
};

// What the caller has to do after one tick.
struct OwnershipActions {
    std::vector<LogEntry> appends;                                 // One at a time: the next tick waits for their fate
    std::vector<std::pair<std::string, std::string>> voteRequests; // (witness, member it should no longer vouch for)
    std::vector<std::string> leaseRenewals;                        // Witnesses to ask whether they still vouch for this member
};

// Decides who owns the parts of this zone's share, and whether this member may still lend what it owns.
//
// A member lends only while, within the contact lapse on its own clock, it has seen the end of the log or a majority of
// its witnesses has vouched for it. A majority of the same witnesses must promise not to vouch any more before the log
// ends the member, and a new owner waits out the lapse and the loans. The two majorities share a witness, so two owners
// never lend the same share.
class OwnershipSystem {
public:
    OwnershipSystem(const LimitSettings& settings, std::string member, std::string zone, std::string address)
        : m_settings(settings)
        , m_member(std::move(member))
        , m_zone(std::move(zone))
        , m_address(std::move(address))
    {
    }

    OwnershipActions tick(const OwnershipView&, TimePoint now);
    // The appends of the last tick were folded, or never sent.
    void onAppendsCompleted(bool neverSent);

    // Another member asks for a promise not to vouch for `member`. A promise is for ever.
    bool voteToRevoke(const std::string& member, bool isReportedDead);
    bool renewsLeaseOf(const std::string& member) const { return !m_votedAgainst.contains(member); }
    void onRevocationVote(const std::string& witness, const std::string& member, uint64_t joinOffset);
    // A witness answered a probe sent at `sentAt`.
    void onLeaseRenewed(const std::string& witness, TimePoint sentAt);

    // Whether this member may lend now.
    bool holdsLease(const FleetState&, TimePoint logConfirmedAt, TimePoint now) const;
    // Part of the plans that this member may lend for a part now, in millionths; 0 when it does not own it or has to wait.
    uint32_t lendableFraction(const FleetState&, uint32_t partition, TimePoint now) const;
    // What the member may lend at most while it is about to give some of the part back.
    uint32_t targetFraction(const FleetState&) const;

    // Hands all own parts to other members of the zone; for a daemon that leaves. Lending has stopped before.
    std::vector<LogEntry> transferAll(const FleetState&, const std::vector<std::string>& successors, TimePoint now) const;

private:
    void updateOwnedPartitions(const FleetState&, TimePoint now);
    void maintainMembership(const OwnershipView&, OwnershipActions&, TimePoint now);
    void claimPartitions(const OwnershipView&, OwnershipActions&, TimePoint now);
    void revokeDeadMembers(const OwnershipView&, OwnershipActions&, TimePoint now);
    std::vector<std::string> chooseWitnesses(const OwnershipView&) const;
    bool isLeaseRenewedBy(const std::vector<std::string>& witnesses, TimePoint now) const;

    struct OwnedPartition {
        uint64_t epoch { 0 };
        TimePoint lendableFrom {};
    };

    struct Resize {
        TimePoint since {}; // Lending at the smaller fraction since then
    };

    const LimitSettings& m_settings;
    std::string m_member;
    std::string m_zone;
    std::string m_address;
    std::map<uint32_t, OwnedPartition> m_owned;
    std::map<uint32_t, Resize> m_shrinking;
    std::set<std::string> m_votedAgainst;
    std::map<std::string, TimePoint> m_leaseRenewedAt;    // By witness: when the probe it answered was sent
    std::map<std::string, std::set<std::string>> m_votes; // By dead member
    std::map<std::string, uint64_t> m_voteJoinOffsets;    // By dead member: its join offset
    std::vector<std::string> m_pendingWitnesses;          // Appended, but not read back yet
    TimePoint m_joinedAt {};
    TimePoint m_lastVoteRound {};
    TimePoint m_lastLeaseRenewal {};
    TimePoint m_lastWitnessChange {};
    bool m_appendPending { false };
};

// The member among `candidates` that should own the part; all daemons agree when they see the same candidates.
std::string preferredOwner(const std::vector<std::string>& candidates, const PartitionID&);

} // namespace shallot
