#include "mesh/RetryBudgetLedger.h"

#include <algorithm>
#include <utility>

namespace shallot {

RetryBudgetLedger::Totals& RetryBudgetLedger::totalsAt(TimePoint now)
{
    const auto cell = std::max<int64_t>(m_current, now.time_since_epoch() / cellLength);
    if (!std::exchange(m_started, true))
        m_current = cell;
    const auto latest = m_totals[static_cast<size_t>(m_current % keptCells)];
    for (int64_t next = std::max(m_current + 1, cell - keptCells + 1); next <= cell; ++next)
        m_totals[static_cast<size_t>(next % keptCells)] = latest;
    m_current = cell;
    return m_totals[static_cast<size_t>(cell % keptCells)];
}

// Of a cell that is not kept any more, those of the oldest one.
const RetryBudgetLedger::Totals& RetryBudgetLedger::totals(int64_t cell) const
{
    const auto kept = std::clamp(cell, m_current - keptCells + 1, m_current);
    return m_totals[static_cast<size_t>(kept % keptCells)];
}

double RetryBudgetLedger::requestsIn(int64_t first, int64_t end) const
{
    return static_cast<double>(totals(end - 1).requests - totals(first - 1).requests);
}

// A later moment of a window may bring more requests but none that this one could count on.
double RetryBudgetLedger::available(TimePoint now)
{
    totalsAt(now);
    double least = 1e9;
    for (int64_t first = m_current - windowCells + 1; first <= m_current; ++first) {
        const double requests = std::max({ requestsIn(first, first + windowCells), requestsIn(first - windowCells, first),
            requestsIn(first - windowCells / 2, first + windowCells / 2) });
        // A window that begins within a cell may reach into one more.
        const auto repeats = static_cast<double>(totals(m_current).repeats - totals(first - 2).repeats);
        least = std::min(least, m_share * requests + m_allowance - repeats);
    }
    return least;
}

} // namespace shallot
