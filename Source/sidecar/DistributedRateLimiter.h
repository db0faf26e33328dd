#pragma once

#include "mesh/LedgerOwnerTracker.h"
#include "mesh/RateAccount.h"
#include "mesh/RateLedger.h"
#include "net/Timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

namespace wire {
struct LoanRequestT;
struct LoanRequestsT;
struct LoanT;
struct LoansT;
} // namespace wire

class MeshView;
class MeshLinks;
class PeerLink;
struct MeshOrganisation;
struct RemoteEndpoint;

// Requests tokens from the ledgers' owners on behalf of waiting requests, and grants tokens from the ledgers owned by this
// member. Requests of one organisation that wait at the same time share one token request, so that a busy organisation costs few
// messages.
class DistributedRateLimiter {
public:
    using Completion = std::function<void(const RateAccount::Decision&)>;

    DistributedRateLimiter(const MeshSettings&, MeshView&, MeshLinks&, std::string ownName);

    // The completion is called exactly once, possibly before this returns. It waits at most MeshSettings::ledgerRequestTimeout
    // for each of maximumLedgerTimeouts token requests plus the one that is open already.
    void request(const MeshOrganisation&, TimePoint now, Completion);
    // Returns the token of a request that was refused and not executed. It is sent with the next token request or heartbeat.
    void returnToken(const std::string& organisation);
    // Sends a heartbeat to the owner of every ledger.
    void sendHeartbeats(TimePoint now);
    // Hands the ledgers owned by this member over to their next owners; this member owns none afterwards.
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
        std::string ledger;        // Owner that the open token request was sent to
        unsigned timeouts { 0 };   // Consecutive
        TimePoint unknownSince {}; // Each answer of the ledger's owner since then said that it does not know the plan
        RatePlan plan;
        Timer timeout;
    };

    using Heartbeats = std::map<const RemoteEndpoint*, wire::LoanRequestsT>; // By ledger owner

    size_t ledgerNumber(const std::string& organisation) const;
    // Empty if the configuration of this member does not have the organisation; a plan without a limit is another thing.
    std::optional<RatePlan> findPlan(const std::string& organisation) const;
    void requestTokens(const std::string& organisation, OrganisationState&, TimePoint now);
    void complete(const std::string& organisation, OrganisationState&, const RateAccount::Decisions&, TimePoint now);
    void settleAccount(const std::string& organisation, OrganisationState&, Heartbeats&, TimePoint now);
    void onTimeout(const std::string& organisation);
    void completeFromLocalShare(const std::string& organisation, OrganisationState&, const char* event, TimePoint now);
    std::unique_ptr<wire::LoanT> answerRequest(RateLedger&, const wire::LoanRequestT&, TimePoint now);

    const MeshSettings& m_settings;
    MeshView& m_view;
    MeshLinks& m_links;
    std::string m_ownName;
    LocalRateShares m_localShares;
    std::vector<RateLedger> m_ledgers;                      // By ledger number; those that other members own are unused
    std::vector<LedgerOwnerTracker> m_ownerTrackers;        // By ledger number
    std::map<std::string, OrganisationState> m_states;      // By organisation
    std::unordered_map<uint64_t, Completion> m_completions; // By request
    uint64_t m_nextRequest { 1 };
    uint64_t m_nextSequence { 1 };
};

} // namespace shallot
