// The retries of all daemons together stay within the fleet's retry budget of each service, whichever levels of a call graph
// fail. Nested calls of retried runs count as retries.

#include "mesh/MeshSettings.h"
#include "mesh/RetryBudgetShare.h"

#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck.h>

namespace shallot {
namespace {

constexpr TimePoint start { 1000s };
constexpr size_t levels = 4; // Services, each called by the previous one
constexpr auto window = 10s;

// Checks what a service receives as deployments do: arrivals after the first of each request are retries, counted over any
// window.
class RetryOracle {
public:
    explicit RetryOracle(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    void arrive(bool isRetry, TimePoint now)
    {
        m_arrivals.emplace_back(now, isRetry);
        (isRetry ? m_retries : m_requests) += 1;
        while (now - m_arrivals.front().first > window) {
            (m_arrivals.front().second ? m_retries : m_requests) -= 1;
            m_arrivals.pop_front();
        }
        const double allowed = m_settings.retryShare * m_requests + m_settings.retryAllowance;
        RC_ASSERT(m_retries <= allowed);
    }

private:
    const MeshSettings& m_settings;
    std::deque<std::pair<TimePoint, bool>> m_arrivals;
    double m_requests { 0 };
    double m_retries { 0 };
};

struct GraphFleet {
    GraphFleet(const MeshSettings& meshSettings, size_t memberCount, unsigned seed)
        : settings(meshSettings)
        , members(memberCount)
        , random(seed)
        , oracles(levels, RetryOracle(meshSettings))
    {
    }

    RetryBudgetShare& budgetShare(size_t member, size_t level)
    {
        const auto origin = level ? RequestOrigin::BackendServer : RequestOrigin::Caller;
        return budgetShares.try_emplace({ member, level }, settings, origin, random()).first->second;
    }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(random) < probability; }

    // Returns whether the request succeeded. `inRetry`: it is a nested call of a retried run.
    bool request(size_t level, bool inRetry, TimePoint now)
    {
        auto& own = budgetShare(random() % members, level);
        own.recordRequest(now);
        for (bool isFirst = true;; isFirst = false) {
            const bool isRetry = inRetry || !isFirst;
            oracles[level].arrive(isRetry, now);
            const bool failsItself = chance(failures[level]);
            bool nestedCallFailed = false;
            for (unsigned i = 0; level + 1 < levels && i < calls[level]; ++i)
                nestedCallFailed = !request(level + 1, isRetry, now) || nestedCallFailed;
            if (!failsItself && !nestedCallFailed)
                return true;
            if (nestedCallFailed || !isFirst || !own.tryTake(members, now))
                return false;
        }
    }

    const MeshSettings& settings;
    size_t members;
    std::mt19937 random;
    std::vector<RetryOracle> oracles; // By level
    std::array<double, levels> failures {};
    std::array<unsigned, levels> calls {};
    std::map<std::pair<size_t, size_t>, RetryBudgetShare> budgetShares; // By member and level
};

TEST(RetryBudgetShareFuzz, StaysWithinTheFleetsRetryBudgetAtEveryLevel)
{
    EXPECT_TRUE(rc::check([] {
        MeshSettings settings;
        const size_t members = *rc::gen::element<size_t>(3, 13, 83);
        settings.retryAllowance = members > 13 ? 113 : 48;
        GraphFleet fleet(settings, members, *rc::gen::arbitrary<unsigned>());
        // RapidCheck's ranges grow with its size parameter, which CI keeps small.
        for (auto& callsOfLevel : fleet.calls)
            callsOfLevel = 1 + fleet.random() % 3;
        const double rate = 5 + static_cast<double>(fleet.random() % 115); // Requests per second at the root
        for (auto now = start; now < start + 25s; now += 100ms) {
            if (now == start + 5s || fleet.chance(0.02)) { // Another combination of faults
                for (auto& failure : fleet.failures)
                    failure = fleet.chance(0.5) ? std::uniform_real_distribution<double>(0, 1)(fleet.random) : 0;
            }
            const auto arrivals = std::poisson_distribution<int>(rate * 0.1)(fleet.random);
            for (int i = 0; i < arrivals; ++i)
                fleet.request(0, false, now);
        }
    }));
}

} // namespace
} // namespace shallot
