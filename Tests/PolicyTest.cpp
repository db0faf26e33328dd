#include "policy/AdmissionLevel.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/CrashFingerprints.h"
#include "policy/EndpointTable.h"
#include "policy/FairScore.h"
#include "policy/PolicySettings.h"
#include "policy/RequestQueue.h"
#include "policy/RetryBudget.h"

#include "core/RequestID.h"

#include <gtest/gtest.h>
#include <map>

namespace shallot {
namespace {

const TimePoint start { std::chrono::seconds(1) };

TEST(RequestQueue, ServesClassesByStrictPriorityAndOrganisationsRoundRobin)
{
    RequestQueue queue;
    std::vector<QueueItem> items(6);
    const char* organisations[] = { "loud", "loud", "loud", "quiet", "loud", "quiet" };
    const uint8_t priorities[] = { 2, 2, 2, 2, 5, 5 };
    for (size_t i = 0; i < items.size(); ++i) {
        items[i].id = i;
        items[i].organisation = organisations[i];
        items[i].priority = priorities[i];
        queue.push(items[i]);
    }
    std::vector<uint64_t> order;
    while (auto* item = queue.pop())
        order.push_back(item->id);
    EXPECT_EQ(order, (std::vector<uint64_t> { 4, 5, 0, 3, 1, 2 }));
}

TEST(RequestQueue, EvictsTheNewestOfTheLongestOrganisationOfTheLowestClass)
{
    RequestQueue queue;
    std::vector<QueueItem> items(4);
    for (size_t i = 0; i < items.size(); ++i) {
        items[i].id = i;
        items[i].organisation = i == 3 ? "quiet" : "loud";
        items[i].priority = i == 0 ? 6 : 1;
        queue.push(items[i]);
    }
    EXPECT_EQ(queue.evictionCandidate()->id, 2U);
}

TEST(RequestQueue, TakesExpiredRequests)
{
    RequestQueue queue;
    std::vector<QueueItem> items(2);
    items[0].deadline = start;
    items[1].deadline = start + 1s;
    for (auto& item : items)
        queue.push(item);
    EXPECT_EQ(queue.takeExpired(start).size(), 1U);
    EXPECT_EQ(queue.size(), 1U);
    queue.pop();
}

TEST(RetryTokens, NeverIncrease)
{
    RetryTokens tokens(3);
    const auto first = tokens.allocate();
    const auto second = tokens.allocate();
    EXPECT_LE(first + second + tokens.remaining(), 3);
    tokens.reclaim(first, 100);
    tokens.reclaim(second, 0);
    EXPECT_LE(tokens.remaining(), 3);
}

TEST(ConcurrencyLimit, RampsAfterAStartAndShrinksOnFailures)
{
    const PolicySettings settings;
    ConcurrencyLimit limit(settings);
    EXPECT_EQ(limit.limit(start), 0U);
    limit.restart(40, start);
    EXPECT_EQ(limit.limit(start), 10U);
    EXPECT_EQ(limit.limit(start + settings.coldStartRamp), 40U);
    auto now = start + settings.coldStartRamp;
    for (int window = 0; window < 10; ++window) {
        for (int i = 0; i < 10; ++i)
            limit.recordOutcome(true);
        now += 200ms;
        limit.tick(now);
    }
    EXPECT_LT(limit.limit(now), 20U);
    EXPECT_GE(limit.limit(now), 1U);
}

TEST(AdmissionLevel, RisesWhileTheQueueIsLongAndFallsWhenSlotsAreIdle)
{
    const PolicySettings settings;
    AdmissionLevel level(settings);
    auto now = start;
    level.tick(now, 0, 10, true);
    for (int window = 0; window < 10; ++window) {
        for (int i = 0; i < 80; ++i)
            level.recordArrival(static_cast<float>(i % 8) + 0.5F);
        for (int i = 0; i < 40; ++i)
            level.recordCompletion();
        now += settings.levelWindow;
        level.tick(now, 1000, 10, false);
    }
    // Half of the arrivals can be served, which is about the upper four of the eight classes.
    EXPECT_GT(level.level(), 3);
    EXPECT_LT(level.level(), 6);
    for (int window = 0; window < 20; ++window) {
        now += settings.levelWindow;
        level.tick(now, 0, 10, true);
    }
    EXPECT_EQ(level.level(), 0);
}

TEST(FairScore, AThresholdAdmitsEveryOrganisationUpToTheSameRate)
{
    FairScore scores;
    std::map<std::string, int> admitted;
    auto now = start;
    for (int i = 0; i < 60'000; ++i) {
        now += 1ms;
        const std::string organisation = i % 6 ? "loud" : "quiet"; // Rates of five to one
        const float score = scores.score(3, organisation, makeRandomRequestID(), now);
        EXPECT_GE(score, 3);
        EXPECT_LT(score, 4);
        if (i > 10'000 && score >= 3.8F)
            ++admitted[organisation];
    }
    EXPECT_NEAR(static_cast<double>(admitted["loud"]) / admitted["quiet"], 1, 0.2);
}

TEST(EndpointTable, PrefersTheLocalZoneUnlessItsEndpointsAreExcluded)
{
    const PolicySettings settings;
    EndpointTable table(settings, "zone-a");
    for (const char* zone : { "zone-a", "zone-b" }) {
        Endpoint endpoint;
        endpoint.member = zone;
        endpoint.zone = zone;
        endpoint.service = "profiles";
        table.update(endpoint);
    }
    EXPECT_EQ(table.choose("profiles", start, {})->member, "zone-a");
    EXPECT_EQ(table.choose("profiles", start, { "zone-a" })->member, "zone-b");
    table.recordRefusal("zone-a", start);
    EXPECT_EQ(table.choose("profiles", start, {})->member, "zone-b");
    EXPECT_EQ(table.choose("profiles", start + settings.refusalPenalty, {})->member, "zone-a");
    EXPECT_EQ(table.choose("unknown", start, {}), nullptr);
}

TEST(CrashFingerprints, AddUpOverDaemonsAndAreClearedBySuccess)
{
    const PolicySettings settings;
    CrashFingerprints crashes(settings);
    const uint64_t crashing = 1;
    const uint64_t harmless = 2;
    for (int crash = 0; crash < 2; ++crash) {
        crashes.recordCrash(std::vector<uint64_t> { crashing, harmless }, start);
        crashes.recordSuccess(harmless);
    }
    EXPECT_FALSE(crashes.isRefused(crashing, start));
    crashes.mergeReport("other", { crashing, 1, {} }, start);
    crashes.mergeReport("other", { harmless, 1, {} }, start);
    EXPECT_TRUE(crashes.isRefused(crashing, start));
    EXPECT_FALSE(crashes.isRefused(harmless, start));
    EXPECT_FALSE(crashes.isRefused(crashing, start + settings.crashRefusalDuration));
}

} // namespace
} // namespace shallot
