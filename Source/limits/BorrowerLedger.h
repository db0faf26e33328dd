#pragma once

#include "limits/LimitSettings.h"
#include "limits/Loan.h"
#include "limits/TokenBucket.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

// Loan requests of all organisations for one lender, sent as one message.
struct LoanRequestBatch {
    std::string lender;      // Member that owns the share
    uint64_t sequence { 0 }; // The answer repeats it
    std::vector<LoanRequest> requests;
};

enum class Admission : uint8_t {
    Admitted, // One token was spent
    Wait,     // Ask again when loans arrive, within the hold time
    Refused,  // The organisation has used up what this daemon can get
    NoLender, // No owner of the organisation's share can be reached
};

// Borrower's side of the limits, used by every daemon that callers reach. Admission is local: it spends a token of a live
// loan, checked against this process's own clock at that moment, so a pause can never leak a lapsed loan.
class BorrowerLedger {
public:
    // Lenders to ask for an organisation, the home zone's owner first.
    using LenderLookup = std::function<std::vector<std::string>(const std::string& organisation)>;

    BorrowerLedger(const LimitSettings& settings, LenderLookup lenders)
        : m_settings(settings)
        , m_findLenders(std::move(lenders))
    {
    }

    // `isNew` counts the request as demand; false when a waiting request asks again.
    Admission admit(const std::string& organisation, TimePoint now, bool isNew);
    void setWaiting(const std::string& organisation, uint32_t waiting);
    // When a refused request may succeed.
    Duration retryAfter(const std::string& organisation, TimePoint now) const;

    // Messages to send now: renewals, further loans for waiting or growing demand, and returns of what is not needed.
    std::vector<LoanRequestBatch> takeRequests(TimePoint now);
    // What a lender answered. Unknown or late answers are ignored; such loans lapse at the lender.
    void onLoans(const std::string& lender, uint64_t sequence, const std::vector<Loan>&, TimePoint now);
    // Hands everything back, for a daemon that leaves.
    std::vector<LoanRequestBatch> returnAllLoans(TimePoint now);

    size_t organisations() const { return m_accounts.size(); }

private:
    struct HeldLoan {
        std::string lender;
        uint64_t id { 0 };
        TokenBucket bucket;
        TimePoint expires {};
    };

    struct LenderState {
        bool requestInFlight { false }; // A request is under way
        TimePoint requestedAt {};
        TimePoint backoffUntil {}; // The lender had nothing until then
    };

    struct Account {
        std::vector<HeldLoan> loans;
        std::map<std::string, LenderState> lenders;
        double demand { 0 };     // Requests a second, averaged
        uint32_t arrivals { 0 }; // Since the last average
        TimePoint averagedAt {};
        TimePoint lastArrival {};
        uint32_t waiting { 0 };
    };

    struct SentBatch {
        std::string lender;
        TimePoint sentAt {};
        std::vector<std::string> organisations;
    };

    using Batches = std::map<std::string, LoanRequestBatch>;

    void refreshLoans(Account&, TimePoint now);
    void averageDemand(Account&, TimePoint now);
    Admission admissionWithoutToken(Account&, const std::string& organisation, TimePoint now);
    bool canRequest(Account&, const std::string& lender, TimePoint now);
    void collectRequests(const std::string& organisation, Account&, Batches&, TimePoint now);
    void collectReturns(const std::string& organisation, Account&, Batches&, bool returnAll, TimePoint now);
    LoanRequest& requestFor(Batches&, const std::string& lender, const std::string& organisation);
    std::vector<LoanRequestBatch> finalizeBatches(Batches&, TimePoint now);

    const LimitSettings& m_settings;
    LenderLookup m_findLenders;
    std::unordered_map<std::string, Account> m_accounts;
    std::map<uint64_t, SentBatch> m_sentBatches;
    uint64_t m_nextSequence { 1 };
};

} // namespace shallot
