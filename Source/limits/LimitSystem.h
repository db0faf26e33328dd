#pragma once

#include "limits/BorrowerLedger.h"
#include "limits/LenderLedger.h"
#include "limits/LimitSettings.h"
#include "limits/OwnershipSystem.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace shallot {

class ConfigurationIndex;
class FleetState;

// The fleet-wide rate limits of one daemon, as lender of the partitions that it owns and as borrower for its callers. Does no
// I/O: messages are sent through the callback and received through the on... functions. Messages of a daemon to itself are
// handled synchronously.
class LimitSystem {
public:
    struct Callbacks {
        std::function<void(const LoanRequestBatch&)> sendRequests;
        // A lender responded; waiting requests can be retried.
        std::function<void()> loansArrived;
        // Whether gossip reports the member as alive.
        std::function<bool(const std::string&)> isReachable;
    };

    LimitSystem(const LimitSettings&, std::string member, std::string zone, std::string address, Callbacks);

    Admission admit(const std::string& organisation, TimePoint now, bool isNew)
    {
        return m_borrower.admit(organisation, now, isNew);
    }
    void setWaiting(const std::string& organisation, uint32_t waiting) { m_borrower.setWaiting(organisation, waiting); }
    Duration retryAfter(const std::string& organisation, TimePoint now) const { return m_borrower.retryAfter(organisation, now); }

    // Sends the loan requests that are due. Cheap; called on each tick and when a request has to wait.
    void exchangeLoans(TimePoint now);
    // Updates the shares from the replicated state and the plans. Returns the log entries and messages to send for ownership.
    OwnershipActions tick(const OwnershipView&, const ConfigurationIndex&, TimePoint now);

    // Handles a borrower's requests. While this daemon may not lend, returned loans are accepted but nothing is granted.
    std::vector<Loan> onRequests(const std::string& borrower, const std::vector<LoanRequest>&, TimePoint now);
    void onLoans(const std::string& lender, uint64_t sequence, const std::vector<Loan>&, TimePoint now);

    // Stops lending and returns all borrowed loans. Returns the log entries that transfer the owned partitions and end the
    // membership.
    std::vector<LogEntry> leave(const FleetState&, const std::vector<std::string>& successors, TimePoint now);

    OwnershipSystem& ownership() { return m_ownership; }
    const LenderLedger& lender() const { return m_lender; }
    bool isLending() const { return m_mayLend; }

private:
    std::vector<std::string> lendersOf(const std::string& organisation) const;
    void updateShares(const FleetState&, const ConfigurationIndex&, TimePoint now);
    void deliver(const LoanRequestBatch&, TimePoint now);

    std::string m_member;
    std::string m_zone;
    Callbacks m_callbacks;
    OwnershipSystem m_ownership;
    LenderLedger m_lender;
    BorrowerLedger m_borrower;
    const FleetState* m_fleetState { nullptr };
    std::vector<std::string> m_sharedOrganisations;               // Organisations with a share in m_lender, sorted
    std::array<uint32_t, partitionsPerZone> m_sharedFractions {}; // Input of m_sharedOrganisations
    uint64_t m_sharedRevision { 0 };
    TimePoint m_logConfirmedAt {};
    bool m_mayLend { false };
    bool m_leaving { false };
};

} // namespace shallot
