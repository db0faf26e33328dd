// Several daemons that act together over real sockets: at most once, configuration through outages, cut zones, replaced
// daemons, limits over the fleet.

#include "FleetHarness.h"

#include "core/Digest.h"
#include "core/JSON.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

TEST(Fleet, AResendThroughAnotherDaemonGetsTheFirstAnswer)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    const auto first = fleet.wait(fleet.post(0, "/confirm/1", "key-1"));
    ASSERT_EQ(first.response->status, 200) << first.error();
    for (size_t i = 0; i < 3; ++i)
        EXPECT_EQ(fleet.wait(fleet.post(i, "/confirm/1", "key-1")).response->body, first.response->body);
    EXPECT_EQ(fleet.countRequests("/confirm/1"), 1U);
    EXPECT_EQ(fleet.wait(fleet.post(1, "/confirm/other", "key-1")).error(), "bad-request");
}

TEST(Fleet, RacingResendsRunOnce)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    std::vector<std::shared_ptr<FleetHarness::Answer>> answers;
    for (size_t i = 0; i < 9; ++i)
        answers.push_back(fleet.post(i % 3, "/confirm/race", "key-race"));
    for (const auto& answer : answers)
        EXPECT_EQ(fleet.wait(answer).response->status, 200) << answer->error();
    EXPECT_EQ(fleet.countRequests("/confirm/race"), 1U);
}

TEST(Fleet, ALostAcknowledgementOfAClaimDoesNotRunItTwice)
{
    FleetHarness fleet({ "zone-a", "zone-b" });
    fleet.log().faults().loseAcknowledgements = true;
    const auto& answer = fleet.wait(fleet.post(0, "/confirm/lost", "key-lost"));
    EXPECT_EQ(answer.response->status, 200) << answer.error();
    fleet.wait(fleet.post(1, "/confirm/lost", "key-lost"));
    EXPECT_EQ(fleet.countRequests("/confirm/lost"), 1U);
}

TEST(Fleet, AResendAfterItsHolderDiedIsToldThatItsFateIsUnknown)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    ASSERT_EQ(fleet.wait(fleet.post(0, "/confirm/dead", "key-dead")).response->status, 200);
    const size_t runs = fleet.countRequests("/confirm/dead");
    fleet.stopDaemon(0);
    const auto& answer = fleet.wait(fleet.post(1, "/confirm/dead", "key-dead"));
    EXPECT_EQ(answer.error(), "fate-unknown");
    EXPECT_EQ(answer.ran(), "unknown");
    EXPECT_EQ(fleet.countRequests("/confirm/dead"), runs);
}

TEST(Fleet, WithoutTheLogIdempotentRoutesGoOnAndOthersSayNotRun)
{
    FleetHarness fleet({ "zone-a", "zone-b" });
    fleet.log().faults().down = true;
    fleet.runFor(4s); // Longer than the contact lapse and all loans
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
    // What was refused as not run did not run afterwards either, unless it was sent again.
    EXPECT_EQ(fleet.countRequests("/confirm/outage"), 0U);
}

TEST(Fleet, AnEditInAnOutageIsNotCalledAccepted)
{
    FleetHarness fleet({ "zone-a" });
    fleet.log().faults().down = true;
    const auto& answer = fleet.wait(fleet.edit(0, fleet.withdrawKey()));
    EXPECT_TRUE(answer.error() == "log-unavailable" || answer.error() == "fate-unknown") << answer.error();
    EXPECT_EQ(fleet.fetch(0, "/profiles").response->status, 200);
}

TEST(Fleet, AnAcceptedEditIsInForceAtEveryDaemonAndNeverReverts)
{
    FleetHarness fleet({ "zone-a", "zone-a", "zone-b", "zone-b" });
    ASSERT_EQ(fleet.wait(fleet.edit(3, fleet.withdrawKey())).response->status, 200);
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

TEST(Fleet, AnEditNeedsAnOperatorsCredential)
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

TEST(Fleet, AnOrganisationGetsItsPlanOverAllDaemonsTogether)
{
    FleetHarness fleet({ "zone-a", "zone-b", "zone-c" });
    fleet.runFor(2s);
    std::vector<std::shared_ptr<FleetHarness::Answer>> answers;
    const auto start = MonotonicClock::now();
    for (int i = 0; i < 150; ++i) {
        answers.push_back(fleet.get(static_cast<size_t>(i) % 3, "/profiles/tiny", "tiny-key"));
        fleet.runFor(10ms);
    }
    size_t served = 0;
    for (const auto& answer : answers)
        served += fleet.wait(answer).response->status == 200 ? 1 : 0;
    const double allowed = 4 + 10 * toSeconds(MonotonicClock::now() - start);
    EXPECT_LE(static_cast<double>(served), allowed);
    EXPECT_GE(served, 4U);
}

TEST(Fleet, AZoneThatIsCutOffServesAlone)
{
    FleetHarness fleet({ "zone-a", "zone-a", "zone-a", "zone-b" });
    for (size_t i = 0; i < 3; ++i)
        fleet.setFaults(i, "\"log\",\"127.0.0.1:" + std::to_string(fleet.port(3, 3)) + "\"");
    std::string others = "\"log\"";
    for (size_t i = 0; i < 3; ++i)
        others += ",\"127.0.0.1:" + std::to_string(fleet.port(i, 3)) + "\"";
    fleet.setFaults(3, others);
    fleet.runFor(5s);
    for (size_t i = 0; i < 4; ++i)
        EXPECT_EQ(fleet.fetch(i, "/profiles/cut").response->status, 200) << i << fleet.fetch(i, "/profiles/cut").error();
}

TEST(Fleet, RecordsThatDoNotParseAreSkippedAndCounted)
{
    FleetHarness fleet({ "zone-a" });
    fleet.log().append("garbage", 0);
    fleet.log().append(R"({"version":2,"writer":"later","sequence":1,"entries":[]})", 0);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.status(0).find("\"skippedRecords\" : 2") != std::string::npos; }));
    EXPECT_EQ(fleet.wait(fleet.edit(0, fleet.withdrawKey())).response->status, 200);
}

TEST(Fleet, APeerWithoutTheSecretGetsNowhere)
{
    FleetHarness fleet({ "zone-a" });
    PeerLinks stranger({ "stranger", "zone-a", "another secret entirely" }, {});
    const auto link = stranger.linkTo("127.0.0.1:" + std::to_string(fleet.port(0, 3)));
    ASSERT_TRUE(link);
    EXPECT_TRUE(fleet.runUntil([&] { return !link->isOpen(); }));
    EXPECT_FALSE(link->isEstablished());
}

} // namespace
} // namespace shallot
