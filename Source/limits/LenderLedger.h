#pragma once

#include "limits/LimitSettings.h"
#include "limits/Loan.h"
#include "limits/TokenBucket.h"

#include <map>
#include <string>
#include <unordered_map>

namespace shallot {

// Owner's side of the limits: for each organisation, what it may lend and what is out. The rates and bursts of all live
// loans and of the remaining bucket never add up to more than the owner's share, whatever is lost on the way.
class LenderLedger {
public:
    explicit LenderLedger(const LimitSettings& settings)
        : m_settings(settings)
    {
    }

    // Sets the owner's share of an organisation. A new one starts empty; a smaller one takes effect as loans come home.
    void setShare(const std::string& organisation, double rate, double burst, TimePoint now);
    // Stops lending for the organisation; what is out stays accounted for until it is home.
    void removeShare(const std::string& organisation, TimePoint now);

    // Takes back what the borrower returns and lends it what is due. A loan with burst 0 means there was nothing.
    Loan exchange(const std::string& borrower, const LoanRequest&, TimePoint now);
    void tick(TimePoint now);

    // What is out now, for an owner that wants to shrink its share.
    double lentRate(const std::string& organisation) const;
    double lentBurst(const std::string& organisation) const;
    size_t accounts() const { return m_accounts.size(); }

private:
    struct OutstandingLoan {
        std::string borrower;
        double rate { 0 };
        double burst { 0 };
        TimePoint reclaimAt {}; // Counted as unused from then on
    };

    struct Demand {
        double rate { 0 };
        TimePoint updatedAt {};
    };

    struct Account {
        double rate { 0 }; // The owner's share
        double burst { 0 };
        TokenBucket bucket; // What is left of it
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
