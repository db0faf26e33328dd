// No organisation gets more than its plan over all members together, whichever members are isolated, killed or restarted; and
// nearly all requests within the plan are granted while nothing fails.

#include "mesh/LedgerOwnerTracker.h"
#include "mesh/MeshSettings.h"
#include "mesh/RateLedger.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <rapidcheck.h>

namespace shallot {
namespace {

constexpr TimePoint start { 1000s };
constexpr size_t members = 9;
constexpr size_t membersPerSide = 3;

// Members that use the ledger on their side of a network partition, and their local shares when they reach no ledger.
struct RateFleet {
    struct Member {
        LocalRateShares localShares;
        RateLedger ledger;
        LedgerOwnerTracker ownerTracker;
        bool isolated { false }; // Reaches no ledger
        size_t side { 0 };

        explicit Member(const MeshSettings& settings)
            : localShares(settings)
            , ledger(settings)
        {
        }
    };

    explicit RateFleet(const RatePlan& ratePlan)
        : plan(ratePlan)
    {
        for (size_t i = 0; i < members; ++i)
            fleet.push_back(std::make_unique<Member>(settings));
    }

    // The ledger of the first reachable member on the same side.
    RateLedger* ledgerFor(size_t index)
    {
        for (auto& member : fleet) {
            if (!member->isolated && member->side == fleet[index]->side)
                return &member->ledger;
        }
        return nullptr;
    }

    void recordContact(RateLedger& ledger, size_t index, TimePoint now)
    {
        for (size_t owner = 0; owner < members; ++owner) {
            if (&fleet[owner]->ledger == &ledger)
                ledger.recordContact(
                    std::to_string(index), fleet[index]->ownerTracker.recordMessageTo(std::to_string(owner), now), now);
        }
    }

    void sendHeartbeats(TimePoint now)
    {
        for (size_t i = 0; i < members; ++i) {
            auto* ledger = fleet[i]->isolated ? nullptr : ledgerFor(i);
            if (ledger)
                recordContact(*ledger, i, now);
        }
    }

    bool request(size_t index, TimePoint now)
    {
        auto* ledger = fleet[index]->isolated ? nullptr : ledgerFor(index);
        if (ledger) {
            recordContact(*ledger, index, now);
            return ledger->grant("o", 1, plan, members, now).tokens == 1;
        }
        return fleet[index]->localShares.grant("o", 1, plan, members, now).tokens == 1;
    }

    // Returns the token of a refused request to the ledger that its member reaches.
    void returnToken(size_t index, TimePoint now)
    {
        if (auto* ledger = fleet[index]->isolated ? nullptr : ledgerFor(index))
            ledger->settle("o", { .unused = 1 }, plan, members, now);
    }

    void restart(size_t index)
    {
        const auto side = fleet[index]->side;
        fleet[index] = std::make_unique<Member>(settings);
        fleet[index]->side = side;
    }

    MeshSettings settings;
    RatePlan plan;
    std::vector<std::unique_ptr<Member>> fleet;
};

// Upper bound that deployments allow in any window: 1.1 times the plan plus 20 requests.
class WindowOracle {
public:
    explicit WindowOracle(const RatePlan& plan)
        : m_plan(plan)
    {
    }

    void admit(TimePoint now)
    {
        m_admitted.push_back(now);
        while (now - m_admitted.front() > window)
            m_admitted.pop_front();
        const double allowed = (m_plan.rate * toSeconds(window) + m_plan.burst) * 1.1 + 20;
        RC_ASSERT(static_cast<double>(m_admitted.size()) <= allowed);
    }

private:
    static constexpr auto window = 5s;
    RatePlan m_plan;
    std::deque<TimePoint> m_admitted;
};

// A ledger's owner pauses while another member takes its ledger over, and resumes with old token requests in its buffers.
TEST(RateLedger, AnOwnerThatResumesGrantsNothingOfWhatItOwnedBefore)
{
    const MeshSettings settings;
    const RatePlan plan { 50, 40 };
    RateLedger paused(settings);
    RateLedger successor(settings);
    const auto contactAll = [](RateLedger& ledger, TimePoint now) {
        for (size_t i = 0; i < members; ++i)
            ledger.recordContact(std::to_string(i), {}, now);
    };
    auto now = start;
    for (; now < start + 3s; now += 100ms)
        contactAll(paused, now);
    ASSERT_EQ(paused.grant("o", 1, plan, members, now).tokens, 1U); // A full bucket
    const auto resumesAt = now + 4s;
    for (; now < resumesAt; now += 100ms)
        contactAll(successor, now);
    EXPECT_GE(successor.grant("o", 40, plan, members, now).tokens, 39U);
    paused.recordContact("1", {}, now);
    EXPECT_EQ(paused.grant("o", 40, plan, members, now).tokens, 0U);
}

TEST(RateLedgerFuzz, NeverExceedsThePlanInAnyWindow)
{
    EXPECT_TRUE(rc::check([] {
        const RatePlan plan { static_cast<double>(*rc::gen::inRange(5, 200)), static_cast<double>(*rc::gen::inRange(5, 200)) };
        RateFleet fleet(plan);
        WindowOracle oracle(plan);
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        const double demand = plan.rate * *rc::gen::inRange(1, 8);
        const auto refusedPercent = *rc::gen::element(0U, 30U, 90U); // By services, after their token was granted
        std::deque<std::pair<TimePoint, size_t>> refused;            // When and by which member their tokens are returned
        auto now = start;
        for (int step = 0; step < 200; ++step, now += 100ms) {
            const auto fault = random() % 40;
            if (fault == 0) {
                for (size_t i = 0; i < members; ++i)
                    fleet.fleet[i]->side = i / membersPerSide;
            } else if (fault == 1) {
                for (auto& member : fleet.fleet)
                    member->side = 0;
            } else if (fault == 2) {
                auto& member = fleet.fleet[random() % members];
                member->isolated = !member->isolated;
            } else if (fault == 3) {
                fleet.restart(random() % members);
            }
            if (step % 2 == 0)
                fleet.sendHeartbeats(now);
            while (!refused.empty() && refused.front().first <= now) {
                fleet.returnToken(refused.front().second, now);
                refused.pop_front();
            }
            const auto arrivals = std::poisson_distribution<int>(demand * 0.1)(random);
            for (int i = 0; i < arrivals; ++i) {
                const auto index = random() % members;
                if (!fleet.request(index, now))
                    continue;
                if (random() % 100 < refusedPercent)
                    refused.emplace_back(now + 300ms, index);
                else
                    oracle.admit(now);
            }
        }
    }));
}

TEST(RateLedger, GrantsNearlyAllRequestsWithinThePlanHoweverTheyAreDistributed)
{
    const RatePlan plan { 12, 12 };
    RateFleet fleet(plan);
    std::mt19937 random(3);
    int requested = 0;
    int granted = 0;
    auto now = start;
    for (; now < start + 2s; now += 200ms) // Members send heartbeats before there is traffic
        fleet.sendHeartbeats(now);
    for (int step = 0; step < 600; ++step, now += 100ms) {
        if (step % 2 == 0)
            fleet.sendHeartbeats(now);
        const auto arrivals = std::poisson_distribution<int>(plan.rate * 0.7 * 0.1)(random);
        for (int i = 0; i < arrivals; ++i) {
            ++requested;
            granted += fleet.request(random() % members, now) ? 1 : 0;
        }
    }
    EXPECT_GT(granted, requested * 0.995);
}

TEST(RateLedger, RefusedRequestsGetDifferentRetryTimes)
{
    const MeshSettings settings;
    RateLedger ledger(settings);
    const RatePlan plan { 10, 10 };
    ledger.recordContact("a", {}, start);
    EXPECT_EQ(ledger.grant("o", 100, plan, 1, start).tokens, 0U); // The share's previous holder may still grant from it
    const auto first = ledger.grant("o", 1, plan, 1, start).retryAfter;
    const auto second = ledger.grant("o", 1, plan, 1, start).retryAfter;
    EXPECT_GE(second, first);
    EXPECT_GT(first, 0ms);
}

TEST(RateLedger, AReturnedTokenIsGrantedAgainAndTheBurstIsNeverExceeded)
{
    const MeshSettings settings;
    RateLedger ledger(settings);
    const RatePlan plan { 10, 10 };
    auto fullAt = start;
    for (; fullAt < start + 5s; fullAt += 100ms) {
        ledger.recordContact("a", {}, fullAt);
        ledger.grant("o", fullAt < start + 1s ? 1 : 0, plan, 1, fullAt);
    }
    EXPECT_EQ(ledger.grant("o", 20, plan, 1, fullAt).tokens, 10U);
    ledger.settle("o", { .unused = 4 }, plan, 1, fullAt);
    EXPECT_EQ(ledger.grant("o", 20, plan, 1, fullAt).tokens, 4U);
    ledger.settle("o", { .unused = 1000 }, plan, 1, fullAt);
    EXPECT_EQ(ledger.grant("o", 20, plan, 1, fullAt).tokens, 10U);
}

// One organisation uses two services. One is at capacity and refuses three of four requests, and each refused request is retried
// once. All requests together exceed the plan, but those that run are within it. If refused requests kept their tokens, callers
// of the other service would be refused, too.
struct TwoServicesLoad {
    explicit TwoServicesLoad(bool returnsTokens)
        : m_returnsTokens(returnsTokens)
    {
    }

    double servedShareAtTheAvailableService()
    {
        const RatePlan plan { 100, 100 };
        MeshSettings settings;
        RateLedger ledger(settings);
        std::mt19937 random(7);
        std::deque<TimePoint> retries;
        int requested = 0;
        int served = 0;
        for (auto now = start; now < start + 30s; now += 10ms) {
            ledger.recordContact("a", {}, now);
            int atFullService = random() % 100 < 80 ? 1 : 0; // 80 new requests/s, plus retries
            const int newRequests = atFullService;
            for (; !retries.empty() && retries.front() <= now; retries.pop_front())
                ++atFullService;
            for (int i = 0; i < atFullService; ++i) {
                if (ledger.grant("o", 1, plan, 1, now).tokens && random() % 4) {
                    if (m_returnsTokens)
                        ledger.settle("o", { .unused = 1 }, plan, 1, now);
                    if (i < newRequests)
                        retries.push_back(now + 500ms);
                }
            }
            if (random() % 100 >= 60)
                continue;
            ++requested;
            served += ledger.grant("o", 1, plan, 1, now).tokens ? 1 : 0;
        }
        return static_cast<double>(served) / requested;
    }

private:
    bool m_returnsTokens;
};

TEST(RateLedger, CallersOfAServiceWithCapacityAreServedWhileAnotherServiceRefusesTheSameOrganisation)
{
    EXPECT_GT(TwoServicesLoad(true).servedShareAtTheAvailableService(), 0.98);
    EXPECT_LT(TwoServicesLoad(false).servedShareAtTheAvailableService(), 0.8); // Without returned tokens, this load fails
}

TEST(RateLedger, AHandedOverLedgerContinuesWithoutTheDelayOfATakeover)
{
    const MeshSettings settings;
    const RatePlan plan { 100, 100 };
    RateLedger first(settings);
    RateLedger second(settings);
    const auto later = start + 10s;
    for (auto now = start; now <= later + 2s; now += 250ms)
        first.recordContact("a", {}, now);
    const auto before = first.grant("o", 1000, plan, 1, later + 2s).tokens;
    EXPECT_EQ(before, 100U); // The burst
    first.recordContact("a", {}, later + 2s + 250ms);
    first.recordContact("a", {}, later + 2s + 500ms);
    const auto tokens = first.handOver(later + 2s + 500ms);
    ASSERT_TRUE(tokens.contains("o"));
    second.acceptHandover("o", tokens.at("o"), later + 2s + 500ms);
    second.recordContact("a", {}, later + 2s + 510ms);
    EXPECT_GE(second.grant("o", 1000, plan, 1, later + 2s + 510ms).tokens, 49U);
    EXPECT_EQ(first.handOver(later + 2s + 510ms).size(), 0U);
}

TEST(RateLedger, ARateOfZeroHasNoLimit)
{
    const MeshSettings settings;
    RateLedger ledger(settings);
    LocalRateShares localShares(settings);
    EXPECT_EQ(ledger.grant("o", 1000, {}, 3, start).tokens, 1000U);
    EXPECT_EQ(localShares.grant("o", 1000, {}, 3, start).tokens, 1000U);
}

} // namespace
} // namespace shallot
