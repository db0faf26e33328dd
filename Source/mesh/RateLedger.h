#pragma once

#include "core/Time.h"
#include "limits/TokenBucket.h"
#include "mesh/RatePlan.h"

#include <map>
#include <string>

namespace shallot {

struct MeshSettings;

// The buckets of some organisations, kept by one member for all that can reach it. Every member owns an equal part of each
// rate by birth, which it uses by itself while it reaches no ledger; a ledger deals only the parts of the members that it
// heard from lately. So both sides of a cut together stay within the rate without a word between them. Whoever takes over a
// part first waits for as long as its former holder may still use it, for each member that turns to it. The load it answers: more
// requests of one organisation than its plan holds, also while a service refuses part of them. A refused request uses nothing of
// the plan.
class RateLedger {
public:
    explicit RateLedger(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // `switchedAgo`: since the member last asked another ledger, by LedgerOwnerTracker; zero when it did not.
    void recordContact(const std::string& member, Duration switchedAgo, TimePoint now);
    RateGrant grant(const std::string& organisation, unsigned wanted, const RatePlan&, size_t members, TimePoint now);
    // Takes back tokens that no request used, never more than the burst holds, and books what a member spent of its own part
    // while this ledger dealt that part as well.
    void settle(const std::string& organisation, const RateSettlement&, const RatePlan&, size_t members, TimePoint now);

    // Ends this ledger: tokens by organisation, for the one that follows. It deals nothing until it is greeted again.
    std::map<std::string, double> handOver(TimePoint now);
    // Goes on with the tokens of the ledger before this one, without the wait of a takeover.
    void acceptHandover(const std::string& organisation, double tokens, TimePoint now);

private:
    struct Bucket {
        TokenBucket tokens;
        double scheduled { 0 }; // Refused requests that were told to come back and are not due yet
        TimePoint scheduledAt {};
    };

    // A member that asks this ledger.
    struct Contact {
        TimePoint switchedAt {}; // It last asked another ledger
        TimePoint lastAt {};
    };

    double leasedShare(size_t members, TimePoint now);

    const MeshSettings& m_settings;
    std::map<std::string, Contact> m_contacts; // By member
    TimePoint m_lastContact {};
    TimePoint m_activeSince {};              // Asked without a break since
    TimePoint m_handoverAt {};               // From a keeper that had stopped dealing
    std::map<std::string, Bucket> m_buckets; // By organisation
};

// This member's own parts, for the time in which no ledger answers.
class LocalRateShares {
public:
    explicit LocalRateShares(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    RateGrant grant(const std::string& organisation, unsigned wanted, const RatePlan&, size_t members, TimePoint now);

private:
    const MeshSettings& m_settings;
    std::map<std::string, TokenBucket> m_buckets;
};

} // namespace shallot
