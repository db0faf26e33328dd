#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace shallot {

// The retry budget of a service, as far as one of its backend servers goes, kept by the daemon beside it: that daemon sees all
// arrivals, so it can use the whole budget where senders, who do not know of each other, could use a small part each. A repeat is
// an arrival beyond the first of its request. In every window of 10 s, repeats must stay within a share of the requests in that
// window, the one before it or the one half a window before it, whichever has most.
class RetryBudgetLedger {
public:
    explicit RetryBudgetLedger(double share)
        : m_share(share)
    {
    }

    // Repeats in a window beyond that share.
    void setAllowance(double allowance) { m_allowance = allowance; }
    void recordRequest(TimePoint now) { ++totalsAt(now).requests; }
    void recordRepeat(TimePoint now) { ++totalsAt(now).repeats; }
    // Further repeats that all windows which contain this moment allow; may be negative.
    double available(TimePoint now);

private:
    static constexpr auto cellLength = std::chrono::milliseconds(100);
    static constexpr int64_t windowCells = 100;
    static constexpr int64_t keptCells = 3 * windowCells;

    // Counts from the start up to and including a cell.
    struct Totals {
        uint64_t requests { 0 };
        uint64_t repeats { 0 };
    };

    Totals& totalsAt(TimePoint now);
    const Totals& totals(int64_t cell) const;
    double requestsIn(int64_t first, int64_t end) const;

    double m_share;
    double m_allowance { 0 };
    std::array<Totals, keptCells> m_totals {}; // By the cell's number, modulo the size
    int64_t m_current { 0 };                   // Number of the latest cell
    bool m_started { false };
};

} // namespace shallot
