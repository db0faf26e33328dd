// What becomes of calls between daemons when their link ends.

#include "LinkRelay.h"
#include "RawEndpoint.h"
#include "SidecarHarness.h"

#include "platform/Names.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

namespace shallot {
namespace {

using namespace std::chrono_literals;

// All links to each daemon run through a relay. The last daemon has no backend server of the calls' service.
class LinkEnd : public testing::Test {
protected:
    explicit LinkEnd(const std::vector<std::string>& locations = { "zone-a/alpha", "zone-a/alpha", "zone-a/beta" })
        : mesh(locations)
        , sender(locations.size() - 1)
    {
        constexpr uint16_t relayPortOffset = 4;
        std::map<std::string, std::string> replacements;
        const auto relayAddress = [this](size_t daemon) {
            const auto address = mesh.peersAddress(daemon);
            return SocketAddress { address.host, static_cast<uint16_t>(address.port + relayPortOffset) };
        };
        for (size_t i = 0; i < locations.size(); ++i)
            replacements[mesh.peersAddress(i).toString()] = relayAddress(i).toString();
        for (size_t i = 0; i < locations.size(); ++i)
            relays.push_back(std::make_unique<LinkRelay>(relayAddress(i), mesh.peersAddress(i), replacements));
        mesh.store().setRecordFilter([replacements](const std::string& topic, std::string value) {
            if (topic != platform::store::memberTopic)
                return value;
            for (const auto& [own, relay] : replacements) {
                if (const auto at = value.find(own); at != std::string::npos)
                    value.replace(at, own.size(), relay);
            }
            return value;
        });
    }

    void SetUp() override
    {
        mesh.timeLimit = 4;
        mesh.writeConfiguration(2);
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.runFor(300ms);
        for (size_t i = 0; i < sender; ++i) { // So that the sender has an established link to each
            const auto before = mesh.endpoint(i).requests().size();
            ASSERT_TRUE(mesh.runUntil([this, i, before] {
                return mesh.fetch(sender, "/read/link").status() == 200 && mesh.endpoint(i).requests().size() > before;
            }));
        }
    }

    // Runs at the backend servers stay open until answerRuns().
    void holdRuns()
    {
        for (size_t i = 0; i < sender; ++i) {
            mesh.endpoint(i).setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                held.emplace_back(connection, request);
            });
        }
    }

    void answerRuns()
    {
        for (const auto& [connection, request] : std::exchange(held, {}))
            EndpointStandin::respond(*connection, request);
    }

    std::shared_ptr<SidecarHarness::Exchange> sendOrder() { return mesh.send(sender, { "POST", "/order/1", {}, {} }); }

    std::vector<std::shared_ptr<SidecarHarness::Exchange>> sendOrders(size_t count)
    {
        std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges(count);
        std::generate(exchanges.begin(), exchanges.end(), [this] { return sendOrder(); });
        return exchanges;
    }

    void forAllRelays(const std::function<void(LinkRelay&)>& action)
    {
        for (const auto& relay : relays)
            action(*relay);
    }

    bool isAnyHeld(size_t (LinkRelay::*bytes)() const) const
    {
        for (size_t i = 0; i < sender; ++i) {
            if ((*relays[i].*bytes)())
                return true;
        }
        return false;
    }

    SidecarHarness mesh;
    size_t sender;
    std::vector<std::unique_ptr<LinkRelay>> relays;
    std::vector<std::pair<RefPtr<StrictHTTPConnection>, HTTPRequest>> held;
};

class LinkEndOneBackendServer : public LinkEnd {
protected:
    LinkEndOneBackendServer()
        : LinkEnd({ "zone-a/alpha", "zone-a/beta" })
    {
    }

    // Calls that may run only once: runs that stay open as many as the backend server takes, and one that waits.
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> fillBackendServer()
    {
        constexpr size_t maximumCalls = 20;
        holdRuns();
        std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
        while (held.size() == exchanges.size() && exchanges.size() < maximumCalls) {
            exchanges.push_back(sendOrder());
            mesh.runFor(50ms);
        }
        return exchanges;
    }

    void endLinksAndHoldNewOnes()
    {
        forAllRelays([](LinkRelay& relay) {
            relay.reset();
            relay.holdToTarget(true);
        });
    }
};

TEST_F(LinkEnd, CallsOnTheWayToADaemonThatEndsAreServedElsewhere)
{
    mesh.setShutdownTime(0, 2s);
    relays[0]->holdFromTarget(true); // The sender must not learn of the leave before, on a link of either side
    relays[sender]->holdToTarget(true);
    relays[0]->holdToTarget(true);
    bool hasLeft = false;
    mesh.daemon(0).setLeaveCompletedHandler([&hasLeft] { hasLeft = true; });
    mesh.daemon(0).leave(MonotonicClock::now());
    mesh.runFor(1s);
    const auto exchanges = sendOrders(8);
    mesh.runFor(100ms);
    EXPECT_GT(relays[0]->heldToTarget(), 0U);
    ASSERT_TRUE(mesh.runUntil([&hasLeft] { return hasLeft; }));
    mesh.stop(0);
    relays[0]->holdFromTarget(false);
    relays[sender]->holdToTarget(false);
    for (const auto& exchange : exchanges)
        EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), exchanges.size());
}

TEST_F(LinkEnd, ACallThatNeverArrivedIsServedElsewhere)
{
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(true); });
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return isAnyHeld(&LinkRelay::heldToTarget); }));
    mesh.runFor(20ms);
    forAllRelays([](LinkRelay& relay) {
        relay.reset();
        relay.holdToTarget(false);
    });
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

TEST_F(LinkEnd, ACallThatArrivesAfterItWasSentElsewhereIsNotRun)
{
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(true); });
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return isAnyHeld(&LinkRelay::heldToTarget); }));
    mesh.runFor(20ms);
    forAllRelays([](LinkRelay& relay) { relay.resetInitiators(); });
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(false); });
    mesh.runFor(300ms);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

TEST_F(LinkEnd, ACallThatRunsIsAnsweredOverANewLink)
{
    holdRuns();
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    forAllRelays([](LinkRelay& relay) { relay.reset(); });
    mesh.runFor(600ms); // Longer than a run whose caller is gone may continue
    answerRuns();
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

TEST_F(LinkEndOneBackendServer, CallsThatWaitAreAnsweredOverANewLink)
{
    holdRuns();
    const auto exchanges = sendOrders(6);
    mesh.runFor(200ms);
    ASSERT_GE(held.size(), 1U);
    ASSERT_LT(held.size(), exchanges.size());
    forAllRelays([](LinkRelay& relay) { relay.reset(); });
    mesh.runFor(600ms);
    EXPECT_TRUE(mesh.runUntil([this] {
        answerRuns();
        return mesh.executionCount("/order/1") >= 6;
    }));
    answerRuns();
    for (const auto& exchange : exchanges)
        EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), exchanges.size());
}

TEST_F(LinkEnd, AnAnswerLostWithItsLinkIsSentAgain)
{
    forAllRelays([](LinkRelay& relay) { relay.holdFromTarget(true); });
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return mesh.executionCount("/order/1") == 1; }));
    mesh.runFor(100ms);
    ASSERT_TRUE(isAnyHeld(&LinkRelay::heldFromTarget));
    forAllRelays([](LinkRelay& relay) {
        relay.reset();
        relay.holdFromTarget(false);
    });
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

// The run ends while the daemon beside it can't be reached, or afterwards.
class LinkEndStalledDaemon : public LinkEndOneBackendServer, public testing::WithParamInterface<bool> { };

TEST_P(LinkEndStalledDaemon, ACallIsAnsweredWhenTheDaemonGoesOn)
{
    const bool endsMeanwhile = GetParam();
    holdRuns();
    const auto order = sendOrder();
    const auto read = mesh.send(sender, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 2; }));
    forAllRelays([](LinkRelay& relay) {
        relay.holdToTarget(true);
        relay.holdFromTarget(true);
    });
    mesh.runFor(1s);
    if (endsMeanwhile)
        answerRuns();
    mesh.runFor(1500ms);
    forAllRelays([](LinkRelay& relay) {
        relay.holdToTarget(false);
        relay.holdFromTarget(false);
    });
    mesh.runFor(400ms);
    answerRuns();
    EXPECT_EQ(mesh.wait(order).status(), 200);
    EXPECT_EQ(mesh.wait(read).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
    EXPECT_EQ(mesh.executionCount("/read/1"), 1U);
}

INSTANTIATE_TEST_SUITE_P(Runs, LinkEndStalledDaemon, testing::Bool());

TEST_F(LinkEnd, AResponseThatArrivesWhileTheProcessStandsStillIsNotLate)
{
    holdRuns();
    const auto exchange = mesh.send(sender, { "GET", "/read/1", { { std::string(platform::header::deadline), "800" } }, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    answerRuns();
    std::this_thread::sleep_for(1200ms);
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
}

TEST_F(LinkEndOneBackendServer, ARunThatMayRunOnlyOnceIsAnsweredAfterALateReconnection)
{
    holdRuns();
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    forAllRelays([](LinkRelay& relay) {
        relay.reset();
        relay.holdToTarget(true);
    });
    mesh.runFor(550ms); // Longer than a run whose caller is gone may continue
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(false); });
    mesh.runFor(100ms);
    answerRuns();
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

TEST_F(LinkEndOneBackendServer, ARunThatMayRunOnlyOnceAndBeginsWithoutALinkIsAnsweredAfterALateReconnection)
{
    const auto exchanges = fillBackendServer();
    ASSERT_EQ(held.size() + 1, exchanges.size());
    endLinksAndHoldNewOnes();
    mesh.runFor(100ms);
    answerRuns();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    mesh.runFor(450ms); // Longer than a call without a link may continue
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(false); });
    mesh.runFor(100ms);
    answerRuns();
    for (const auto& exchange : exchanges)
        EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), exchanges.size());
}

TEST_F(LinkEndOneBackendServer, ACallThatWaitedUntilItWasGivenUpHasNotRun)
{
    const auto exchanges = fillBackendServer();
    ASSERT_EQ(held.size() + 1, exchanges.size());
    endLinksAndHoldNewOnes();
    mesh.runFor(550ms); // Longer than a call without a link may continue
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(false); });
    mesh.runFor(100ms);
    answerRuns();
    EXPECT_EQ(mesh.wait(exchanges.back()).status(), 503);
    for (size_t i = 0; i + 1 < exchanges.size(); ++i)
        EXPECT_EQ(mesh.wait(exchanges[i]).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1") + 1, exchanges.size());
}

// A request whose daemon stands still is sent to another backend server as well.
class LinkEndReplacedAttempt : public LinkEnd {
protected:
    // Starts a run and keeps the links of its daemon silent until the request has been sent elsewhere and they have ended.
    void startAndStall(const std::function<void()>& beforeStall = [] {})
    {
        startAndStallOpenLinks(beforeStall);
        ASSERT_TRUE(mesh.runUntil([this] { return relays[first]->endedLinks() > endedLinks; }));
    }

    // The same with links that are still open.
    void startAndStallOpenLinks(const std::function<void()>& beforeStall = [] {})
    {
        holdRuns();
        exchange = mesh.send(sender, { "GET", "/read/1", {}, {} });
        ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
        first = mesh.endpoint(0).requests().back().target == "/read/1" ? 0 : 1;
        beforeStall();
        endedLinks = relays[first]->endedLinks();
        relays[first]->holdToTarget(true);
        relays[first]->holdFromTarget(true);
        ASSERT_TRUE(mesh.runUntil([this] { return mesh.executionCount("/read/1") == 2; }));
        EXPECT_EQ(relays[first]->endedLinks(), endedLinks);
    }

    void endStall()
    {
        relays[first]->holdToTarget(false);
        relays[first]->holdFromTarget(false);
        mesh.runFor(200ms);
    }

    size_t other() const { return 1 - first; }

    std::shared_ptr<SidecarHarness::Exchange> exchange;
    size_t first { 0 };
    size_t endedLinks { 0 }; // Before the stall
};

TEST_F(LinkEndReplacedAttempt, ARequestThatIsRefusedElsewhereIsAnsweredByItsFirstBackendServer)
{
    startAndStall([this] { mesh.endpoint(other()).setScript(EndpointStandin::refuse); });
    mesh.runFor(200ms);
    EXPECT_FALSE(exchange->done);
    endStall();
    EXPECT_EQ(mesh.endpoint(first).disconnectCount(), 0U);
    answerRuns();
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
}

TEST_F(LinkEndReplacedAttempt, ARequestAtADaemonThatLeavesIsAnsweredElsewhereWhileTheFirstOneStandsStill)
{
    mesh.setShutdownTime(sender, 3s);
    startAndStallOpenLinks([this] { mesh.daemon(sender).leave(MonotonicClock::now()); });
    answerRuns();
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
}

TEST_F(LinkEndReplacedAttempt, ARequestThatIsRefusedElsewhereIsAnsweredOverItsFirstLinkAfterAShortStall)
{
    startAndStallOpenLinks([this] { mesh.endpoint(other()).setScript(EndpointStandin::refuse); });
    endStall();
    EXPECT_EQ(relays[first]->endedLinks(), endedLinks);
    answerRuns();
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
}

TEST_F(LinkEndReplacedAttempt, TheFirstAnswerOfTwoBackendServersEndsTheOtherRun)
{
    startAndStall();
    endStall();
    const auto [connection, request] = held.front();
    EndpointStandin::respond(*connection, request);
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.endpoint(other()).disconnectCount(), 1U);
}

TEST_F(LinkEndReplacedAttempt, BothRunsEndWhenTheCallerDisconnects)
{
    startAndStall();
    endStall();
    mesh.disconnectCaller();
    mesh.runFor(200ms);
    EXPECT_EQ(mesh.endpoint(first).disconnectCount(), 1U);
    EXPECT_EQ(mesh.endpoint(other()).disconnectCount(), 1U);
}

TEST_F(LinkEndReplacedAttempt, TheRunOfAStalledDaemonEndsWhenAnotherOneHasAnswered)
{
    startAndStall();
    const auto [connection, request] = held.back();
    EndpointStandin::respond(*connection, request);
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.endpoint(first).disconnectCount(), 0U);
    endStall();
    mesh.runFor(300ms); // With those before: 0.5 s
    EXPECT_EQ(mesh.endpoint(first).disconnectCount(), 1U);
}

class LinkEndThreeBackendServers : public LinkEnd {
protected:
    LinkEndThreeBackendServers()
        : LinkEnd({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha", "zone-a/beta" })
    {
    }
};

// The route allows two; the silent one may be running the request.
TEST_F(LinkEndThreeBackendServers, ASilentBackendServerCountsAsOneThatGotTheRequest)
{
    holdRuns();
    const auto exchange = mesh.send(sender, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    size_t first = 0;
    while (mesh.endpoint(first).requests().back().target != "/read/1")
        ++first;
    relays[first]->holdToTarget(true);
    relays[first]->holdFromTarget(true);
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 2; }));
    EndpointStandin::respond(*held.back().first, held.back().second, 500, "own failure");
    mesh.runFor(300ms);
    EXPECT_EQ(mesh.executionCount("/read/1"), 2U);
    EXPECT_EQ(mesh.wait(exchange).status(), 500);
}

TEST_F(LinkEnd, ARequestThatWasNotBegunAndIsRefusedElsewhereHasNotRun)
{
    mesh.endpoint(1).setScript(EndpointStandin::refuse);
    relays[0]->holdToTarget(true);
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    for (size_t i = 0; i < 8; ++i)
        exchanges.push_back(mesh.send(sender, { "GET", "/read/1", {}, {} }));
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.executionCount("/read/1") == exchanges.size(); })); // All were refused there
    mesh.runFor(100ms);
    relays[0]->reset();
    relays[0]->holdToTarget(false);
    for (const auto& exchange : exchanges)
        EXPECT_EQ(mesh.wait(exchange).status(), 503);
    const auto& arrived = mesh.endpoint(0).requests();
    EXPECT_TRUE(std::none_of(arrived.begin(), arrived.end(), [](const auto& request) { return request.target == "/read/1"; }));
}

TEST_F(LinkEndOneBackendServer, ADaemonThatLeavesKeepsAnOutcomeUntilItsSenderAsksForIt)
{
    holdRuns();
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    bool hasLeft = false;
    mesh.daemon(0).setLeaveCompletedHandler([&hasLeft] { hasLeft = true; });
    mesh.daemon(0).leave(MonotonicClock::now());
    mesh.runFor(2500ms); // Shortly before it stops accepting requests
    forAllRelays([](LinkRelay& relay) {
        relay.reset();
        relay.holdToTarget(true);
    });
    mesh.runFor(100ms);
    answerRuns();
    mesh.runFor(500ms);
    EXPECT_FALSE(hasLeft);
    if (hasLeft)
        mesh.stop(0);
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(false); });
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_TRUE(mesh.runUntil([&hasLeft] { return hasLeft; }));
}

TEST_F(LinkEndOneBackendServer, ADaemonThatLeavesKeepsAnOutcomeThatWasLostWithItsLink)
{
    holdRuns();
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    bool hasLeft = false;
    mesh.daemon(0).setLeaveCompletedHandler([&hasLeft] { hasLeft = true; });
    mesh.daemon(0).leave(MonotonicClock::now());
    mesh.runFor(2500ms); // Shortly before it stops accepting requests
    forAllRelays([](LinkRelay& relay) { relay.holdFromTarget(true); });
    answerRuns();
    mesh.runFor(50ms);
    endLinksAndHoldNewOnes();
    mesh.runFor(250ms);
    EXPECT_FALSE(hasLeft);
    if (hasLeft)
        mesh.stop(0);
    forAllRelays([](LinkRelay& relay) {
        relay.holdFromTarget(false);
        relay.holdToTarget(false);
    });
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_TRUE(mesh.runUntil([&hasLeft] { return hasLeft; }));
}

TEST_F(LinkEndOneBackendServer, ACallAtAKilledDaemonMayHaveRun)
{
    holdRuns();
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    mesh.stop(0);
    EXPECT_EQ(mesh.wait(exchange).status(), 502);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

// The daemon that is asked is another process at the same address, which does not know the call.
TEST_F(LinkEndOneBackendServer, ACallAtARestartedDaemonMayHaveRun)
{
    holdRuns();
    const auto exchange = sendOrder();
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    mesh.stop(0);
    mesh.start(0);
    EXPECT_EQ(mesh.wait(exchange).status(), 502);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

TEST_F(LinkEndOneBackendServer, ARunWhoseSenderIsGoneEndsWithinHalfASecond)
{
    holdRuns();
    mesh.send(sender, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const auto before = mesh.endpoint(0).disconnectCount();
    mesh.stop(sender);
    mesh.runFor(500ms);
    EXPECT_EQ(mesh.endpoint(0).disconnectCount(), before + 1);
}

// A partition holds calls up until they are of no use any more, and ends then: the kernel delivers them all the same.
class LinkEndHeldUp : public LinkEnd {
protected:
    void SetUp() override
    {
        LinkEnd::SetUp();
        for (size_t i = 0; i < sender; ++i) {
            mesh.endpoint(i).stopServing();
            // It counts what arrives, also if it is cancelled at once.
            raws.push_back(std::make_unique<RawEndpoint>(mesh.backendServerAddress(i), "instance-" + std::to_string(i),
                [this](StreamSocket& socket, const std::string& attempt) {
                    ++arrivals;
                    socket.write(RawEndpoint::responseTo(attempt, "whole"));
                }));
        }
        for (size_t i = 0; i < 2 * sender; ++i)
            ASSERT_TRUE(mesh.runUntil([this] { return mesh.fetch(sender, "/read/raw").status() == 200; }));
        arrivals = 0;
    }

    std::vector<std::unique_ptr<RawEndpoint>> raws;
    size_t arrivals { 0 };
};

TEST_F(LinkEndHeldUp, ACallWhoseCallerHasLeftDoesNotReachTheBackendServer)
{
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(true); });
    for (const HTTPRequest& request : { HTTPRequest { "GET", "/read/1", {}, {} }, HTTPRequest { "POST", "/order/1", {}, {} } }) {
        mesh.send(sender, request);
        mesh.runFor(50ms);
        mesh.disconnectCaller();
    }
    EXPECT_TRUE(isAnyHeld(&LinkRelay::heldToTarget));
    mesh.runFor(1500ms);
    forAllRelays([](LinkRelay& relay) { relay.holdToTarget(false); });
    mesh.runFor(300ms);
    EXPECT_EQ(arrivals, 0U);
    EXPECT_TRUE(mesh.runUntil([this] { return mesh.fetch(sender, "/read/2").status() == 200; }));
}

TEST_F(LinkEndHeldUp, ACallWhoseRequestWasAnsweredElsewhereDoesNotReachTheBackendServer)
{
    constexpr size_t sent = 12;
    relays[0]->holdToTarget(true);
    for (size_t i = 0; i < sent; ++i) {
        mesh.send(sender, { "GET", "/read/1", {}, {} });
        mesh.runFor(10ms);
    }
    EXPECT_GT(relays[0]->heldToTarget(), 0U);
    mesh.runFor(1500ms);
    relays[0]->holdToTarget(false);
    mesh.runFor(300ms);
    EXPECT_EQ(arrivals, sent);
}

// Its caller disconnects after the link has ended.
TEST_F(LinkEndOneBackendServer, ACallOnANewLinkCanBeCancelled)
{
    holdRuns();
    mesh.send(sender, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const auto before = mesh.endpoint(0).disconnectCount();
    forAllRelays([](LinkRelay& relay) { relay.reset(); });
    mesh.runFor(400ms);
    EXPECT_EQ(mesh.endpoint(0).disconnectCount(), before);
    mesh.disconnectCaller();
    mesh.runFor(200ms);
    EXPECT_EQ(mesh.endpoint(0).disconnectCount(), before + 1);
}

} // namespace
} // namespace shallot
