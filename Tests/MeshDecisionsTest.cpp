// Decisions on the request path, without a network: routes, endpoint choice, queueing, load shedding at the root of a call graph,
// scheduled retries, configuration freshness.

#include "mesh/ConfigurationFreshness.h"
#include "mesh/EndpointQueue.h"
#include "mesh/MeshCall.h"
#include "mesh/MeshSettings.h"
#include "mesh/RemoteEndpoints.h"
#include "mesh/RootLoadShedder.h"
#include "mesh/RouteTable.h"
#include "mesh/ScheduledRetries.h"

#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>

namespace shallot {
namespace {

constexpr TimePoint start { 1000s };

MeshRoute makeRoute(const std::string& name, const std::string& prefix, std::vector<ServiceShare> services, uint8_t rank = 0)
{
    MeshRoute route;
    route.name = name;
    route.host = "host";
    route.pathPrefix = prefix;
    route.services = std::move(services);
    route.rank = rank;
    return route;
}

TEST(RouteTable, TheLongestPrefixOfTheHostWins)
{
    MeshConfiguration configuration;
    configuration.routes = { makeRoute("short", "/a/", { { "s", 1 } }), makeRoute("long", "/a/b/", { { "s", 1 } }) };
    const RouteTable table(configuration);
    EXPECT_EQ(table.find("host", "/a/b/c")->name, "long");
    EXPECT_EQ(table.find("host", "/a/bc")->name, "short");
    EXPECT_EQ(table.find("host", "/a/?x=/a/b/")->name, "short");
    EXPECT_EQ(table.find("host", "/b/"), nullptr);
    EXPECT_EQ(table.find("other", "/a/"), nullptr);
}

TEST(RouteTable, WeightedServicesStayWithinOneRequestOfTheirShares)
{
    MeshConfiguration configuration;
    configuration.routes = { makeRoute("r", "/", { { "big", 85 }, { "small", 15 } }) };
    RouteTable table(configuration);
    const auto* route = table.find("host", "/");
    int small = 0;
    for (int i = 1; i <= 500; ++i) {
        small += table.nextService(*route) == "small" ? 1 : 0;
        EXPECT_NEAR(small, i * 0.15, 1);
    }
}

TEST(RouteTable, OrganisationRankTakesPrecedenceOverRouteRank)
{
    MeshConfiguration configuration;
    configuration.routes = { makeRoute("urgent", "/u/", { { "s", 1 } }, 0), makeRoute("bulk", "/b/", { { "s", 1 } }, 2) };
    configuration.organisations.resize(2);
    configuration.organisations[0] = { "first", { "k1" }, 1, 0, 0 };
    configuration.organisations[1] = { "second", { "k2" }, 2, 0, 0 };
    const RouteTable table(configuration);
    const auto* urgent = table.find("host", "/u/");
    const auto* bulk = table.find("host", "/b/");
    const auto* first = table.findByKey("k1");
    const auto* second = table.findByKey("k2");
    EXPECT_LT(table.rankOf(*urgent, first), table.rankOf(*bulk, first));
    EXPECT_LT(table.rankOf(*bulk, first), table.rankOf(*urgent, second));
    EXPECT_EQ(table.rankOf(*urgent, first), table.rankOf(*urgent, nullptr));
}

TEST(MeshCall, NestedCallsPrecedeRequestsOfTheirOwnRankOnly)
{
    EXPECT_GT(nestedCallPriority(priorityOfRank(1)), priorityOfRank(1));
    EXPECT_LT(nestedCallPriority(priorityOfRank(1)), priorityOfRank(0));
    EXPECT_LT(nestedCallPriority(priorityOfRank(0)), queueClasses);
    EXPECT_EQ(priorityOfRank(1000), 0);
    EXPECT_TRUE(isNestedCallPriority(nestedCallPriority(priorityOfRank(3))));
    EXPECT_FALSE(isNestedCallPriority(priorityOfRank(3)));
}

class EndpointChoice : public testing::Test {
protected:
    EndpointChoice()
    {
        for (const auto* name : { "a1", "b1" })
            endpoints.update({ name, std::string("zone-") + name[0], std::string(name) + ":1", "s" });
    }

    void report(const std::string& name, uint32_t running, uint32_t limit, Duration service, TimePoint now)
    {
        endpoints.recordReport(name, { true, running, 0, limit, service, {} }, now);
    }

    std::string choose(TimePoint now, const std::vector<std::string>& tried = {})
    {
        const auto* endpoint = endpoints.choose("s", now, tried);
        return endpoint ? endpoint->member.name : "";
    }

    MeshSettings settings;
    RemoteEndpoints endpoints { settings, "zone-a" };
};

TEST_F(EndpointChoice, StaysInTheZoneWhileItHasCapacity)
{
    report("a1", 5, 10, 60ms, start);
    report("b1", 0, 10, 30ms, start);
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(choose(start), "a1");
    report("a1", 40, 10, 60ms, start);
    EXPECT_EQ(choose(start), "b1");
}

TEST_F(EndpointChoice, ALeavingMemberGetsCallsOnlyWhenThereIsNoOther)
{
    endpoints.update({ "a2", "zone-a", "a2:1", "s" });
    report("a1", 0, 10, 10ms, start);
    report("a2", 9, 10, 60ms, start);
    report("b1", 9, 10, 60ms, start);
    endpoints.recordLeaving("a1", true);
    EXPECT_EQ(choose(start), "a2");
    EXPECT_EQ(choose(start, { "a2", "b1" }), "a1");
    EXPECT_EQ(endpoints.choose("s", start, { "a2", "b1" }, { .anyZone = true })->member.name, "a1");
    EXPECT_EQ(endpoints.choose("s", start, { "a2", "b1" }, { .anyZone = true, .reachableOnly = true }), nullptr);
    endpoints.recordLeaving("a1", false);
    EXPECT_EQ(choose(start), "a1");
}

TEST_F(EndpointChoice, ALeavingMemberThatStillTakesRunsGetsFewerAndFewerCalls)
{
    endpoints.update({ "a2", "zone-a", "a2:1", "s" });
    const auto until = start + 2s;
    const auto shareOfLeaving = [&](TimePoint now) {
        report("a1", 5, 10, 60ms, now);
        report("a2", 5, 10, 60ms, now);
        int chosen = 0;
        for (int i = 0; i < 1000; ++i)
            chosen += choose(now) == "a1" ? 1 : 0;
        return chosen;
    };
    EXPECT_GT(shareOfLeaving(start), 400);
    endpoints.recordLeaving("a1", true, until);
    EXPECT_GT(shareOfLeaving(start + 1s), 400);
    EXPECT_LT(shareOfLeaving(until - 100ms), 10);
    EXPECT_EQ(shareOfLeaving(until), 0);
    report("a2", 5, 10, 60ms, until - 500ms);
    EXPECT_EQ(endpoints.choose("s", until - 500ms, { "a2", "b1" }, { .reachableOnly = true })->member.name, "a1");
    EXPECT_EQ(endpoints.choose("s", until, { "a2", "b1" }, { .reachableOnly = true }), nullptr);
}

TEST_F(EndpointChoice, KnowsWhetherTheOthersOfAZoneAreOutOfUse)
{
    EXPECT_FALSE(endpoints.areOthersOutOfUse("a1", start)); // There are none
    endpoints.update({ "a2", "zone-a", "a2:1", "s" });
    report("a2", 0, 10, 60ms, start);
    EXPECT_FALSE(endpoints.areOthersOutOfUse("a1", start));
    endpoints.recordLeaving("a2", true, start + 2s);
    EXPECT_TRUE(endpoints.areOthersOutOfUse("a1", start));
    endpoints.recordLeaving("a2", false);
    endpoints.recordUnreachable("a2", start, start + 1s);
    EXPECT_TRUE(endpoints.areOthersOutOfUse("a1", start));
}

TEST_F(EndpointChoice, ARequestRefusedForLackOfCapacityGoesToAnyZone)
{
    endpoints.update({ "a2", "zone-a", "a2:1", "s" });
    report("a1", 10, 10, 60ms, start);
    report("a2", 9, 10, 60ms, start); // Nearly full
    report("b1", 0, 10, 60ms, start);
    EXPECT_EQ(choose(start), "a2");
    EXPECT_EQ(endpoints.choose("s", start, { "a1" }, { .anyZone = true })->member.name, "b1");
}

TEST_F(EndpointChoice, AvoidsABackendServerThatHasBecomeMuchSlower)
{
    report("a1", 1, 10, 400ms, start);
    report("b1", 1, 10, 40ms, start);
    EXPECT_EQ(choose(start), "b1");
}

TEST_F(EndpointChoice, TriesBackendServersWithoutARecentReport)
{
    endpoints.update({ "a2", "zone-a", "a2:1", "s" });
    report("a1", 5, 10, 30ms, start);
    report("a2", 0, 10, 300ms, start);
    EXPECT_EQ(choose(start), "a1");
    const auto later = start + settings.reportLifetime + 1ms;
    report("a1", 5, 10, 30ms, later);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 50; ++i)
        ++chosen[choose(later)];
    EXPECT_GT(chosen["a2"], 0);
}

TEST_F(EndpointChoice, AvoidsUnreachableAndUnavailableMembersUntilNoOtherIsLeft)
{
    report("a1", 0, 10, 30ms, start);
    endpoints.recordUnreachable("a1", start, start);
    EXPECT_EQ(choose(start), "b1");
    EXPECT_EQ(choose(start, { "b1" }), "a1");
    EXPECT_EQ(choose(start, { "a1", "b1" }), "");
    endpoints.recordReachable("a1", start);
    EXPECT_EQ(choose(start), "a1");
    endpoints.recordReport("a1", { false, 0, 0, 10, 30ms, {} }, start);
    EXPECT_EQ(choose(start), "b1");
    endpoints.recordReport("a1", { true, 0, 0, 10, 30ms, {} }, start);
    EXPECT_EQ(choose(start), "a1");
}

TEST_F(EndpointChoice, AMemberThatIsGoneGetsNoRequestWhileAnotherOneAnswers)
{
    report("a1", 0, 10, 30ms, start);
    endpoints.recordUnreachable("a1", start, start);
    const auto later = start + settings.linkPenaltyMaximum;
    report("b1", 40, 10, 60ms, later);
    EXPECT_EQ(choose(later), "b1"); // The daemon finds out itself whether it is back
    EXPECT_EQ(endpoints.choose("s", later, { "b1" }, { .reachableOnly = true }), nullptr);
    EXPECT_EQ(endpoints.takeProbes(4, start).size(), 0U);
    EXPECT_EQ(endpoints.takeProbes(4, later), std::vector<std::string> { "a1:1" });
    EXPECT_EQ(endpoints.takeProbes(4, later).size(), 0U); // One at a time
    endpoints.recordReachable("a1", later);
    EXPECT_EQ(choose(later), "a1");
}

TEST_F(EndpointChoice, APenalisedMemberIsChosenBeforeOneThatMayBeGone)
{
    report("b1", 0, 10, 60ms, start);
    endpoints.recordFailure("b1", start);
    endpoints.recordUnreachable("a1", start, start);
    EXPECT_EQ(choose(start), "b1");
    endpoints.recordReachable("a1", start);
    endpoints.recordLeaving("a1", true); // Its link may end without a word
    EXPECT_EQ(choose(start), "b1");
    EXPECT_EQ(endpoints.takeProbes(4, start), std::vector<std::string> { "a1:1" });
}

TEST_F(EndpointChoice, ALongUnreachableMemberHoldsNoShareOfARate)
{
    EXPECT_EQ(endpoints.countShareHolders(start), 2U);
    endpoints.recordUnreachableAt("a1:1", start, start);
    EXPECT_GT(endpoints.find("a1")->avoidUntil, start);
    EXPECT_EQ(endpoints.countShareHolders(start + settings.unreachableMemberExpiry - 1ms),
        2U); // It may be isolated and use its share
    EXPECT_EQ(endpoints.countShareHolders(start + settings.unreachableMemberExpiry), 1U);
    endpoints.recordReachable("a1", start);
    EXPECT_EQ(endpoints.countShareHolders(start + settings.unreachableMemberExpiry), 2U);
}

TEST_F(EndpointChoice, ALateLinkFailureDoesNotAffectARestartedMember)
{
    endpoints.recordReachable("a1", start + 2s); // Restarted and connected
    endpoints.recordUnreachable("a1", start + 1s, start + 3s);
    EXPECT_EQ(endpoints.find("a1")->linkFailures, 0U);
    endpoints.recordUnreachable("a1", start + 2s, start + 3s);
    EXPECT_EQ(endpoints.find("a1")->linkFailures, 1U);
    EXPECT_EQ(endpoints.nextToProbe("zone-a", start + 3s), nullptr);
    EXPECT_EQ(endpoints.nextToProbe("zone-b", start + 1h), nullptr);
    ASSERT_NE(endpoints.nextToProbe("zone-a", start + 1h), nullptr);
    EXPECT_EQ(endpoints.nextToProbe("zone-a", start + 1h)->member.name, "a1");
}

TEST_F(EndpointChoice, AnUnreachableLedgerOwnerIsProbedAndUsedOnlyOnceItIsReachable)
{
    constexpr size_t ledger = 0;
    const auto owner = endpoints.ledgerOwner(ledger)->member.name;
    endpoints.recordUnreachable(owner, start, start);
    const auto later = start + settings.linkPenaltyMaximum;
    EXPECT_NE(endpoints.ledgerOwner(ledger)->member.name, owner);
    EXPECT_EQ(endpoints.ledgerOwnerToProbe(ledger, start), nullptr);
    ASSERT_NE(endpoints.ledgerOwnerToProbe(ledger, later), nullptr);
    EXPECT_EQ(endpoints.ledgerOwnerToProbe(ledger, later)->member.name, owner);
    endpoints.recordReachable(owner, later);
    EXPECT_EQ(endpoints.ledgerOwner(ledger)->member.name, owner);
    EXPECT_EQ(endpoints.ledgerOwnerToProbe(ledger, later), nullptr);
}

TEST_F(EndpointChoice, ALeavingLedgerOwnerIsNotUsedUntilItsProcessHasEnded)
{
    constexpr size_t ledger = 0;
    const auto owner = endpoints.ledgerOwner(ledger)->member.name;
    endpoints.recordLeaving(owner, true);
    EXPECT_NE(endpoints.ledgerOwner(ledger)->member.name, owner);
    endpoints.recordUnreachable(owner, start, start);
    endpoints.recordReachable(owner, start + 1s); // Restarted
    EXPECT_EQ(endpoints.ledgerOwner(ledger)->member.name, owner);
}

// A member fails under load, and its link breaks only after one second without a response. Without recordUnresponsive(), calls
// sent to it in that second would be lost.
TEST_F(EndpointChoice, AMemberWithAnUnresponsiveLinkGetsNoNewCallsUntilItReports)
{
    endpoints.update({ "a2", "zone-a", "a2:1", "s" });
    report("a1", 1, 10, 50ms, start);
    report("a2", 1, 10, 50ms, start);
    report("b1", 1, 10, 50ms, start);
    endpoints.recordUnresponsive("a1", start);
    size_t lost = 0;
    for (auto now = start; now < start + settings.linkPenalty; now += 10ms) {
        const auto chosen = choose(now);
        lost += chosen == "a1" ? 1 : 0;
        if (chosen != "a1")
            report(chosen, 1, 10, 50ms, now);
    }
    EXPECT_EQ(lost, 0U);
    report("a1", 0, 10, 10ms, start + 300ms); // Its response to the link probe
    EXPECT_EQ(choose(start + 300ms), "a1");
    endpoints.recordUnresponsive("a1", start + 400ms);
    EXPECT_EQ(choose(start + 400ms, { "a2", "b1" }), "a1"); // No other member is left
}

TEST_F(EndpointChoice, AMemberOfAnotherServiceIsNotChosen)
{
    endpoints.update({ "a1", "zone-a", "a1:1", "other" });
    EXPECT_EQ(choose(start), "b1");
    endpoints.remove("b1");
    EXPECT_EQ(choose(start), "");
}

// Two equal backend servers, of which a stall hit the only run of one.
TEST(StalledRuns, AStallOfOneRunDoesNotKeepRequestsFromABackendServer)
{
    constexpr auto interval = 20ms;        // Also the time of a run, so that both servers have free slots throughout
    constexpr size_t untilRecovered = 150; // In 3 s
    constexpr size_t counted = 100;        // In the 2 s after that
    const MeshSettings settings;
    RemoteEndpoints endpoints(settings, "zone-a");
    std::map<std::string, EndpointQueue> queues;
    TimePoint now = start;
    const auto record = [&](const std::string& name, Duration time) {
        auto& queue = queues.at(name);
        queue.recordServiceTime(time, now);
        endpoints.recordReport(name, queue.report(true, now), now);
    };
    for (const std::string name : { "stalled", "other" }) {
        endpoints.update({ name, "zone-a", name + ":1", "s" });
        queues.try_emplace(name, settings).first->second.setSlots(100);
        record(name, interval);
    }
    record("stalled", 10 * interval);
    std::map<std::string, size_t> chosen;
    for (size_t i = 0; i < untilRecovered + counted; ++i) {
        const auto name = endpoints.choose("s", now, {})->member.name;
        chosen[name] += i >= untilRecovered ? 1 : 0;
        now += interval;
        record(name, interval);
    }
    EXPECT_GE(chosen["stalled"], counted * 3 / 10); // Three fifths of an equal share
}

// One run in fifty is measured during a stall; a third of the requests are 66.
TEST(StalledRuns, EqualBackendServersKeepTheirSharesWhenFewRunsTakeLonger)
{
    constexpr auto runTime = 20ms;
    constexpr size_t counted = 200;
    constexpr size_t leastShare = 40;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        const MeshSettings settings;
        RemoteEndpoints endpoints(settings, "zone-a");
        std::map<std::string, EndpointQueue> queues;
        std::minstd_rand random(seed);
        std::bernoulli_distribution isStalled(0.02);
        TimePoint now = start;
        for (const std::string name : { "a", "b", "c" }) {
            endpoints.update({ name, "zone-a", name + ":1", "s" });
            queues.try_emplace(name, settings).first->second.setSlots(100);
            endpoints.recordReport(name, queues.at(name).report(true, now), now);
        }
        for (int window = 0; window < 20; ++window) {
            std::map<std::string, size_t> chosen;
            for (size_t i = 0; i < counted; ++i) {
                const auto name = endpoints.choose("s", now, {})->member.name;
                ++chosen[name];
                now += runTime / 2;
                queues.at(name).recordServiceTime(isStalled(random) ? 3 * runTime : runTime, now);
                endpoints.recordReport(name, queues.at(name).report(true, now), now);
            }
            for (const auto& [name, queue] : queues)
                EXPECT_GE(chosen[name], leastShare) << name << ", seed " << seed;
        }
    }
}

TEST(StoreReaders, AreTheSameOnAllMembersAndExcludeUnreachableOnes)
{
    const MeshSettings settings;
    RemoteEndpoints one(settings, "zone-a");
    RemoteEndpoints two(settings, "zone-b");
    for (int i = 0; i < 9; ++i) {
        const MeshMember member { "m" + std::to_string(i), i < 6 ? "zone-a" : "zone-b", "1.1.1.1:1", "s" };
        one.update(member);
        two.update(member);
    }
    const auto readers = one.readersOf("zone-a", 2, start);
    ASSERT_EQ(readers.size(), 2U);
    EXPECT_EQ(two.readersOf("zone-a", 2, start)[0]->member.name, readers[0]->member.name);
    const auto first = readers[0]->member.name;
    one.recordUnreachable(first, start, start);
    EXPECT_EQ(one.readersOf("zone-a", 2, start)[0]->member.name, readers[1]->member.name);
    EXPECT_EQ(one.readersOf("zone-c", 2, start).size(), 0U);
    // A member that never returns must not become store reader again each time that its back-off ends.
    EXPECT_EQ(one.readersOf("zone-a", 2, start + 1h)[0]->member.name, readers[1]->member.name);
    one.recordReachable(first, start + 1h);
    EXPECT_EQ(one.readersOf("zone-a", 2, start + 1h)[0]->member.name, first);
}

TEST(EndpointQueue, RunsQueuesOrRefusesByTheRemainingTime)
{
    const MeshSettings settings;
    EndpointQueue queue(settings);
    const TimePoint now { 1s };
    queue.setSlots(2);
    queue.recordServiceTime(100ms, now);
    EXPECT_EQ(queue.decide(4, 0ms, now), QueueDecision::Run);
    for (uint32_t i = 0; i < queue.limit(); ++i)
        queue.recordStart(now);
    EXPECT_EQ(queue.decide(4, 0ms, now), QueueDecision::Refuse);
    EXPECT_EQ(queue.decide(4, 1s, now), QueueDecision::Wait);
    std::vector<QueueItem> items(20);
    for (auto& item : items) {
        item.priority = 4;
        queue.push(item);
    }
    EXPECT_EQ(queue.decide(4, 1s, now), QueueDecision::Refuse);
    EXPECT_EQ(queue.decide(6, 1s, now), QueueDecision::Wait);
    EXPECT_GT(queue.retryAfter(4, now), 0ms);
    EXPECT_EQ(queue.popIfFree(now), nullptr);
    queue.recordEnd();
    EXPECT_NE(queue.popIfFree(now), nullptr);
    for (auto& item : items)
        queue.remove(item);
    EXPECT_EQ(queue.queued(), 0U);
}

TEST(ScheduledRetries, AnEntryCountsOnceAndExpires)
{
    ScheduledRetries retries;
    retries.add(7, 500ms, start);
    EXPECT_FALSE(retries.consume(8, start + 500ms));
    EXPECT_TRUE(retries.consume(7, start + 500ms));
    EXPECT_FALSE(retries.consume(7, start + 500ms));
    retries.add(7, 500ms, start);
    EXPECT_FALSE(retries.consume(7, start + 10s));
}

TEST(ConfigurationFreshness, CountsFromTheRequestAndNeverGoesBack)
{
    ConfigurationFreshness freshness;
    EXPECT_FALSE(freshness.isFresh(start, 1h));
    freshness.confirm(start);
    freshness.confirm(start - 5s);
    EXPECT_TRUE(freshness.isFresh(start + 4s, 5s));
    EXPECT_FALSE(freshness.isFresh(start + 5s, 5s));
}

// Simulates the overload that RootLoadShedder handles: requests of two routes whose nested calls share one service far below,
// which gets more requests than it can serve. Counts requests that complete in time.
struct CallGraphLoad {
    bool withShedding { true };
    double urgentPerSecond { 40 };
    double bulkPerSecond { 120 };
};

struct CallGraphResult {
    double urgentServed { 0 }; // Fraction of the requests sent
    double bulkServed { 0 };
    double bulkFailed { 0 }; // Fraction that was admitted and failed after some of its calls had run
};

CallGraphResult simulateCallGraph(const CallGraphLoad& load)
{
    constexpr unsigned callsPerRequest = 8; // Sequential, each 40 ms at a service with 36 usable slots: 112 requests/s
    constexpr auto callTime = 40ms;
    constexpr auto timeLimit = 1s;
    constexpr auto step = 1ms;
    const MeshSettings settings;
    RootLoadShedder shedder(settings);
    EndpointQueue sharedQueue(settings);
    sharedQueue.setSlots(38);
    sharedQueue.recordServiceTime(callTime, start);
    struct Request : QueueItem {
        const char* route { "" };
        uint8_t root { 0 };
        unsigned callsLeft { callsPerRequest };
        TimePoint callEnds {};
        bool calling { false };
        bool finished { false };
    };
    std::vector<std::unique_ptr<Request>> live;
    std::mt19937 random(7);
    constexpr auto end = start + 10s;
    double sent[2] {};
    double served[2] {};
    double failed[2] {};
    const auto finish = [&](Request& request, bool succeeded) {
        request.finished = true;
        shedder.recordEnd(request.route, request.root);
        (succeeded ? served : failed)[request.root == priorityOfRank(0) ? 0 : 1] += 1;
    };
    const auto call = [&](Request& request, TimePoint now) {
        if (sharedQueue.decide(request.priority, request.deadline - now - callTime, now) == QueueDecision::Refuse) {
            shedder.recordPressure(request.route, request.root, sharedQueue.pressure(request.priority, now), now);
            finish(request, false);
            return;
        }
        sharedQueue.push(request);
    };
    for (TimePoint now = start; now < end + timeLimit; now += step) {
        for (const bool urgent : { true, false }) {
            if (now >= end)
                break;
            const double rate = urgent ? load.urgentPerSecond : load.bulkPerSecond;
            if (std::uniform_real_distribution<double>(0, 1)(random) >= rate * toSeconds(step))
                continue;
            sent[urgent ? 0 : 1] += 1;
            const char* route = urgent ? "urgent" : "bulk";
            const auto root = priorityOfRank(urgent ? 0 : 2);
            if (load.withShedding && !shedder.admits(route, root, false, now))
                continue;
            auto request = std::make_unique<Request>();
            request->route = route;
            request->root = root;
            request->priority = nestedCallPriority(root);
            request->deadline = now + timeLimit;
            shedder.recordStart(route, root);
            call(*request, now);
            live.push_back(std::move(request));
        }
        for (auto& request : live) {
            if (request->finished || !request->calling || request->callEnds > now)
                continue;
            request->calling = false;
            sharedQueue.recordEnd();
            shedder.recordPressure(request->route, request->root, sharedQueue.pressure(request->priority, now), now);
            if (!--request->callsLeft)
                finish(*request, true);
            else
                call(*request, now);
        }
        for (auto* item : sharedQueue.takeExpired(now))
            finish(static_cast<Request&>(*item), false);
        while (auto* item = sharedQueue.popIfFree(now)) {
            auto& request = static_cast<Request&>(*item);
            sharedQueue.recordStart(now);
            request.calling = true;
            request.callEnds = now + callTime;
        }
        std::erase_if(live, [](const auto& request) { return request->finished; });
    }
    for (auto& request : live)
        sharedQueue.remove(*request);
    return { served[0] / sent[0], served[1] / sent[1], failed[1] / sent[1] };
}

TEST(RootLoadShedder, CompletesUrgentCallGraphsAndWastesLittleWorkWhenAServiceBelowIsOverloaded)
{
    CallGraphLoad load;
    const auto withShedding = simulateCallGraph(load);
    load.withShedding = false;
    const auto withoutShedding = simulateCallGraph(load);
    EXPECT_GT(withShedding.urgentServed, 0.97);
    EXPECT_GT(withShedding.bulkServed, 0.45); // 72 of 120 requests/s would fit
    EXPECT_GT(withShedding.bulkServed, withoutShedding.bulkServed + 0.2);
    EXPECT_LT(withShedding.bulkFailed, withoutShedding.bulkFailed / 2);
}

TEST(RootLoadShedder, DoesNotLimitRoutesWithoutPressureAndLiftsItsLimitAfterwards)
{
    const MeshSettings settings;
    RootLoadShedder shedder(settings);
    auto now = start;
    for (int i = 0; i < 40; ++i, now += 50ms) {
        shedder.recordStart("pressed", 4);
        shedder.recordPressure("pressed", 4, 500ms, now);
        shedder.recordPressure("calm", 4, 1ms, now);
        shedder.recordStart("calm", 4);
    }
    EXPECT_FALSE(shedder.admits("pressed", 4, false, now));
    EXPECT_TRUE(shedder.admits("calm", 4, false, now));
    EXPECT_TRUE(shedder.admits("pressed", 6, false, now));
    for (int i = 0; i < 40; ++i)
        shedder.recordEnd("pressed", 4);
    for (int i = 0; i < 100; ++i, now += 50ms)
        shedder.admits("pressed", 4, false, now);
    for (int i = 0; i < 1000; ++i)
        shedder.recordStart("pressed", 4);
    EXPECT_TRUE(shedder.admits("pressed", 4, false, now));
}

} // namespace
} // namespace shallot
