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
    std::string lender;      // Owner of the organisations' partitions
    uint64_t sequence { 0 }; // Echoed in the response
    std::vector<LoanRequest> requests;
};

enum class Admission : uint8_t {
    Admitted, // One token was spent
    Wait,     // No token yet; retry when loans arrive, within the hold time
    Refused,  // The limit is used up: no lender is expected to grant a token in time
    NoLender, // No owner of the organisation's partition can be reached
};

// Borrower's side of the limits, used by every daemon that admits requests. Admission is local: it spends a token of a loan
// whose expiry is checked against this process's clock at that moment, so a paused process never spends an expired loan.
class BorrowerLedger {
public:
    // Lenders of an organisation in order of preference, the owner in this daemon's zone first.
    using LenderLookup = std::function<std::vector<std::string>(const std::string& organisation)>;

    BorrowerLedger(const LimitSettings& settings, LenderLookup lenders)
        : m_settings(settings)
        , m_findLenders(std::move(lenders))
    {
    }

    // `isNew` counts the request as demand; pass false when a waiting request is retried.
    Admission admit(const std::string& organisation, TimePoint now, bool isNew);
    // Number of requests that wait for a loan.
    void setWaiting(const std::string& organisation, uint32_t waiting);
    // Estimated time until a refused request may succeed; at least 1 ms.
    Duration retryAfter(const std::string& organisation, TimePoint now) const;

    // Requests to send now, one batch per lender: renewals, further loans for waiting requests or growing demand, and returns of
    // unused loans.
    std::vector<LoanRequestBatch> takeRequests(TimePoint now);
    // Handles a lender's response. Unknown and late responses are ignored; their loans expire at the lender.
    void onLoans(const std::string& lender, uint64_t sequence, const std::vector<Loan>&, TimePoint now);
    // Returns all loans, for a daemon that leaves the fleet.
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
        bool requestInFlight { false }; // A request was sent and has no response yet
        TimePoint requestedAt {};
        TimePoint backoffUntil {}; // No requests to this lender before then
    };

    struct Account {
        std::vector<HeldLoan> loans;
        std::map<std::string, LenderState> lenders;
        double demand { 0 };     // Requests per second, moving average
        uint32_t arrivals { 0 }; // Since averagedAt
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
