// The retry budget beside a backend server: the fleet breaks the platform's budget if one window of any backend server does, and
// requests whose call graphs would fail must not use it up.

#include "mesh/CallGraphAdmission.h"
#include "mesh/MeshCall.h"
#include "mesh/RetryBudgetLedger.h"
#include "mesh/RetryLevel.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr double share = 0.15;
const TimePoint start(1000s);

// Requests and repeats at any times: no window of 10 s has more repeats than the rule allows.
RC_GTEST_PROP(RetryBudgetLedgerFuzz, NoWindowExceedsTheShare, ())
{
    RetryBudgetLedger ledger(share);
    std::vector<TimePoint> requests;
    std::vector<TimePoint> repeats;
    TimePoint now = start;
    std::minstd_rand random(*rc::gen::arbitrary<uint32_t>());
    double rate = 50;
    for (int second = 0; second < 40; ++second) {
        if (random() % 4 == 0)
            rate = std::array { 0.0, 5.0, 50.0, 200.0 }.at(random() % 4);
        for (int step = 0; step < 20; ++step) {
            now += 50ms;
            for (auto due = rate / 20; due > 0 && static_cast<double>(random() % 1000) < due * 1000; due -= 1) {
                ledger.recordRequest(now);
                requests.push_back(now);
            }
            while (random() % 3 && ledger.available(now) >= 1) {
                ledger.recordRepeat(now);
                repeats.push_back(now);
            }
        }
    }
    const auto count = [](const std::vector<TimePoint>& times, TimePoint from, TimePoint until) {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), until) - std::lower_bound(times.begin(), times.end(), from));
    };
    // The cells of the ledger are 100 ms long, so the oracle may count the requests of two more.
    constexpr auto cells = 200ms;
    for (auto from = start - 10s; from < now; from += 70ms) {
        const auto until = from + 10s;
        const double most = std::max({ count(requests, from - cells, until + cells), count(requests, from - 10s - cells, from + cells),
            count(requests, from - 5s - cells, until - 5s + cells) });
        RC_ASSERT(count(repeats, from, until) <= share * most + 1e-6);
    }
}

TEST(RetryBudgetLedger, TheAllowanceIsThereWithoutRequestsAndOnlyOnceAWindow)
{
    RetryBudgetLedger ledger(share);
    EXPECT_LT(ledger.available(start), 1);
    ledger.setAllowance(2);
    EXPECT_EQ(ledger.available(start), 2);
    ledger.recordRepeat(start);
    ledger.recordRepeat(start);
    EXPECT_LT(ledger.available(start + 9s), 1);
    EXPECT_EQ(ledger.available(start + 11s), 2);
}

TEST(RetryLevel, AllCallsOfAGraphHaveTheSameScore)
{
    const auto root = priorityOfRank(2);
    EXPECT_EQ(callGraphScore(root, "7f.1.2"), callGraphScore(root, "7f"));
    EXPECT_EQ(callGraphScore(nestedCallPriority(root), "7f.1"), callGraphScore(root, "7f"));
    EXPECT_NE(callGraphScore(root, "7f"), callGraphScore(root, "80"));
    EXPECT_GT(callGraphScore(priorityOfRank(1), "7f"), callGraphScore(root, "80"));
}

// All backend servers of a service refuse 55% of what arrives for 8 s. Two kinds of requests need four calls there, one after the
// other; a third of the requests are of the urgent kind.
struct Outcome {
    double urgent { 0 }; // Share of the requests whose calls all succeeded
    double repeatShare { 0 };
    double wastedRuns { 0 }; // Share of the requests that were admitted and failed
};

Outcome play(bool usesLevel)
{
    constexpr double refusedShare = 0.55;
    constexpr int callsPerRequest = 4;
    constexpr int requestsPerSecond = 600;
    constexpr unsigned maximumSendings = 8;
    std::minstd_rand random(7);
    std::uniform_real_distribution<double> draw(0, 1);
    RetryBudgetLedger ledger(share);
    RetryLevel level;
    CallGraphAdmission admission;
    Outcome outcome;
    double urgent = 0;
    double requests = 0;
    double arrivals = 0;
    double repeats = 0;
    for (int i = 0; i < 28 * requestsPerSecond; ++i) {
        const auto now = start + std::chrono::microseconds(1'000'000 / requestsPerSecond) * i;
        const bool failing = now >= start + 20s;
        const bool isUrgent = i % 3 == 0;
        const auto score = callGraphScore(priorityOfRank(isUrgent ? 0 : 2), std::to_string(random()));
        const std::string route = isUrgent ? "urgent" : "other";
        if (usesLevel && !admission.admits(route, score, now))
            continue;
        const bool below = score < admission.level(route, now);
        bool succeeded = true;
        for (int call = 0; call < callsPerRequest && succeeded; ++call) {
            ledger.recordRequest(now);
            succeeded = !failing || draw(random) >= refusedShare;
            arrivals += failing;
            for (unsigned sending = 1; !succeeded && sending < maximumSendings; ++sending) {
                const double available = ledger.available(now);
                if (available < 1 || (usesLevel && !level.admit(score, available, now)))
                    break;
                ledger.recordRepeat(now);
                ++repeats;
                succeeded = draw(random) >= refusedShare;
            }
            admission.recordLevel(route, level.level(ledger.available(now), now), now);
        }
        if (below)
            admission.recordEndBelowLevel(route, !succeeded, now);
        if (!failing)
            continue;
        ++requests;
        outcome.wastedRuns += !succeeded;
        urgent += isUrgent;
        outcome.urgent += isUrgent && succeeded;
    }
    outcome.urgent /= 8.0 * requestsPerSecond / 3;
    outcome.repeatShare = repeats / std::max(1.0, arrivals);
    outcome.wastedRuns /= 8.0 * requestsPerSecond;
    return outcome;
}

// Without a level the budget saves single calls of all requests. What it could buy at best: 0.15 of 10 s with 4 calls of 600
// requests a second are 3,600 repeats; an urgent request needs 4.9 of them, so 735 of the 1,600 urgent ones, 46%.
TEST(RetryLevel, TheBudgetGoesToWholeCallGraphsOfTheMostUrgent)
{
    const auto without = play(false);
    const auto with = play(true);
    RecordProperty("urgent_without", std::to_string(without.urgent));
    RecordProperty("urgent_with", std::to_string(with.urgent));
    EXPECT_LT(without.urgent, 0.25);
    EXPECT_GT(with.urgent, 0.35) << "three quarters of what the budget can buy";
    EXPECT_LT(with.wastedRuns, 0.5 * without.wastedRuns) << "requests that would fail are refused before any work";
}

// When the failures end, the level and the refusals at the root must end with them.
TEST(RetryLevel, ItFallsOnceNobodyNeedsRepeats)
{
    RetryLevel level;
    auto now = start;
    for (int i = 0; i < 3000; ++i)
        level.admit(static_cast<double>(i % 80) / 10, 200, now += 1ms);
    EXPECT_GT(level.level(200, now), 0);
    for (int i = 0; i < 10; ++i)
        level.level(2000, now += 100ms);
    EXPECT_EQ(level.level(2000, now), 0);

    CallGraphAdmission admission;
    for (int i = 0; i < 50; ++i) {
        admission.recordLevel("r", 5, now);
        admission.recordEndBelowLevel("r", true, now);
    }
    EXPECT_FALSE(admission.admits("r", 3, now));
    EXPECT_TRUE(admission.admits("r", 6, now));
    EXPECT_TRUE(admission.admits("other", 3, now));
    EXPECT_TRUE(admission.admits("r", 3, now + 2s)) << "the level is known no longer";
}

} // namespace
} // namespace shallot
