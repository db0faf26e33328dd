#pragma once

#include "core/Time.h"
#include "limits/TokenBucket.h"
#include "mesh/RatePlan.h"

#include <map>
#include <string>

namespace shallot {

struct MeshSettings;

// Token buckets of one partition of the organisations, run by the ledger's owner for all members that can reach it. Every member
// holds an equal share of each rate. A member that reaches no ledger grants from its share itself (LocalRateShares); a ledger
// grants only from the shares of members that contacted it within MeshSettings::shareLease. Both sides of a network partition
// together therefore stay within the rate without communicating. A new owner does not grant from a member's share until the
// lease of the previous owner on it has expired, unless the ledger was handed over. Keeps organisations within their plans when
// they send more requests than the plan allows, also while a service refuses some of these: a refused request uses no token.
class RateLedger {
public:
    explicit RateLedger(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // Records a message of that member, which renews the lease on its share. `switchedAgo`: time since its last message to the
    // previous owner (LedgerOwnerTracker); zero without one.
    void recordContact(const std::string& member, Duration switchedAgo, TimePoint now);
    RateGrant grant(const std::string& organisation, unsigned wanted, const RatePlan&, size_t members, TimePoint now);
    // Adds unused tokens back, up to the burst, and debits the tokens that a member spent from its local share while this ledger
    // granted from that share, too.
    void settle(const std::string& organisation, const RateSettlement&, const RatePlan&, size_t members, TimePoint now);
    // The same for an organisation whose plan this member does not know yet: the tokens spent are debited once it is known.
    void settleUnknown(const std::string& organisation, const RateSettlement&);

    // Ends this ledger and returns its tokens by organisation, for the next owner; none if the members use another ledger now.
    // Grants nothing until a member contacts it again.
    std::map<std::string, double> handOver(TimePoint now);
    // Continues with the previous owner's tokens, without the delay of a takeover. Once the takeover is complete or a handover
    // was received, a further one does not raise the tokens.
    void acceptHandover(const std::string& organisation, double tokens, TimePoint now);

private:
    struct Bucket {
        TokenBucket tokens;
        bool handedOver { false }; // Received from the previous owner
        double scheduled { 0 };    // Refused requests whose retry time has not come yet
        TimePoint scheduledAt {};
    };

    // A member that uses this ledger.
    struct Contact {
        TimePoint switchedAt {}; // Its last message to the previous owner; zero: none
        TimePoint lastAt {};
    };

    bool isIdle(TimePoint now) const;
    void endIfIdle(TimePoint now);
    double leasedShare(size_t members, TimePoint now);

    const MeshSettings& m_settings;
    std::map<std::string, Contact> m_contacts; // By member
    TimePoint m_lastContact {};
    TimePoint m_activeSince {};                     // Contacted without a gap of ledgerIdleTimeout since
    TimePoint m_handoverAt {};                      // Tokens were received from the previous owner, which grants no more
    std::map<std::string, Bucket> m_buckets;        // By organisation
    std::map<std::string, unsigned> m_spentUnknown; // See settleUnknown(); by organisation
};

// This member's own shares of the rates, used while no ledger responds.
class LocalRateShares {
public:
    explicit LocalRateShares(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // `heldSince`: since when no ledger has granted from this share; zero if that is not known.
    RateGrant grant(const std::string& organisation, unsigned wanted, const RatePlan&, size_t members, TimePoint now,
        TimePoint heldSince = {});

private:
    const MeshSettings& m_settings;
    std::map<std::string, TokenBucket> m_buckets;
};

} // namespace shallot
