#include "limits/LenderLedger.h"

#include <cmath>

namespace shallot {

namespace {

constexpr double epsilon = 1e-9;
constexpr auto maximumRetryAfter = std::chrono::seconds(1);

} // namespace

void LenderLedger::setShare(const std::string& organisation, double rate, double burst, TimePoint now)
{
    auto [found, isNew] = m_accounts.try_emplace(organisation);
    auto& account = found->second;
    if (isNew)
        account.bucket.updated = now;
    reclaimExpired(account, now);
    account.rate = rate;
    account.burst = burst;
    rebalance(account);
}

void LenderLedger::removeShare(const std::string& organisation, TimePoint now)
{
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return;
    setShare(organisation, 0, 0, now);
    found->second.bucket.tokens = 0;
    if (found->second.loans.empty())
        m_accounts.erase(found);
}

// The bucket gets the share less the outstanding loans. After a reduction the loans may exceed the share; the bucket is then
// empty.
void LenderLedger::rebalance(Account& account)
{
    double lentRate = 0;
    double lentBurst = 0;
    for (const auto& [id, loan] : account.loans) {
        lentRate += loan.rate;
        lentBurst += loan.burst;
    }
    account.bucket.rate = std::max(0.0, account.rate - lentRate);
    account.bucket.burst = std::max(0.0, account.burst - lentBurst);
    account.bucket.tokens = std::min(account.bucket.tokens, account.bucket.burst);
}

// The tokens of an expired loan are not credited: the borrower may have spent them.
void LenderLedger::reclaimExpired(Account& account, TimePoint now)
{
    account.bucket.refill(now);
    const auto expired = std::erase_if(account.loans, [now](const auto& item) { return item.second.reclaimAt <= now; });
    if (expired)
        rebalance(account);
}

void LenderLedger::acceptReturn(Account& account, const std::string& borrower, const ReturnedLoan& returned)
{
    const auto found = account.loans.find(returned.id);
    if (found == account.loans.end() || found->second.borrower != borrower)
        return;
    const double tokens = std::isfinite(returned.tokens) ? std::clamp(returned.tokens, 0.0, found->second.burst) : 0;
    account.loans.erase(found);
    rebalance(account);
    account.bucket.tokens = std::min(account.bucket.burst, account.bucket.tokens + tokens);
}

double LenderLedger::totalDemand(Account& account, const std::string& borrower, double demand, TimePoint now)
{
    account.demands[borrower] = { demand, now };
    std::erase_if(account.demands, [&](const auto& item) { return now - item.second.updatedAt > 2 * m_settings.loanDuration; });
    double total = 0;
    for (const auto& [name, entry] : account.demands)
        total += entry.rate;
    return total;
}

// Time until the bucket has a token, after `granted` tokens are taken from it.
Duration LenderLedger::timeToNextToken(const TokenBucket& bucket, double granted) const
{
    if (bucket.rate <= epsilon || bucket.burst < 1)
        return m_settings.loanDuration / 8;
    const double missing = std::max(0.0, 1 - (bucket.tokens - granted));
    return std::min(Duration(maximumRetryAfter), fromSeconds(missing / bucket.rate));
}

Loan LenderLedger::lend(Account& account, const std::string& borrower, const LoanRequest& request, TimePoint now)
{
    const double demand = std::isfinite(request.demand) ? std::clamp(request.demand, 0.0, 1e7) : 0;
    const double total = totalDemand(account, borrower, demand, now);
    Loan loan;
    loan.organisation = request.organisation;
    if (demand <= 0 && !request.waiting)
        return loan;
    auto& bucket = account.bucket;
    const double fairRate = account.rate * (1 - m_settings.reserveFraction) * demand / std::max(total, epsilon);
    const double rate
        = std::min({ bucket.rate, fairRate, std::max(demand * m_settings.headroom, account.rate * m_settings.reserveFraction) });
    const double burst = account.rate > 0 ? std::min(bucket.burst, account.burst * rate / account.rate) : 0;
    if (burst >= m_settings.minimumRatedBurst) {
        const double proportion = bucket.burst > 0 ? burst / bucket.burst : 0;
        loan.rate = rate;
        loan.burst = burst;
        loan.tokens
            = std::min({ burst, bucket.tokens, std::max(bucket.tokens * proportion, static_cast<double>(request.waiting)) });
    } else {
        // Too small for a rate of its own: lent as whole tokens, one per request.
        loan.burst = std::floor(std::min({ bucket.tokens, bucket.burst, std::max(1.0, static_cast<double>(request.waiting)) }));
        loan.tokens = loan.burst;
    }
    if (loan.burst <= 0) {
        loan.retryAfter = timeToNextToken(bucket, 0);
        return loan;
    }
    loan.id = m_nextID++;
    // Not enough for all waiting requests: include the time until the next token.
    if (loan.tokens < request.waiting)
        loan.retryAfter = timeToNextToken(bucket, loan.tokens);
    account.loans[loan.id] = { borrower, loan.rate, loan.burst, now + lenderLoanDuration(m_settings) };
    bucket.tokens -= loan.tokens;
    rebalance(account);
    return loan;
}

Loan LenderLedger::exchange(const std::string& borrower, const LoanRequest& request, TimePoint now)
{
    const auto found = m_accounts.find(request.organisation);
    if (found == m_accounts.end()) {
        Loan emptyLoan;
        emptyLoan.organisation = request.organisation;
        emptyLoan.retryAfter = m_settings.loanDuration / 8;
        return emptyLoan;
    }
    auto& account = found->second;
    reclaimExpired(account, now);
    for (const auto& returned : request.returned)
        acceptReturn(account, borrower, returned);
    return lend(account, borrower, request, now);
}

void LenderLedger::tick(TimePoint now)
{
    for (auto& [organisation, account] : m_accounts)
        reclaimExpired(account, now);
    std::erase_if(m_accounts,
        [](const auto& item) { return item.second.rate <= 0 && item.second.burst <= 0 && item.second.loans.empty(); });
}

double LenderLedger::lentRate(const std::string& organisation) const
{
    double total = 0;
    if (const auto found = m_accounts.find(organisation); found != m_accounts.end()) {
        for (const auto& [id, loan] : found->second.loans)
            total += loan.rate;
    }
    return total;
}

double LenderLedger::lentBurst(const std::string& organisation) const
{
    double total = 0;
    if (const auto found = m_accounts.find(organisation); found != m_accounts.end()) {
        for (const auto& [id, loan] : found->second.loans)
            total += loan.burst;
    }
    return total;
}

} // namespace shallot
