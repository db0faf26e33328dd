#include "mesh/RateAccount.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <utility>

namespace shallot {

unsigned RateAccount::openTokenRequest(uint64_t sequence)
{
    m_openSequence = sequence;
    m_requestedCount = m_waiting.size();
    return static_cast<unsigned>(m_requestedCount);
}

// Admits the requests that have waited longest and returns how many.
unsigned RateAccount::admit(unsigned tokens, bool byLedger, Decisions& decisions)
{
    const auto count = std::min<size_t>(tokens, m_waiting.size());
    for (size_t i = 0; i < count; ++i) {
        decisions.push_back({ m_waiting.front().request, true, byLedger, {} });
        m_waiting.pop_front();
    }
    m_requestedCount -= std::min(m_requestedCount, count);
    return static_cast<unsigned>(count);
}

// Refuses the remaining requests of the open token request.
void RateAccount::refuse(Duration retryAfter, bool byLedger, Decisions& decisions)
{
    for (; m_requestedCount; --m_requestedCount) {
        decisions.push_back({ m_waiting.front().request, false, byLedger, retryAfter });
        m_waiting.pop_front();
    }
}

RateAccount::Decisions RateAccount::applyGrant(uint64_t sequence, const RateGrant& grant)
{
    Decisions decisions;
    m_settlement.unused += grant.tokens - admit(grant.tokens, true, decisions);
    if (!m_openSequence || sequence != m_openSequence)
        return decisions;
    refuse(grant.retryAfter, true, decisions);
    m_openSequence = 0;
    return decisions;
}

RateAccount::Decisions RateAccount::applyLocalGrantOnTimeout(const RateGrant& grant)
{
    Decisions decisions;
    m_settlement.spentLocally += admit(grant.tokens, false, decisions);
    for (size_t i = 0; i < m_requestedCount; ++i)
        ++m_waiting[i].timeouts;
    // The queue is in order of arrival, so the requests with the most timeouts are at its front.
    const auto exhausted = std::count_if(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(m_requestedCount),
        [&](const Waiting& waiting) { return waiting.timeouts >= m_settings.maximumLedgerTimeouts; });
    m_requestedCount = static_cast<size_t>(exhausted);
    refuse(grant.retryAfter, false, decisions);
    m_openSequence = 0;
    return decisions;
}

RateAccount::Decisions RateAccount::applyLocalGrant(const RateGrant& grant)
{
    Decisions decisions;
    m_requestedCount = m_waiting.size();
    admit(grant.tokens, false, decisions);
    refuse(grant.retryAfter, false, decisions);
    m_openSequence = 0;
    return decisions;
}

RateSettlement RateAccount::settle()
{
    return std::exchange(m_settlement, {});
}

} // namespace shallot
