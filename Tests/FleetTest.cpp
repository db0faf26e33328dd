// Several daemons over real sockets: at-most-once execution, configuration during log outages, isolated zones, stopped daemons
// and rate limits across the fleet.

#include "FleetHarness.h"

#include "core/Digest.h"
#include "core/JSON.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

TEST(Fleet, ResendThroughAnotherDaemonGetsTheCachedResponse)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    const auto first = fleet.wait(fleet.post(0, "/confirm/1", "key-1"));
    ASSERT_EQ(first.response->status, 200) << first.error();
    for (size_t i = 0; i < 3; ++i)
        EXPECT_EQ(fleet.wait(fleet.post(i, "/confirm/1", "key-1")).response->body, first.response->body);
    EXPECT_EQ(fleet.countRequests("/confirm/1"), 1U);
    EXPECT_EQ(fleet.wait(fleet.post(1, "/confirm/other", "key-1")).error(), "bad-request");
}

TEST(Fleet, ConcurrentResendsRunOnce)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    std::vector<std::shared_ptr<FleetHarness::Exchange>> exchanges;
    for (size_t i = 0; i < 9; ++i)
        exchanges.push_back(fleet.post(i % 3, "/confirm/race", "key-race"));
    for (const auto& exchange : exchanges)
        EXPECT_EQ(fleet.wait(exchange).response->status, 200) << exchange->error();
    EXPECT_EQ(fleet.countRequests("/confirm/race"), 1U);
}

TEST(Fleet, LostClaimAcknowledgementDoesNotRunTheRequestTwice)
{
    FleetHarness fleet({ "zone-a", "zone-b" });
    fleet.log().faults().loseAcknowledgements = true;
    const auto& exchange = fleet.wait(fleet.post(0, "/confirm/lost", "key-lost"));
    EXPECT_EQ(exchange.response->status, 200) << exchange.error();
    fleet.wait(fleet.post(1, "/confirm/lost", "key-lost"));
    EXPECT_EQ(fleet.countRequests("/confirm/lost"), 1U);
}

TEST(Fleet, ResendAfterTheClaimHolderStoppedGetsOutcomeUnknown)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    ASSERT_EQ(fleet.wait(fleet.post(0, "/confirm/dead", "key-dead")).response->status, 200);
    const size_t runs = fleet.countRequests("/confirm/dead");
    fleet.stopDaemon(0);
    const auto& exchange = fleet.wait(fleet.post(1, "/confirm/dead", "key-dead"));
    EXPECT_EQ(exchange.error(), "fate-unknown");
    EXPECT_EQ(exchange.ran(), "unknown");
    EXPECT_EQ(fleet.countRequests("/confirm/dead"), runs);
}

TEST(Fleet, LogOutageServesIdempotentRoutesAndRefusesOthersAsNotExecuted)
{
    FleetHarness fleet({ "zone-a", "zone-b" });
    fleet.log().faults().down = true;
    fleet.runFor(4s); // Longer than the owner lease and all loans
    EXPECT_EQ(fleet.fetch(0, "/profiles/in-outage").response->status, 200);
    EXPECT_EQ(fleet.fetch(1, "/profiles/in-outage").response->status, 200);
    const auto& refused = fleet.wait(fleet.post(0, "/confirm/outage", "key-outage"));
    EXPECT_EQ(refused.error(), "log-unavailable");
    EXPECT_EQ(refused.ran(), "no");
    EXPECT_EQ(fleet.countRequests("/confirm/outage"), 0U);
    fleet.log().faults().down = false;
    EXPECT_TRUE(fleet.runUntil([&] {
        fleet.runFor(50ms);
        return fleet.wait(fleet.post(0, "/confirm/after", "key-after")).response->status == 200;
    }));
    // A request refused as not executed must not be executed later either, unless it is sent again.
    EXPECT_EQ(fleet.countRequests("/confirm/outage"), 0U);
}

TEST(Fleet, EditDuringLogOutageIsNotReportedAsAccepted)
{
    FleetHarness fleet({ "zone-a" });
    fleet.log().faults().down = true;
    const auto& exchange = fleet.wait(fleet.edit(0, fleet.keyWithdrawalEdit()));
    EXPECT_TRUE(exchange.error() == "log-unavailable" || exchange.error() == "fate-unknown") << exchange.error();
    EXPECT_EQ(fleet.fetch(0, "/profiles").response->status, 200);
}

TEST(Fleet, AcceptedEditAppliesAtEveryDaemonAndNeverReverts)
{
    FleetHarness fleet({ "zone-a", "zone-a", "zone-b", "zone-b" });
    ASSERT_EQ(fleet.wait(fleet.edit(3, fleet.keyWithdrawalEdit())).response->status, 200);
    for (size_t i = 0; i < 4; ++i) {
        EXPECT_TRUE(fleet.runUntil([&] {
            fleet.runFor(20ms);
            return fleet.fetch(i, "/profiles").error() == "key-unknown";
        }));
    }
    fleet.log().faults().down = true;
    for (int round = 0; round < 20; ++round) {
        fleet.runFor(50ms);
        EXPECT_EQ(fleet.fetch(static_cast<size_t>(round) % 4, "/profiles").error(), "key-unknown");
    }
}

TEST(Fleet, EditRequiresAnOperatorCredential)
{
    FleetHarness fleet({ "zone-a" });
    HTTPPool admin;
    admin.setAddress({ "127.0.0.1", fleet.port(0, 2) });
    std::string error;
    admin.send(1, { "POST", "/edits", { { "Host", "a" }, { "Authorization", "Bearer wrong" } }, "{}" },
        [&error](const Result<HTTPResponse>& response) { error = findHeader(response->headers, "X-Shallot-Error"); });
    EXPECT_TRUE(fleet.runUntil([&] { return !error.empty(); }));
    EXPECT_EQ(error, "operator-unknown");
}

TEST(Fleet, ADaemonThatLeavesTellsOperatorsAndItsBackendServerThatTheirConnectionsEnd)
{
    FleetHarness fleet({ "zone-a" });
    const auto closesConnection = [&fleet](uint16_t port) {
        HTTPPool client;
        client.setAddress({ "127.0.0.1", port });
        std::optional<std::string> connection;
        client.send(1, { "GET", "/status", { { "Host", "a" } }, {} }, [&connection](const Result<HTTPResponse>& response) {
            connection = response ? findHeader(response->headers, "Connection") : "failed";
        });
        EXPECT_TRUE(fleet.runUntil([&connection] { return connection.has_value(); }));
        return connection == "close";
    };
    EXPECT_FALSE(closesConnection(fleet.port(0, 1)));
    EXPECT_FALSE(closesConnection(fleet.port(0, 2)));
    fleet.daemon(0).leave();
    EXPECT_TRUE(closesConnection(fleet.port(0, 1)));
    EXPECT_TRUE(closesConnection(fleet.port(0, 2)));
}

TEST(Fleet, RateLimitHoldsAcrossAllDaemons)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    fleet.runFor(2s);
    std::vector<std::shared_ptr<FleetHarness::Exchange>> exchanges;
    const auto start = MonotonicClock::now();
    for (int i = 0; i < 150; ++i) {
        exchanges.push_back(fleet.get(static_cast<size_t>(i) % 3, "/profiles/tiny", "tiny-key"));
        fleet.runFor(10ms);
    }
    size_t served = 0;
    for (const auto& exchange : exchanges)
        served += fleet.wait(exchange).response->status == 200 ? 1 : 0;
    const double allowed = 4 + 10 * toSeconds(MonotonicClock::now() - start);
    EXPECT_LE(static_cast<double>(served), allowed);
    EXPECT_GE(served, 4U);
}

TEST(Fleet, IsolatedZoneKeepsServing)
{
    FleetHarness fleet({ "zone-a", "zone-a", "zone-a", "zone-b" });
    for (size_t i = 0; i < 3; ++i)
        fleet.setFaults(i, "\"log\",\"127.0.0.1:" + std::to_string(fleet.port(3, 3)) + "\"");
    std::string peersOfZoneA = "\"log\"";
    for (size_t i = 0; i < 3; ++i)
        peersOfZoneA += ",\"127.0.0.1:" + std::to_string(fleet.port(i, 3)) + "\"";
    fleet.setFaults(3, peersOfZoneA);
    fleet.runFor(5s);
    for (size_t i = 0; i < 4; ++i)
        EXPECT_EQ(fleet.fetch(i, "/profiles/cut").response->status, 200) << i << fleet.fetch(i, "/profiles/cut").error();
}

TEST(Fleet, UnparsableRecordsAreSkippedAndCounted)
{
    FleetHarness fleet({ "zone-a" });
    fleet.log().append("garbage", 0);
    fleet.log().append(R"({"version":2,"writer":"later","sequence":1,"entries":[]})", 0);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.status(0).find("\"skippedRecords\" : 2") != std::string::npos; }));
    EXPECT_EQ(fleet.wait(fleet.edit(0, fleet.keyWithdrawalEdit())).response->status, 200);
}

TEST(Fleet, PeerWithoutTheSecretIsRejected)
{
    FleetHarness fleet({ "zone-a" });
    PeerLinks unauthorisedPeer({ "stranger", "zone-a", "another secret entirely" }, {});
    const auto link = unauthorisedPeer.linkTo("127.0.0.1:" + std::to_string(fleet.port(0, 3)));
    ASSERT_TRUE(link);
    EXPECT_TRUE(fleet.runUntil([&] { return !link->isOpen(); }));
    EXPECT_FALSE(link->isEstablished());
}

} // namespace
} // namespace shallot
