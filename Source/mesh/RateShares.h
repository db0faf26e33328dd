#pragma once

#include "core/Time.h"
#include "limits/TokenBucket.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct MeshSettings;

// What a holder tells the ledger of one organisation.
struct RateDemand {
    std::string organisation;
    double perSecond { 0 }; // Requests that arrived, admitted or not
};

// Part of an organisation's rate, relative to the whole.
struct RateShare {
    std::string organisation;
    double part { 0 }; // 0 to 1
};

// Ledger side: divides organisations' rates over the members that ask. Every member owns an equal part by birth; the ledger
// only moves parts between members that it heard from lately. A member that it does not hear from keeps its equal part, so
// both sides of a cut together stay within the rate without a word between them.
class RateLedger {
public:
    explicit RateLedger(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // Takes a member's demands and returns its shares, valid for MeshSettings::shareLifetime.
    std::vector<RateShare> grant(const std::string& member, const std::vector<RateDemand>&, size_t members, TimePoint now);

private:
    struct Holder {
        double perSecond { 0 };
        TimePoint heard {};
    };

    const MeshSettings& m_settings;
    std::map<std::string, TimePoint> m_heard; // By member
    std::map<std::string, std::map<std::string, Holder>> m_demands; // By organisation, then member
};

// Holder side: the buckets of this daemon. Without a valid share each holds an equal part of its organisation's rate.
class RateBuckets {
public:
    explicit RateBuckets(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // Spends one request; false when the organisation's part is used up. A rate of 0 has no limit.
    bool tryTake(const std::string& organisation, double rate, double burst, size_t members, TimePoint now);
    // Time until the next request fits.
    Duration retryAfter(const std::string& organisation, TimePoint now) const;
    void applyShare(const RateShare&, TimePoint now);
    // Demands since the last call; ends the counting interval.
    std::vector<RateDemand> takeDemands(TimePoint now);

private:
    struct Bucket {
        TokenBucket tokens;
        double part { 0 };
        TimePoint partUntil {};
        uint32_t arrivals { 0 };
        double perSecond { 0 }; // Averaged arrivals
    };

    const MeshSettings& m_settings;
    std::map<std::string, Bucket> m_buckets;
    TimePoint m_countedSince {};
};

} // namespace shallot
