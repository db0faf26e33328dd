#pragma once

#include "mesh/LedgerOwnerTracker.h"
#include "mesh/RateAccount.h"
#include "mesh/RateLedger.h"
#include "net/Timer.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

namespace wire {
struct LoanRequestsT;
struct LoansT;
} // namespace wire

class MeshView;
class MeshLinks;
class PeerLink;
struct MeshOrganisation;
struct RemoteEndpoint;

// Asks the ledgers for tokens on behalf of waiting requests, and answers for the ledgers kept here. Requests of one
// organisation that wait together are asked for together, so a busy organisation costs few messages.
class DistributedRateLimiter {
public:
    using Completion = std::function<void(const RateAccount::Decision&)>;

    DistributedRateLimiter(const MeshSettings&, MeshView&, MeshLinks&, std::string ownName);

    // The completion is called once, perhaps before this returns, and within MeshSettings::ledgerRequestTimeout for each of
    // maximumLedgerTimeouts questions and for the one that is open already.
    void request(const MeshOrganisation&, TimePoint now, Completion);
    // Gives the token of a request back that was refused and has not run. It goes out with the next question or greeting.
    void returnToken(const std::string& organisation);
    // Lets every ledger know that this member asks it.
    void sendHeartbeats(TimePoint now);
    // Passes the ledgers kept here on to the members that follow; this one keeps none any more.
    void handOver(TimePoint now);
    void onRequests(PeerLink&, const wire::LoanRequestsT&, TimePoint now);
    void onGrants(const wire::LoansT&, TimePoint now);

private:
    struct OrganisationState {
        explicit OrganisationState(const MeshSettings& settings)
            : account(settings)
        {
        }

        RateAccount account;
        std::string ledger;      // Member that was asked
        unsigned timeouts { 0 }; // In a row
        RatePlan plan;
        Timer timeout;
    };

    using Heartbeats = std::map<const RemoteEndpoint*, wire::LoanRequestsT>; // By the ledgers' keepers

    size_t ledgerNumber(const std::string& organisation) const;
    RatePlan findPlan(const std::string& organisation);
    void requestTokens(const std::string& organisation, OrganisationState&, TimePoint now);
    void complete(const std::string& organisation, OrganisationState&, const RateAccount::Decisions&, TimePoint now);
    void settleAccount(const std::string& organisation, OrganisationState&, Heartbeats&, TimePoint now);
    void onTimeout(const std::string& organisation);

    const MeshSettings& m_settings;
    MeshView& m_view;
    MeshLinks& m_links;
    std::string m_ownName;
    LocalRateShares m_localShares;
    std::vector<RateLedger> m_ledgers;                      // By number; those that others keep stand idle
    std::vector<LedgerOwnerTracker> m_ownerTrackers;        // By ledger
    std::map<std::string, OrganisationState> m_states;      // By organisation
    std::unordered_map<uint64_t, Completion> m_completions; // By request
    uint64_t m_nextRequest { 1 };
    uint64_t m_nextSequence { 1 };
};

} // namespace shallot
