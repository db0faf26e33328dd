#pragma once

#include "mesh/RateShares.h"

#include <string>

namespace shallot {

namespace wire {
struct LoanRequestsT;
struct LoansT;
} // namespace wire

class MeshBeliefs;
class MeshLinks;
class PeerLink;
struct MeshOrganisation;
struct RemoteEndpoint;

// Carries demands to the daemons that keep the organisations' ledgers, and shares back.
class RateExchange {
public:
    RateExchange(const MeshSettings&, MeshBeliefs&, MeshLinks&, std::string ownName);

    // Whether the organisation has room for one more request.
    bool tryTake(const MeshOrganisation&, TimePoint now);
    Duration retryAfter(const std::string& organisation, TimePoint now) const { return m_buckets.retryAfter(organisation, now); }

    void exchange(TimePoint now);
    void onDemands(PeerLink&, const wire::LoanRequestsT&, TimePoint now);
    void onShares(const wire::LoansT&, TimePoint now);

private:
    const RemoteEndpoint* ownerOf(const std::string& organisation, TimePoint now);

    const MeshSettings& m_settings;
    MeshBeliefs& m_beliefs;
    MeshLinks& m_links;
    std::string m_ownName;
    RateBuckets m_buckets;
    RateLedger m_ledger;
};

} // namespace shallot
