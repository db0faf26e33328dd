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
    void giveBack(const std::string& organisation);
    // Lets every ledger know that this member asks it.
    void greet(TimePoint now);
    // Passes the ledgers kept here on to the members that follow; this one keeps none any more.
    void handOver(TimePoint now);
    void onRequests(PeerLink&, const wire::LoanRequestsT&, TimePoint now);
    void onGrants(const wire::LoansT&, TimePoint now);

private:
    struct Waiting {
        explicit Waiting(const MeshSettings& settings)
            : account(settings)
        {
        }

        RateAccount account;
        std::string ledger;      // Member that was asked
        unsigned timeouts { 0 }; // In a row
        RatePlan plan;
        Timer timeout;
    };

    using Greetings = std::map<const RemoteEndpoint*, wire::LoanRequestsT>; // By the ledgers' keepers

    size_t ledgerNumber(const std::string& organisation) const;
    RatePlan planOf(const std::string& organisation);
    void ask(const std::string& organisation, Waiting&, TimePoint now);
    void complete(const std::string& organisation, Waiting&, const RateAccount::Decisions&, TimePoint now);
    void settleAccount(const std::string& organisation, Waiting&, Greetings&, TimePoint now);
    void onTimeout(const std::string& organisation);

    const MeshSettings& m_settings;
    MeshView& m_beliefs;
    MeshLinks& m_links;
    std::string m_ownName;
    LocalRateShares m_parts;
    std::vector<RateLedger> m_ledgers;                      // By number; those that others keep stand idle
    std::vector<LedgerOwnerTracker> m_visits;               // By ledger
    std::map<std::string, Waiting> m_waiting;               // By organisation
    std::unordered_map<uint64_t, Completion> m_completions; // By request
    uint64_t m_nextRequest { 1 };
    uint64_t m_nextQuestion { 1 };
};

} // namespace shallot
