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

// The fleet-wide limits of one daemon: lends what it owns and borrows what its callers need. Does no I/O: messages go
// out through the callback and come in through the on... functions. Messages to itself are handled at once.
class LimitSystem {
public:
    struct Callbacks {
        std::function<void(const LoanRequestBatch&)> sendRequests;
        // Loans became available; waiting requests may ask again.
        std::function<void()> loansArrived;
        // Whether the member can be reached, as far as gossip knows.
        std::function<bool(const std::string&)> isReachable;
    };

    LimitSystem(const LimitSettings&, std::string member, std::string zone, std::string address, Callbacks);

    Admission admit(const std::string& organisation, TimePoint now, bool isNew)
    {
        return m_borrower.admit(organisation, now, isNew);
    }
    void setWaiting(const std::string& organisation, uint32_t waiting) { m_borrower.setWaiting(organisation, waiting); }
    Duration retryAfter(const std::string& organisation, TimePoint now) const { return m_borrower.retryAfter(organisation, now); }

    // Sends what is due. Cheap; called each tick and when a request has to wait.
    void exchangeLoans(TimePoint now);
    // Brings the shares into line with the fold and the plans, and returns what the ownership needs done.
    OwnershipActions tick(const OwnershipView&, const ConfigurationIndex&, TimePoint now);

    std::vector<Loan> onRequests(const std::string& borrower, const std::vector<LoanRequest>&, TimePoint now);
    void onLoans(const std::string& lender, uint64_t sequence, const std::vector<Loan>&, TimePoint now);

    // Stops lending and hands all loans back; returns the entries that hand over the parts.
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
    std::vector<std::string> m_sharedOrganisations;               // Organisations that have a share here
    std::array<uint32_t, partitionsPerZone> m_sharedFractions {}; // As m_sharedOrganisations was computed from
    uint64_t m_sharedRevision { 0 };
    TimePoint m_logConfirmedAt {};
    bool m_mayLend { false };
    bool m_leaving { false };
};

} // namespace shallot
