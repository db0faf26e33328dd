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

// Input of one tick.
struct OwnershipView {
    const FleetState& fleetState;
    TimePoint logConfirmedAt {};          // Latest time at which the state was known to include the whole log
    std::vector<std::string> aliveInZone; // According to gossip; includes this member
    std::function<bool(const std::string& member)> isReportedDead; // According to gossip
};

// Log entries and messages that the caller sends after one tick.
struct OwnershipActions {
    std::vector<LogEntry> appends;                                 // No more are produced until onAppendsCompleted()
    std::vector<std::pair<std::string, std::string>> voteRequests; // (witness, member to revoke)
    std::vector<std::string> leaseRenewals;                        // Witnesses to ask for a renewal of this member's lease
};

// Maintains the ownership of the partitions of this zone's share, and the lease that lets this member lend what it owns.
//
// A member holds the lease for `ownerLeaseDuration`, on its own clock, after it has read the log to its end or a majority of its
// witnesses has renewed the lease. A member that seems dead is revoked by a log entry with the votes of a majority of its
// witnesses, and a witness that has voted never renews that member's lease again. A new owner waits until the old lease and its
// loans have expired (see takeoverWait()). Any two majorities share a witness, so two owners never lend the same share.
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
    // The entries of the last tick were applied, voided, or abandoned. `neverSent`: they are not in the log and never will be.
    void onAppendsCompleted(bool neverSent);

    // Handles a request for this witness's vote to revoke `member`. Returns true when the vote is cast; a vote is final.
    bool voteToRevoke(const std::string& member, bool isReportedDead);
    // Whether this witness renews the lease of `member`: until it votes to revoke it.
    bool renewsLeaseOf(const std::string& member) const { return !m_votedAgainst.contains(member); }
    // A witness voted to revoke `member`. Votes for another join entry than the current one are ignored.
    void onRevocationVote(const std::string& witness, const std::string& member, uint64_t joinOffset);
    // A witness granted a renewal request that was sent at `sentAt`; the lease counts from then.
    void onLeaseRenewed(const std::string& witness, TimePoint sentAt);

    // Whether this member holds its lease and may lend now.
    bool holdsLease(const FleetState&, TimePoint logConfirmedAt, TimePoint now) const;
    // Fraction of the plans that this member may lend for a partition now, in millionths; 0 while it is not the owner or still
    // waits for a previous owner's loans.
    uint32_t lendableFraction(const FleetState&, uint32_t partition, TimePoint now) const;
    // This zone's fraction of each plan by the configured zone weights, in millionths; 0 when the zone is not configured. Limits
    // lending while a partition is reduced to it.
    uint32_t targetFraction(const FleetState&) const;

    // Log entries that transfer all owned partitions to other members of the zone and end this membership; for a daemon that
    // leaves. The caller stops lending first.
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
        TimePoint since {}; // The smaller fraction has been in use since then
    };

    const LimitSettings& m_settings;
    std::string m_member;
    std::string m_zone;
    std::string m_address;
    std::map<uint32_t, OwnedPartition> m_owned;
    std::map<uint32_t, Resize> m_shrinking;
    std::set<std::string> m_votedAgainst;
    std::map<std::string, TimePoint> m_leaseRenewedAt;    // By witness: send time of the last request that it granted
    std::map<std::string, std::set<std::string>> m_votes; // By member to revoke: witnesses that voted
    std::map<std::string, uint64_t> m_voteJoinOffsets;    // By member to revoke: join offset that the votes are for
    std::vector<std::string> m_pendingWitnesses;          // Appended, but not applied yet
    TimePoint m_joinedAt {};
    TimePoint m_lastVoteRound {};
    TimePoint m_lastLeaseRenewal {};
    TimePoint m_lastWitnessChange {};
    bool m_appendPending { false };
};

// The candidate that should own the partition, by rendezvous hashing: all daemons with the same candidates choose the same one.
std::string preferredOwner(const std::vector<std::string>& candidates, const PartitionID&);

} // namespace shallot
