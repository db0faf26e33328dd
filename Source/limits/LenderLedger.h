#pragma once

#include "limits/LimitSettings.h"
#include "limits/Loan.h"
#include "limits/TokenBucket.h"

#include <map>
#include <string>
#include <unordered_map>

namespace shallot {

// Lender's side of the limits: for each organisation, the owner's share and the outstanding loans. The rates and bursts of all
// outstanding loans and of the remaining bucket never add up to more than the share, whichever messages are lost.
class LenderLedger {
public:
    explicit LenderLedger(const LimitSettings& settings)
        : m_settings(settings)
    {
    }

    // Sets the owner's share of an organisation, in tokens per second and tokens. A new share starts without tokens; a reduction
    // takes effect as loans are returned or expire.
    void setShare(const std::string& organisation, double rate, double burst, TimePoint now);
    // Stops lending for the organisation. Outstanding loans stay on the books until they are returned or expire.
    void removeShare(const std::string& organisation, TimePoint now);

    // Accepts the returned loans and grants a new one. A result with burst 0 grants nothing; its retryAfter says when to retry.
    Loan exchange(const std::string& borrower, const LoanRequest&, TimePoint now);
    // Reclaims expired loans and drops accounts that are no longer in use.
    void tick(TimePoint now);

    // Totals of the outstanding loans of an organisation.
    double lentRate(const std::string& organisation) const;
    double lentBurst(const std::string& organisation) const;
    size_t accounts() const { return m_accounts.size(); }

private:
    struct OutstandingLoan {
        std::string borrower;
        double rate { 0 };
        double burst { 0 };
        TimePoint reclaimAt {}; // From then on the loan counts as unused
    };

    struct Demand {
        double rate { 0 };
        TimePoint updatedAt {};
    };

    struct Account {
        double rate { 0 }; // Owner's share, tokens per second
        double burst { 0 };
        TokenBucket bucket; // The share less the outstanding loans
        std::map<uint64_t, OutstandingLoan> loans;
        std::map<std::string, Demand> demands; // By borrower
    };

    void reclaimExpired(Account&, TimePoint now);
    void acceptReturn(Account&, const std::string& borrower, const ReturnedLoan&);
    double totalDemand(Account&, const std::string& borrower, double demand, TimePoint now);
    Loan lend(Account&, const std::string& borrower, const LoanRequest&, TimePoint now);
    Duration timeToNextToken(const TokenBucket&, double granted) const;
    static void rebalance(Account&);

    const LimitSettings& m_settings;
    std::unordered_map<std::string, Account> m_accounts;
    uint64_t m_nextID { 1 };
};

} // namespace shallot
