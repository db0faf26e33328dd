// The whole request path over real sockets, with stand-ins for the store and the backend servers.

#include "SidecarHarness.h"
#include "TestPorts.h"
#include "core/Digest.h"
#include "daemon/CallFrames.h"
#include "net/PeerLinks.h"
#include "platform/MemberCodec.h"
#include "platform/Names.h"
#include "sidecar/FollowSettings.h"
#include "sidecar/MeshFrames.h"
#include "sidecar/StoreFollower.h"
#include "wire/Frames_generated.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallot {
namespace {

using platform::header::attemptID;

std::string headerOf(const HTTPRequest& request, std::string_view name)
{
    return std::string(findHeader(request.headers, name));
}

TEST(SidecarPath, ABackendServerSeesTheOrganisationAndNeverTheKey)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const HTTPRequest request { "GET", "/read/1?x=%20y",
        { { std::string(platform::header::organisation), "forged" }, { std::string(platform::header::callerService), "forged" },
            { "X-Kept", "kept" }, { "Connection", "X-Dropped" }, { "X-Dropped", "dropped" } },
        {} };
    const auto& exchange = mesh.wait(mesh.send(1, request, "key-2"));
    ASSERT_EQ(exchange.status(), 200);
    EXPECT_EQ(exchange.response->body, "done");
    EXPECT_EQ(findHeader(exchange.response->headers, platform::header::seal), "seal");
    const auto& seen = mesh.endpoint(0).requests().back();
    EXPECT_EQ(seen.target, "/read/1?x=%20y");
    EXPECT_EQ(headerOf(seen, platform::header::organisation), "school");
    EXPECT_EQ(headerOf(seen, platform::header::callerService), "beta");
    EXPECT_EQ(headerOf(seen, platform::header::expectedInstance), "instance-0");
    EXPECT_EQ(headerOf(seen, "X-Kept"), "kept");
    EXPECT_EQ(headerOf(seen, "X-Dropped"), "");
    EXPECT_EQ(headerOf(seen, platform::header::key), "");
    EXPECT_LE(std::stoi(headerOf(seen, platform::header::deadline)), 1500);
    for (const auto& [name, value] : seen.headers)
        EXPECT_EQ(value.find("key-2"), std::string::npos);
}

TEST(SidecarPath, UnknownAndRevokedKeysAndUnknownRoutesAreRejected)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    EXPECT_EQ(mesh.fetch(0, "/read/1", "nobody").status(), 401);
    EXPECT_EQ(mesh.fetch(0, "/read/1", "").status(), 401);
    EXPECT_EQ(mesh.fetch(0, "/nowhere/").status(), 404);
    EXPECT_EQ(mesh.executionCount("/read/1"), 0U);
    mesh.writeConfiguration(2, R"(["key-1"])");
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/read/2", "key-2").status() == 401; }));
    EXPECT_EQ(mesh.fetch(0, "/read/2").status(), 200);
    // An older version that arrives later is ignored.
    mesh.writeConfiguration(1);
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.fetch(0, "/read/2", "key-2").status(), 401);
}

TEST(SidecarPath, KeysAreRejectedWhileTheConfigurationMayBeOutdated)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.store().setMode(StoreStandin::Mode::Unresponsive);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/read/1").status() == 503; }));
    EXPECT_EQ(mesh.readiness(0), 503);
    EXPECT_EQ(mesh.fetch(0, "/inner/1", "").status(), 200);
    mesh.store().setMode(StoreStandin::Mode::Serving);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/read/1").status() == 200; }));
    EXPECT_EQ(mesh.readiness(0), 200);
}

TEST(SidecarPath, AnUnavailableStoreIsPolledAtABoundedRate)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha", "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.store().setMode(StoreStandin::Mode::Refusing);
    mesh.runFor(1s); // Until held reads have ended
    const auto before = mesh.store().callCount();
    constexpr size_t seconds = 4;
    mesh.runFor(std::chrono::seconds(seconds));
    // Each daemon: its own read each second and its member follower at the maximum retry delay; the zone's store reader also
    // follows the configuration.
    constexpr size_t callsPerDaemonAndSecond = 3;
    EXPECT_LE(mesh.store().callCount() - before, 4 * seconds * callsPerDaemonAndSecond);
    mesh.store().setMode(StoreStandin::Mode::Serving);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/read/again").status() == 200; }));
}

TEST(SidecarPath, NewMembersArePropagatedByTheZonesStoreReader)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha", "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.runFor(2500ms); // Until only the store reader reads
    const auto before = mesh.store().callCount();
    constexpr size_t newMembers = 5;
    for (size_t i = 0; i < newMembers; ++i) {
        const auto name = "new-" + std::to_string(i);
        const auto record = platform::encodeMember({ name, "zone-b", "127.0.0.1:" + std::to_string(i + 1), "beta" });
        mesh.store().put("keyed.members", record.key, record.value);
        mesh.runFor(500ms);
    }
    const auto knowsAll = [&] {
        for (size_t i = 0; i < 4; ++i) {
            if (mesh.daemon(i).memberCount() != 4 + newMembers)
                return false;
        }
        return true;
    };
    EXPECT_TRUE(mesh.runUntil(knowsAll));
    // The store reader sends one read per record and two configuration reads per second; four daemons must not each read every
    // record.
    EXPECT_LE(mesh.store().callCount() - before, newMembers + 3 * 4);
}

// Three daemons read an empty list; the zone's store reader starts a moment later and connects to them, so they stop reading the
// store before they have read any member.
TEST(SidecarPath, DaemonsThatReadAnEmptyListGetAllMembersFromTheStoreReader)
{
    constexpr size_t daemons = 4;
    size_t reader = 0;
    for (size_t i = 1; i < daemons; ++i) {
        if (stableHash("daemon-" + std::to_string(i)) < stableHash("daemon-" + std::to_string(reader)))
            reader = i;
    }
    SidecarHarness mesh(std::vector<std::string>(daemons, "zone-a/alpha"), { reader });
    mesh.runFor(300ms);
    mesh.start(reader);
    mesh.runFor(900ms);
    const auto record = platform::encodeMember({ "new", "zone-b", "127.0.0.1:1", "beta" });
    mesh.store().put("keyed.members", record.key, record.value);
    const auto allKnowAll = [&] {
        for (size_t i = 0; i < daemons; ++i) {
            if (mesh.daemon(i).memberCount() != daemons + 1)
                return false;
        }
        return true;
    };
    EXPECT_TRUE(mesh.runUntil(allKnowAll));
}

TEST(SidecarPath, ATrimmedStoreLogLosesNoConfigurationChange)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.store().trim(std::string(platform::store::operatorTopic));
    mesh.writeConfiguration(5, R"(["key-3"])");
    mesh.store().trim(std::string(platform::store::operatorTopic));
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.fetch(0, "/read/1", "key-3").status() == 200; }));
}

TEST(SidecarPath, ADrainingOrLeavingBackendServerGetsNoNewRequests)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setDraining(true);
    mesh.endpoint(0).announce();
    mesh.runFor(100ms);
    const auto before = mesh.endpoint(0).requests().size();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(mesh.fetch(static_cast<size_t>(i % 2), "/read/1").status(), 200);
    EXPECT_EQ(mesh.endpoint(0).requests().size(), before);
    mesh.endpoint(1).leave();
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.fetch(0, "/read/2").status(), 503);
    EXPECT_EQ(mesh.executionCount("/read/2"), 0U);
}

// The daemon is killed after it acknowledged the leave and has lost its state; the backend server's health response and a late
// announcement still report it as ready.
TEST(SidecarPath, ALeaveOfABackendServerSurvivesARestartOfItsDaemon)
{
    for (const bool storeResponds : { true, false }) {
        SCOPED_TRACE(storeResponds);
        SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha" });
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.runFor(1500ms); // Both read the member list after their start
        mesh.endpoint(0).leave();
        mesh.runFor(1s);
        mesh.stop(0);
        if (!storeResponds)
            mesh.store().setMode(StoreStandin::Mode::Refusing);
        mesh.start(0);
        const auto before = mesh.endpoint(0).requests().size();
        mesh.endpoint(0).announce();
        mesh.runFor(500ms);
        mesh.endpoint(0).announce();
        for (int i = 0; i < 20; ++i) {
            mesh.fetch(0, "/read/1");
            mesh.fetch(1, "/read/1");
        }
        EXPECT_EQ(mesh.endpoint(0).requests().size(), before);
        // A later run under the same name is another one.
        mesh.store().setMode(StoreStandin::Mode::Serving);
        mesh.endpoint(0).sendAnnouncement(mesh.endpoint(0).announcementOf("alpha", 2000));
        EXPECT_TRUE(mesh.runUntil([&] {
            mesh.fetch(0, "/read/1");
            return mesh.endpoint(0).requests().size() > before;
        }));
    }
}

TEST(SidecarPath, InvalidAndOutdatedAnnouncementsAreIgnored)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    for (const auto* body : { "", "[]", "{", R"({"service":7})", R"({"service":"beta","addr":"x","slots":1,"seq":99})",
             R"({"service":"beta","addr":"127.0.0.1:1","slots":"4","state":"ready","seq":999})",
             R"({"service":"beta","addr":"127.0.0.1:1","slots":4,"state":"odd","seq":999,"born":1000})",
             R"({"service":"beta","addr":"127.0.0.1:1","slots":4,"state":"ready","seq":999,"born":"x"})" })
        mesh.endpoint(0).sendAnnouncement(body);
    mesh.runFor(50ms);
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
    // A late announcement of an earlier run.
    mesh.endpoint(0).sendAnnouncement(R"({"service":"beta","addr":")" + mesh.backendServerAddress(0).toString()
        + R"(","zone":"z","version":"v1","slots":4,"state":"draining","cold_left_s":0,"seq":999999,"born":999})");
    mesh.runFor(50ms);
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
}

TEST(SidecarPath, ALostResponseIsRetriedOnlyOnIdempotentRoutes)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    Timer runEnds;
    const auto loseResponse = [&runEnds](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) {
        runEnds.startOnce(50ms, [connection] { connection->abort(); });
    };
    mesh.endpoint(0).setScript(loseResponse);
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
    EXPECT_EQ(mesh.executionCount("/read/1"), 2U);
    mesh.runFor(600ms); // The failed backend server is avoided for a while
    mesh.endpoint(1).setScript(loseResponse);
    EXPECT_EQ(mesh.wait(mesh.send(0, { "POST", "/order/1", {}, "tiles" })).status(), 502);
    EXPECT_EQ(mesh.executionCount("/order/1"), 1U);
}

TEST(SidecarPath, ARefusedRequestIsReroutedAndReportedAsNotExecuted)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setScript(EndpointStandin::refuse);
    EXPECT_EQ(mesh.wait(mesh.send(0, { "POST", "/order/1", {}, "tiles" })).status(), 200);
    mesh.endpoint(1).setScript(EndpointStandin::refuse);
    EXPECT_EQ(mesh.wait(mesh.send(1, { "POST", "/order/2", {}, "tiles" })).status(), 503);
}

TEST(SidecarPath, ABodyOfTheGreatestSizeDoesNotEndTheLinkAndItsOtherCalls)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/beta" }); // Frames within a zone are not compressed
    ASSERT_TRUE(mesh.waitUntilServing());
    const std::string body(StrictHTTPLimits {}.maximumBodyBytes, 'x');
    EXPECT_EQ(mesh.wait(mesh.send(1, { "POST", "/upload/1", {}, body })).status(), 200);
    EXPECT_EQ(mesh.endpoint(0).requests().back().body.size(), body.size());
}

TEST(SidecarPath, AnUploadIsDeliveredCompletelyAndExecutedOnce)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const std::string footage(3 * 1024 * 1024, 'f');
    EXPECT_EQ(mesh.wait(mesh.send(1, { "POST", "/upload/1", {}, footage })).status(), 200);
    EXPECT_EQ(mesh.endpoint(0).requests().back().body, footage);
    // The response is lost: the request may have executed, so it is not sent again, although the route allows two backend
    // servers.
    mesh.endpoint(0).setScript([](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) { connection->abort(); });
    EXPECT_EQ(mesh.wait(mesh.send(1, { "POST", "/upload/2", {}, footage })).status(), 502);
    EXPECT_EQ(mesh.executionCount("/upload/2"), 1U);
}

TEST(SidecarPath, AResponseWithoutSealIsNotASuccess)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setScript([](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) {
        connection->respond({ 200, {}, "no seal" }, false, MonotonicClock::now());
    });
    EXPECT_EQ(mesh.wait(mesh.send(0, { "POST", "/order/1", {}, {} })).status(), 502);
    mesh.endpoint(0).setScript([](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        EndpointStandin::respond(*connection, request, 500, "own failure");
    });
    const auto& exchange = mesh.wait(mesh.send(0, { "POST", "/order/2", {}, {} }));
    EXPECT_EQ(exchange.status(), 500);
    EXPECT_EQ(exchange.response->body, "own failure");
}

TEST(SidecarPath, AStaleKeepAliveConnectionLosesNoRequest)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    // The first request on the keep-alive connection breaks it, as if the backend server had closed it before.
    size_t broken = 0;
    mesh.endpoint(0).setScript([&broken](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        if (!broken++)
            connection->abort();
        else
            EndpointStandin::respond(*connection, request);
    });
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
    EXPECT_EQ(broken, 2U);
    mesh.runFor(mesh.settings.maximumIdleForNonIdempotent + 100ms);
    // After an idle period a request that may run only once uses a new connection.
    const auto connections = mesh.endpoint(0).connectionCount();
    EXPECT_EQ(mesh.wait(mesh.send(0, { "POST", "/order/1", {}, {} })).status(), 200);
    EXPECT_EQ(mesh.endpoint(0).connectionCount(), connections + 1);
}

TEST(SidecarPath, ADisconnectedCallerCancelsItsRequest)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<RefPtr<StrictHTTPConnection>> open;
    mesh.endpoint(0).setScript(
        [&open](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) { open.push_back(connection); });
    mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([&] { return !open.empty(); }));
    mesh.disconnectCaller();
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.endpoint(0).disconnectCount() == 1; }));
}

TEST(SidecarPath, ARequestEndsAtItsRoutesTimeLimit)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<RefPtr<StrictHTTPConnection>> open;
    mesh.endpoint(0).setScript(
        [&open](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) { open.push_back(connection); });
    const auto sent = MonotonicClock::now();
    EXPECT_EQ(mesh.fetch(1, "/read/1").status(), 504);
    EXPECT_GE(MonotonicClock::now() - sent, 1400ms);
    EXPECT_EQ(open.size(), 1U);
}

TEST(SidecarPath, AnOrganisationsRateIsSharedByAllDaemons)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha", "zone-c/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.writeConfiguration(2, R"(["key-1"])", 10);
    mesh.runFor(300ms);
    size_t served = 0;
    size_t refused = 0;
    const auto sent = MonotonicClock::now();
    for (size_t i = 0; i < 90; ++i) {
        const auto& exchange = mesh.fetch(i % 3, "/read/rate");
        served += exchange.status() == 200 ? 1 : 0;
        if (exchange.status() == 429) {
            ++refused;
            EXPECT_FALSE(findHeader(exchange.response->headers, platform::header::retryAfter).empty());
        }
    }
    const double allowed = 10 + 10 * toSeconds(MonotonicClock::now() - sent) + 1;
    EXPECT_LE(static_cast<double>(served), allowed);
    EXPECT_EQ(served + refused, 90U);
    EXPECT_EQ(mesh.executionCount("/read/rate"), served);
}

TEST(SidecarPath, AGracefulLeaveOfALedgerOwnerRejectsNothingWithinTheRate)
{
    const size_t daemons = 3;
    for (size_t leaving = 0; leaving < daemons; ++leaving) { // One of them owns the ledger
        SidecarHarness mesh({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha" });
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.writeConfiguration(2, R"(["key-1"])", 100);
        mesh.runFor(1500ms);
        const auto other = (leaving + 1) % daemons;
        EXPECT_EQ(mesh.fetch(other, "/read/before").status(), 200);
        mesh.daemon(leaving).leave(MonotonicClock::now());
        mesh.runFor(100ms);
        for (size_t i = 0; i < 20; ++i)
            EXPECT_EQ(mesh.fetch(other, "/read/after").status(), 200) << "daemon " << leaving << " leaves, request " << i;
    }
}

TEST(SidecarPath, ARefusedRequestConsumesNoRate)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.writeConfiguration(2, R"(["key-1"])", 10);
    mesh.runFor(1500ms);
    mesh.endpoint(0).setScript(EndpointStandin::refuse);
    mesh.endpoint(1).setScript(EndpointStandin::refuse);
    for (size_t i = 0; i < 60; ++i)
        EXPECT_EQ(mesh.fetch(i % 2, "/read/refused").status(), 503);
}

TEST(SidecarPath, ANestedCallNeedsNoKeyAndPassesThroughTheDaemon)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.endpoint(0).setScript([&mesh](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        const auto parent = headerOf(request, attemptID);
        const HTTPRequest call { "GET", "/inner/7", { { std::string(attemptID), parent + ".1" } }, {} };
        mesh.send(0, call, "");
        EndpointStandin::respond(*connection, request);
    });
    EXPECT_EQ(mesh.fetch(1, "/read/1").status(), 200);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.executionCount("/inner/7") == 1; }));
    EXPECT_EQ(headerOf(mesh.endpoint(1).requests().back(), platform::header::callerService), "alpha");
    EXPECT_EQ(headerOf(mesh.endpoint(1).requests().back(), platform::header::organisation), "");
}

TEST(SidecarPath, ARequestThatFailedWithItsNestedCallIsNotRetriedButTheCallIs)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/beta", "zone-b/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    for (const size_t beta : { 1, 3 }) {
        mesh.endpoint(beta).setScript([](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            EndpointStandin::respond(*connection, request, 500);
        });
    }
    RefPtr<StrictHTTPConnection> parentConnection;
    HTTPRequest parent;
    std::shared_ptr<SidecarHarness::Exchange> nestedCall;
    for (const size_t alpha : { 0, 2 }) {
        mesh.endpoint(alpha).setScript([&, alpha](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            parentConnection = connection;
            parent = request;
            const HTTPHeaders headers { { std::string(attemptID), headerOf(request, attemptID) + ".1" } };
            nestedCall = mesh.send(alpha, { "GET", "/inner/7", headers, {} }, "");
        });
    }
    const auto exchange = mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([&] { return nestedCall && nestedCall->done; }));
    EXPECT_EQ(nestedCall->status(), 500);
    EXPECT_EQ(mesh.executionCount("/inner/7"), 2U);
    EndpointStandin::respond(*parentConnection, parent, 500);
    EXPECT_EQ(mesh.wait(exchange).status(), 500);
    EXPECT_EQ(mesh.executionCount("/read/1"), 1U);
}

TEST(SidecarPath, ALeaveCompletesOpenRequestsAndClosesConnections)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<std::pair<RefPtr<StrictHTTPConnection>, HTTPRequest>> open;
    mesh.endpoint(0).setScript([&open](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        open.emplace_back(connection, request);
    });
    bool left = false;
    mesh.daemon(1).setLeaveCompletedHandler([&left] { left = true; });
    const auto exchange = mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([&] { return !open.empty(); }));
    mesh.daemon(1).leave(MonotonicClock::now());
    EXPECT_EQ(mesh.readiness(1), 503);
    mesh.runFor(300ms);
    EXPECT_FALSE(left);
    EndpointStandin::respond(*open[0].first, open[0].second);
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(findHeader(exchange->response->headers, "connection"), "close");
    EXPECT_TRUE(mesh.runUntil([&left] { return left; }));
    EXPECT_EQ(mesh.fetch(1, "/read/2").status(), 0);
}

TEST(SidecarPath, CallsToAnUnreachableDaemonAreRerouted)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha", "zone-c/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    mesh.stop(0);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(mesh.wait(mesh.send(2, { "POST", "/order/1", {}, {} })).status(), 200);
}

TEST(MeshLinks, AFailedConnectMarksTheAddressUnreachable)
{
    const SocketAddress nobody { "127.0.0.1", static_cast<uint16_t>(nextBasePort() + 1) };
    std::vector<std::string> unreachable;
    MeshLinks links({ "m", "z", "a secret of the tests" }, { "m", "z", "127.0.0.1:1", "s" },
        { [](PeerLink&, wire::FrameT&) {}, [](PeerLink&) {},
            [&unreachable](const std::string& address, TimePoint) { unreachable.push_back(address); }, [](PeerLink&, Duration) {},
            [](const MeshMember&, const EndpointReport&) {}, [] { return EndpointReport {}; } });
    links.linkTo(nobody.toString());
    for (int i = 0; i < 100 && unreachable.empty(); ++i) {
        Timer wake;
        wake.startOnce(10ms, [] {});
        g_main_context_iteration(nullptr, TRUE);
    }
    EXPECT_EQ(unreachable, std::vector<std::string> { nobody.toString() });
}

TEST(MeshLinks, ALinkClosedDuringATickIsNoLongerMonitored)
{
    const auto base = nextBasePort();
    const SocketAddress addresses[] { { "127.0.0.1", static_cast<uint16_t>(base + 1) },
        { "127.0.0.1", static_cast<uint16_t>(base + 2) } };
    PeerLinks first({ "first", "z", "a secret of the tests" }, { nullptr, nullptr });
    PeerLinks second({ "second", "z", "a secret of the tests" }, { nullptr, nullptr });
    ASSERT_TRUE(first.listen(addresses[0]));
    ASSERT_TRUE(second.listen(addresses[1]));
    MeshLinks* mesh = nullptr;
    MeshLinks links({ "m", "z", "a secret of the tests" }, { "m", "z", "127.0.0.1:1", "s" },
        { [](PeerLink&, wire::FrameT&) {}, [](PeerLink&) {}, [](const std::string&, TimePoint) {},
            [&mesh](PeerLink&, Duration) { mesh->closeAll(); }, [](const MeshMember&, const EndpointReport&) {},
            [] { return EndpointReport {}; } });
    mesh = &links;
    for (const auto& address : addresses) {
        const auto link = links.linkTo(address.toString());
        ASSERT_TRUE(link);
        while (!link->isEstablished())
            g_main_context_iteration(nullptr, TRUE);
        links.addOutstanding(*link);
    }
    const auto now = MonotonicClock::now();
    links.tick(now + 1s);
    links.broadcastState();
    links.tick(now + 3s);
    EXPECT_EQ(links.linkCount(), 0U);
}

TEST(StoreFollower, ALateReadDeliversNoRecordsBeforeTheKnownOffset)
{
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    StoreStandin store(address);
    platform::StoreClient client(address);
    std::vector<std::string> values;
    size_t reads = 0;
    StoreFollower follower(client, { platform::StoreTopic::Members, 5s, 1s, {}, {}, 1s },
        [&values, &reads](const FollowerUpdate& read, std::optional<TimePoint>) {
            for (const auto& record : read.records)
                values.push_back(record.value);
            ++reads;
        });
    const auto runUntilRead = [&](size_t count) {
        for (int i = 0; i < 1000 && reads < count; ++i)
            g_main_context_iteration(nullptr, TRUE);
    };
    store.put("keyed.members", "m", "first");
    follower.start();
    runUntilRead(1);
    ASSERT_EQ(values.size(), 1U);
    Timer wake;
    bool woken = false;
    wake.startOnce(100ms, [&woken] { woken = true; });
    while (!woken) // Until the read is held
        g_main_context_iteration(nullptr, TRUE);
    follower.advanceTo(10, follower.era());
    store.put("keyed.members", "m", "older than what was learned elsewhere");
    runUntilRead(2);
    EXPECT_EQ(values.size(), 1U);
    EXPECT_EQ(follower.offset(), 10U);
}

// A new record ends a held read early, and such a read confirms freshness only as of the time it was sent. The next read is not
// held, so that freshness is renewed.
TEST(StoreFollower, ReadsAgainWithoutHoldAfterRecordsThenHolds)
{
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    StoreStandin store(address);
    platform::StoreClient client(address);
    const MeshSettings settings;
    size_t records = 0;
    StoreFollower follower(client, followConfiguration(settings),
        [&](const FollowerUpdate& read, std::optional<TimePoint>) { records += read.records.size(); });
    const auto runUntil = [](const std::function<bool()>& condition) {
        while (!condition())
            g_main_context_iteration(nullptr, TRUE);
    };
    follower.start();
    runUntil([&] { return store.readHolds().size() == 1; }); // Held
    store.put("keyed.op", "config", "a change");
    runUntil([&] { return store.readHolds().size() == 3; });
    EXPECT_EQ(records, 1U);
    EXPECT_EQ(store.readHolds()[0], settings.readHold);
    EXPECT_EQ(store.readHolds()[1], Duration::zero());
    EXPECT_EQ(store.readHolds()[2], settings.readHold);
}

TEST(PeerLink, IsClosedWhenThePeerResetsBeforeAccept)
{
    const SocketAddress address { "127.0.0.1", static_cast<uint16_t>(nextBasePort() + 1) };
    int closed = 0;
    PeerLinks there({ "there", "z", "a secret of the tests" }, { nullptr, [&closed](PeerLink&) { ++closed; } });
    ASSERT_TRUE(there.listen(address));
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native), 0);
    const linger resetOnClose { 1, 0 };
    ASSERT_EQ(::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose), 0);
    ::close(descriptor);
    while (!closed)
        g_main_context_iteration(nullptr, TRUE);
    EXPECT_EQ(there.linkCount(), 0U);
}

TEST(PeerLink, SurvivesASendThatClosesIt)
{
    const SocketAddress address { "127.0.0.1", static_cast<uint16_t>(nextBasePort() + 1) };
    PeerLinks there({ "there", "z", "a secret of the tests" }, { nullptr, nullptr });
    ASSERT_TRUE(there.listen(address));
    RefPtr<PeerLink> link;
    PeerLinks here({ "here", "z", "a secret of the tests" }, { nullptr, [&link](PeerLink&) { link = nullptr; } });
    link = here.linkTo(address.toString());
    while (!link->isEstablished())
        g_main_context_iteration(nullptr, TRUE);
    auto* last = link.get();
    // The other end does not read: a link that holds too much is closed, and the handler drops the last reference.
    MeshCall call;
    call.request.body.assign(1024 * 1024, 'x');
    for (uint64_t i = 0; i < 100 && link; ++i)
        last->send(makeMeshCallFrame(i, call));
    EXPECT_FALSE(link);
}

TEST(PeerLink, FramesThatArrivedBeforeTheEndOfThePeerAreReadAfterAFailedSend)
{
    const SocketAddress address { "127.0.0.1", static_cast<uint16_t>(nextBasePort() + 1) };
    PeerLinks there({ "there", "z", "a secret of the tests" }, { nullptr, nullptr });
    ASSERT_TRUE(there.listen(address));
    size_t received = 0;
    size_t closed = 0;
    PeerLinks here({ "here", "z", "a secret of the tests" },
        { [&received](PeerLink&, wire::FrameT&) { ++received; }, [&closed](PeerLink&) { ++closed; } });
    const auto link = here.linkTo(address.toString());
    while (!link->isEstablished() || !there.links().front()->isEstablished())
        g_main_context_iteration(nullptr, TRUE);
    EXPECT_TRUE(there.links().front()->send(makeCancelFrame(1)));
    there.closeAll();
    bool isSent = true;
    for (int i = 0; i < 1000 && isSent; ++i) { // The first one is answered with a reset
        isSent = link->send(makeCancelFrame(1));
        g_usleep(1000);
    }
    EXPECT_FALSE(isSent);
    while (!closed)
        g_main_context_iteration(nullptr, TRUE);
    EXPECT_EQ(received, 1U);
}

} // namespace
} // namespace shallot
