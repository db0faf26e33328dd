#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shallot {

// Rank of a request's call graph in [0, 8): all calls of a graph have the same, so that a level admits whole graphs. The integer
// part is the urgency, the fraction comes from the root request's id.
double callGraphScore(uint8_t priority, std::string_view attemptID);

// The score below which repeats get none of the retry budget. Spread over all requests, a budget that is too small for them would
// save single calls of many call graphs, and the graphs would fail all the same. So those with the highest scores get what they
// need, and the others nothing.
class RetryLevel {
public:
    // `available`: what is left of the budget. Returns whether the repeat may be sent; counts it if so.
    bool admit(double score, double available, TimePoint now);
    double level(double available, TimePoint now);

private:
    static constexpr size_t slicesPerClass = 8;
    static constexpr size_t classes = 8;

    void adapt(double available, TimePoint now);

    std::array<uint32_t, classes * slicesPerClass> m_admitted {}; // Since the last change, by score
    uint32_t m_admittedCount { 0 };
    uint32_t m_askedCount { 0 };
    double m_level { 0 };
    TimePoint m_adaptedAt {};
};

} // namespace shallot
