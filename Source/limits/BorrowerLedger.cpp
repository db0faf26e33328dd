#include "limits/BorrowerLedger.h"

#include <cmath>

namespace shallot {

namespace {

constexpr double renewalFraction = 0.4;  // A loan is renewed once this fraction of its validity is left
constexpr double lowWaterSeconds = 0.15; // A further loan is requested when the tokens last for less than this
constexpr double idleDemandRate = 0.05;  // Requests per second; below this no loan is renewed

double totalTokens(const auto& loans)
{
    double total = 0;
    for (const auto& loan : loans)
        total += loan.bucket.tokens;
    return total;
}

double totalRate(const auto& loans)
{
    double total = 0;
    for (const auto& loan : loans)
        total += loan.bucket.rate;
    return total;
}

} // namespace

void BorrowerLedger::refreshLoans(Account& account, TimePoint now)
{
    std::erase_if(account.loans, [now](const auto& loan) { return loan.expires <= now; });
    for (auto& loan : account.loans)
        loan.bucket.refill(now);
}

void BorrowerLedger::averageDemand(Account& account, TimePoint now)
{
    if (account.averagedAt == TimePoint())
        account.averagedAt = now;
    const double elapsed = toSeconds(now - account.averagedAt);
    const double window = toSeconds(m_settings.demandWindow);
    if (elapsed < window / 10)
        return;
    const double weight = std::min(1.0, elapsed / window);
    account.demand += weight * (account.arrivals / elapsed - account.demand);
    account.arrivals = 0;
    account.averagedAt = now;
}

Admission BorrowerLedger::admit(const std::string& organisation, TimePoint now, bool isNew)
{
    auto& account = m_accounts[organisation];
    if (isNew) {
        ++account.arrivals;
        account.lastArrival = now;
    }
    refreshLoans(account, now);
    HeldLoan* best = nullptr;
    for (auto& loan : account.loans) {
        if (loan.bucket.tokens >= 1 && (!best || loan.expires < best->expires))
            best = &loan;
    }
    if (best) {
        best->bucket.tokens -= 1;
        return Admission::Admitted;
    }
    return admissionWithoutToken(account, organisation, now);
}

bool BorrowerLedger::canRequest(Account& account, const std::string& lender, TimePoint now)
{
    const auto& state = account.lenders[lender];
    return !state.requestInFlight && state.backoffUntil <= now;
}

// A request may wait while a loan request is in flight or can be sent within the hold time.
Admission BorrowerLedger::admissionWithoutToken(Account& account, const std::string& organisation, TimePoint now)
{
    const auto lenders = m_findLenders(organisation);
    if (lenders.empty() && account.loans.empty())
        return Admission::NoLender;
    for (const auto& lender : lenders) {
        const auto& state = account.lenders[lender];
        if (state.requestInFlight || state.backoffUntil <= now + m_settings.holdTime / 2)
            return Admission::Wait;
    }
    return Admission::Refused;
}

void BorrowerLedger::setWaiting(const std::string& organisation, uint32_t waiting)
{
    m_accounts[organisation].waiting = waiting;
}

Duration BorrowerLedger::retryAfter(const std::string& organisation, TimePoint now) const
{
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return m_settings.loanDuration;
    Duration shortest = m_settings.loanDuration;
    for (const auto& loan : found->second.loans) {
        if (loan.bucket.rate > 0)
            shortest = std::min(shortest, fromSeconds(std::max(0.0, 1 - loan.bucket.tokens) / loan.bucket.rate));
    }
    for (const auto& [lender, state] : found->second.lenders)
        shortest = std::min(shortest, std::max(Duration::zero(), state.backoffUntil - now));
    return std::max(Duration(std::chrono::milliseconds(1)), shortest);
}

LoanRequest& BorrowerLedger::requestFor(Batches& batches, const std::string& lender, const std::string& organisation)
{
    auto& batch = batches[lender];
    batch.lender = lender;
    for (auto& request : batch.requests) {
        if (request.organisation == organisation)
            return request;
    }
    batch.requests.push_back({ organisation, {}, 0, 0 });
    return batch.requests.back();
}

void BorrowerLedger::collectReturns(
    const std::string& organisation, Account& account, Batches& batches, bool returnAll, TimePoint now)
{
    const bool idle = account.demand < idleDemandRate && !account.waiting && now - account.lastArrival > m_settings.loanDuration;
    std::erase_if(account.loans, [&](const auto& loan) {
        const bool isSpent = loan.bucket.rate <= 0 && loan.bucket.tokens < 1;
        if (!returnAll && !idle && !isSpent)
            return false;
        // Removed before the message is sent: if it is lost, the tokens are unusable until the lender reclaims the loan.
        requestFor(batches, loan.lender, organisation).returned.push_back({ loan.id, loan.bucket.tokens });
        return true;
    });
}

void BorrowerLedger::collectRequests(const std::string& organisation, Account& account, Batches& batches, TimePoint now)
{
    const bool isIdle = account.demand < idleDemandRate && !account.waiting;
    if (isIdle)
        return;
    const double rate = totalRate(account.loans);
    const bool runningLow
        = totalTokens(account.loans) + rate * lowWaterSeconds < account.demand * lowWaterSeconds + account.waiting;
    const double neededRate = std::max(account.demand, static_cast<double>(account.waiting));
    bool needsMore = runningLow || account.waiting;
    const auto lenders = m_findLenders(organisation);
    for (const auto& lender : lenders) {
        if (!canRequest(account, lender, now))
            continue;
        const auto held = std::find_if(account.loans.begin(), account.loans.end(),
            [&](const auto& loan) { return loan.lender == lender && loan.bucket.rate > 0; });
        const bool isHeld = held != account.loans.end();
        const bool expires = isHeld && held->expires - now < fromSeconds(toSeconds(m_settings.loanDuration) * renewalFraction);
        if (!expires && !needsMore)
            continue;
        auto& request = requestFor(batches, lender, organisation);
        // Demand that is covered by other lenders' loans is not requested again.
        const double heldRate = isHeld ? held->bucket.rate : 0;
        request.demand = std::max(neededRate * 0.1, neededRate - (rate - heldRate) / m_settings.headroom);
        request.waiting = account.waiting;
        std::erase_if(account.loans, [&](const auto& loan) {
            if (loan.lender != lender)
                return false;
            request.returned.push_back({ loan.id, loan.bucket.tokens });
            return true;
        });
        account.lenders[lender].requestInFlight = true;
        account.lenders[lender].requestedAt = now;
        // At most one further lender per call: the next one is used only while this one is in backoff or has a request in flight.
        needsMore = false;
    }
}

std::vector<LoanRequestBatch> BorrowerLedger::takeRequests(TimePoint now)
{
    Batches batches;
    for (auto& [organisation, account] : m_accounts) {
        refreshLoans(account, now);
        averageDemand(account, now);
        for (auto& [lender, state] : account.lenders) {
            if (state.requestInFlight && now - state.requestedAt >= m_settings.requestTimeout) {
                state.requestInFlight = false;
                state.backoffUntil = now + m_settings.requestTimeout;
            }
        }
        collectReturns(organisation, account, batches, false, now);
        collectRequests(organisation, account, batches, now);
    }
    std::erase_if(m_accounts, [&](const auto& item) {
        return item.second.loans.empty() && !item.second.waiting && now - item.second.lastArrival > 8 * m_settings.loanDuration;
    });
    std::erase_if(m_sentBatches, [&](const auto& item) { return now - item.second.sentAt > m_settings.loanDuration; });
    return finalizeBatches(batches, now);
}

std::vector<LoanRequestBatch> BorrowerLedger::returnAllLoans(TimePoint now)
{
    Batches batches;
    for (auto& [organisation, account] : m_accounts) {
        refreshLoans(account, now);
        collectReturns(organisation, account, batches, true, now);
    }
    return finalizeBatches(batches, now);
}

std::vector<LoanRequestBatch> BorrowerLedger::finalizeBatches(Batches& batches, TimePoint now)
{
    std::vector<LoanRequestBatch> result;
    for (auto& [lender, batch] : batches) {
        batch.sequence = m_nextSequence++;
        auto& sent = m_sentBatches[batch.sequence];
        sent.lender = lender;
        sent.sentAt = now;
        for (const auto& request : batch.requests)
            sent.organisations.push_back(request.organisation);
        result.push_back(std::move(batch));
    }
    return result;
}

void BorrowerLedger::onLoans(const std::string& lender, uint64_t sequence, const std::vector<Loan>& loans, TimePoint now)
{
    const auto found = m_sentBatches.find(sequence);
    if (found == m_sentBatches.end() || found->second.lender != lender)
        return;
    const auto sent = std::move(found->second);
    m_sentBatches.erase(found);
    const auto expires = sent.sentAt + m_settings.loanDuration;
    for (const auto& loan : loans) {
        const auto account = m_accounts.find(loan.organisation);
        if (account == m_accounts.end())
            continue;
        auto& state = account->second.lenders[lender];
        if (state.requestedAt == sent.sentAt)
            state.requestInFlight = false;
        if (loan.burst <= 0) {
            state.backoffUntil = std::max(state.backoffUntil, now + std::max(Duration(m_settings.emptyBackoff), loan.retryAfter));
            continue;
        }
        // An immediate retry would bring no more tokens, and a loan in transit gains none.
        if (loan.tokens < std::max(1.0, static_cast<double>(account->second.waiting)))
            state.backoffUntil = std::max(state.backoffUntil,
                now + std::clamp(loan.retryAfter, Duration(m_settings.emptyBackoff / 4), m_settings.partialGrantBackoff));
        if (expires > now)
            account->second.loans.push_back({ lender, loan.id, { loan.rate, loan.burst, loan.tokens, now }, expires });
    }
}

} // namespace shallot
