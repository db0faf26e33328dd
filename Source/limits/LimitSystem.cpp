#include "limits/LimitSystem.h"

#include "config/ConfigurationIndex.h"
#include "core/Digest.h"
#include "log/FleetState.h"

#include <algorithm>

namespace shallot {

LimitSystem::LimitSystem(
    const LimitSettings& settings, std::string member, std::string zone, std::string address, Callbacks callbacks)
    : m_member(std::move(member))
    , m_zone(std::move(zone))
    , m_callbacks(std::move(callbacks))
    , m_ownership(settings, m_member, m_zone, std::move(address))
    , m_lender(settings)
    , m_borrower(settings, [this](const std::string& organisation) { return lendersOf(organisation); })
{
}

// The owner in this daemon's zone comes first, then the others in an order that differs between daemons, to spread the load.
std::vector<std::string> LimitSystem::lendersOf(const std::string& organisation) const
{
    std::vector<std::string> others;
    std::vector<std::string> lenders;
    if (!m_fleetState)
        return lenders;
    const uint32_t partition = partitionOfOrganisation(organisation);
    for (const auto& [name, zone] : m_fleetState->configuration().configuration().zones) {
        const auto* ownership = m_fleetState->ownerships().find({ name, partition });
        if (!ownership || !ownership->fractionPpm || !m_fleetState->membership().isActive(ownership->owner))
            continue;
        if (ownership->owner != m_member && !m_callbacks.isReachable(ownership->owner))
            continue;
        (name == m_zone ? lenders : others).push_back(ownership->owner);
    }
    std::sort(others.begin(), others.end(), [this](const auto& a, const auto& b) {
        return stableHash(a, stableHash(m_member)) < stableHash(b, stableHash(m_member));
    });
    lenders.insert(lenders.end(), others.begin(), others.end());
    return lenders;
}

void LimitSystem::exchangeLoans(TimePoint now)
{
    for (const auto& batch : m_borrower.takeRequests(now))
        deliver(batch, now);
}

void LimitSystem::deliver(const LoanRequestBatch& batch, TimePoint now)
{
    if (batch.lender != m_member) {
        m_callbacks.sendRequests(batch);
        return;
    }
    const auto loans = onRequests(m_member, batch.requests, now);
    onLoans(m_member, batch.sequence, loans, now);
}

OwnershipActions LimitSystem::tick(const OwnershipView& view, const ConfigurationIndex& index, TimePoint now)
{
    m_fleetState = &view.fleetState;
    m_logConfirmedAt = view.logConfirmedAt;
    if (m_leaving)
        return {};
    auto actions = m_ownership.tick(view, now);
    m_mayLend = m_ownership.holdsLease(view.fleetState, view.logConfirmedAt, now);
    updateShares(view.fleetState, index, now);
    m_lender.tick(now);
    exchangeLoans(now);
    return actions;
}

void LimitSystem::updateShares(const FleetState& fleetState, const ConfigurationIndex& index, TimePoint now)
{
    std::array<uint32_t, partitionsPerZone> fractions {};
    for (uint32_t partition = 0; partition < partitionsPerZone; ++partition)
        fractions[partition] = m_ownership.lendableFraction(fleetState, partition, now);
    const uint64_t revision = fleetState.configuration().revision();
    if (fractions == m_sharedFractions && revision == m_sharedRevision)
        return;
    m_sharedFractions = fractions;
    m_sharedRevision = revision;
    std::vector<std::string> shared;
    for (const auto& [name, organisation] : fleetState.configuration().configuration().organisations) {
        const uint32_t fraction = fractions[partitionOfOrganisation(name)];
        const auto* indexed = fraction ? index.findOrganisation(name) : nullptr;
        if (!indexed)
            continue;
        const double proportion = static_cast<double>(fraction) / wholeFractionPpm;
        m_lender.setShare(name, indexed->rate * proportion, indexed->burst * proportion, now);
        shared.push_back(name);
    }
    std::sort(shared.begin(), shared.end());
    for (const auto& name : m_sharedOrganisations) {
        if (!std::binary_search(shared.begin(), shared.end(), name))
            m_lender.removeShare(name, now);
    }
    m_sharedOrganisations = std::move(shared);
}

std::vector<Loan> LimitSystem::onRequests(const std::string& borrower, const std::vector<LoanRequest>& requests, TimePoint now)
{
    // Checked now rather than on the last tick: the process may have been paused in between.
    const bool mayLend = m_fleetState && !m_leaving && m_ownership.holdsLease(*m_fleetState, m_logConfirmedAt, now);
    std::vector<Loan> loans;
    for (auto request : requests) {
        if (!mayLend) {
            request.demand = 0;
            request.waiting = 0;
        }
        loans.push_back(m_lender.exchange(borrower, request, now));
    }
    return loans;
}

void LimitSystem::onLoans(const std::string& lender, uint64_t sequence, const std::vector<Loan>& loans, TimePoint now)
{
    m_borrower.onLoans(lender, sequence, loans, now);
    m_callbacks.loansArrived();
}

std::vector<LogEntry> LimitSystem::leave(const FleetState& fleetState, const std::vector<std::string>& successors, TimePoint now)
{
    for (const auto& batch : m_borrower.returnAllLoans(now))
        deliver(batch, now);
    auto entries = m_ownership.transferAll(fleetState, successors, now);
    m_leaving = true;
    return entries;
}

} // namespace shallot
