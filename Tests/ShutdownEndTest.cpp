// What becomes of the requests that a daemon has taken when its shutdown time is over.

#include "SidecarHarness.h"

#include "FarRelay.h"
#include "TestPorts.h"
#include "mesh/MeshSettings.h"
#include "net/Listener.h"
#include "net/PeerLinks.h"
#include "net/StreamSocket.h"
#include "platform/Names.h"
#include "sidecar/EndpointExecutor.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <gtest/gtest.h>
#include <thread>

namespace shallot {
namespace {

using namespace std::chrono_literals;

std::string request(const std::string& line, const std::string& id)
{
    return line + " HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::attemptID) + ": " + id + "\r\n"
        + std::string(platform::header::key) + ": key-1\r\nContent-Length: 0\r\n\r\n";
}

class ShutdownEnd : public testing::Test {
protected:
    explicit ShutdownEnd(const std::vector<std::string>& locations = { "zone-a/alpha", "zone-a/beta" })
        : mesh(locations)
    {
    }

    void SetUp() override
    {
        mesh.timeLimit = 8;
        mesh.writeConfiguration(2);
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.runFor(300ms);
        mesh.endpoint(0).setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            held.emplace_back(connection, request);
        });
    }

    void leave(size_t daemon)
    {
        mesh.daemon(daemon).setLeaveCompletedHandler([this] { hasLeft = true; });
        mesh.daemon(daemon).leave(MonotonicClock::now());
    }

    // One at a time.
    void endRunsAtTheirDeadline(size_t backendServer)
    {
        mesh.endpoint(backendServer)
            .setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                const std::string milliseconds(findHeader(request.headers, platform::header::deadline));
                deadlineOfRun.startOnce(std::chrono::milliseconds(std::strtol(milliseconds.c_str(), nullptr, 10)),
                    [connection, request] { EndpointStandin::respond(*connection, request, 504); });
            });
    }

    SidecarHarness mesh;
    Timer deadlineOfRun;
    std::vector<std::pair<RefPtr<StrictHTTPConnection>, HTTPRequest>> held; // Runs at the backend server of daemon 0
    bool hasLeft { false };
};

TEST_F(ShutdownEnd, QueuedRequestsAreRefusedAndRunningOnesAnsweredBeforeTheProcessEnds)
{
    mesh.setShutdownTime(0, 2s);
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    for (size_t i = 0; i < 8; ++i)
        exchanges.push_back(mesh.send(0, { "POST", "/order/1", {}, {} }));
    mesh.runFor(300ms);
    const auto running = held.size();
    ASSERT_GE(running, 2U);
    ASSERT_LT(running, exchanges.size());
    leave(0);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.stop(0);
    mesh.runFor(100ms);
    size_t refused = 0;
    size_t failed = 0;
    for (const auto& exchange : exchanges) {
        EXPECT_TRUE(exchange->done);
        refused += exchange->status() == 503 ? 1 : 0;
        failed += exchange->status() == 502 ? 1 : 0;
    }
    EXPECT_EQ(refused, exchanges.size() - running);
    EXPECT_EQ(failed, running);
    EXPECT_EQ(held.size(), running);
}

TEST_F(ShutdownEnd, RequestsAtOtherDaemonsAreAnsweredBeforeTheProcessEnds)
{
    mesh.setShutdownTime(1, 2s);
    const auto before = mesh.send(1, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(1);
    const auto after = mesh.send(1, { "POST", "/order/2", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.stop(1);
    mesh.runFor(100ms);
    EXPECT_GE(before->status(), 500);
    EXPECT_GE(after->status(), 500);
}

TEST_F(ShutdownEnd, ARunIsNotBrokenOffBeforeTheLastSixthOfAShortShutdownTime)
{
    constexpr Duration shutdownTime = 2s;
    mesh.setShutdownTime(0, shutdownTime);
    const auto exchange = mesh.send(1, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    const auto end = MonotonicClock::now() + shutdownTime;
    mesh.runFor(shutdownTime * 5 / 6 - 50ms);
    EndpointStandin::respond(*held.front().first, held.front().second);
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    EXPECT_LT(MonotonicClock::now(), end);
}

TEST_F(ShutdownEnd, ARequestBehindOneThatEndsWithAShortShutdownTimeIsNotPassedOn)
{
    mesh.setShutdownTime(0, 2s);
    std::string received;
    const auto socket = StreamSocket::connect(mesh.callersAddress(0));
    socket->start(
        { [&received](std::span<const uint8_t> bytes) { received.append(bytes.begin(), bytes.end()); }, nullptr, nullptr });
    socket->write(request("POST /order/1", "first") + request("GET /inner/2", "second"));
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.runFor(100ms);
    EXPECT_NE(received.find("HTTP/1.1 502"), std::string::npos);
    EXPECT_NE(received.find("HTTP/1.1 503"), std::string::npos) << received;
    socket->close();
}

TEST_F(ShutdownEnd, RequestsThatArriveInTheLastMomentDoNotFailWithoutARun)
{
    constexpr Duration shutdownTime = 2s;
    mesh.setShutdownTime(1, shutdownTime);
    for (size_t i = 0; i < 8; ++i) // All slots are in use, and others wait
        mesh.send(0, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() >= 2; }));
    leave(1);
    mesh.runFor(shutdownTime * 4 / 5);
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    EXPECT_TRUE(mesh.runUntil([&] {
        exchanges.push_back(mesh.send(1, { "POST", "/order/1", {}, {} }));
        return hasLeft;
    }));
    mesh.stop(1);
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.executionCount("/order/1"), 0U);
    size_t refused = 0;
    for (const auto& exchange : exchanges) {
        const auto status = exchange->status();
        refused += status == 503 ? 1 : 0;
        EXPECT_TRUE(status == 503 || !status) << status; // Zero: it crossed the close
    }
    EXPECT_GT(refused, 0U);
}

TEST_F(ShutdownEnd, NestedCallsOfRunsAtALeavingDaemonAreServed)
{
    const auto parent = mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    mesh.runFor(3200ms); // Callers have been told by then
    const std::string id(findHeader(held.front().second.headers, platform::header::attemptID));
    const auto nested = mesh.send(0, { "GET", "/inner/1", { { std::string(platform::header::attemptID), id + ".1" } }, {} }, "");
    EXPECT_EQ(mesh.wait(nested).status(), 200);
    EndpointStandin::respond(*held.front().first, held.front().second);
    EXPECT_EQ(mesh.wait(parent).status(), 200);
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
}

TEST_F(ShutdownEnd, RequestsThatArriveLateInAShutdownAreRefused)
{
    const auto parent = mesh.send(1, { "GET", "/read/1", {}, {} }); // Keeps the daemon from leaving
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    mesh.runFor(3200ms);
    EXPECT_EQ(mesh.fetch(0, "/inner/2", "").status(), 503);
    EndpointStandin::respond(*held.front().first, held.front().second);
    EXPECT_EQ(mesh.wait(parent).status(), 200);
}

TEST_F(ShutdownEnd, ANoticeThatWaitsForTheStoreIsAnsweredBeforeTheProcessEnds)
{
    mesh.store().setMode(StoreStandin::Mode::Unresponsive);
    leave(0);
    mesh.runFor(2500ms); // Shortly before it ends
    EXPECT_FALSE(hasLeft);
    mesh.endpoint(0).leave();
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.stop(0);
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.endpoint(0).lastNoticeStatus(), 503);
}

TEST_F(ShutdownEnd, ANoticeThatWaitsForTheStoreWhenTheShutdownTimeIsOverIsAnswered)
{
    mesh.setShutdownTime(0, 3s);
    const auto running = mesh.send(1, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    mesh.store().setMode(StoreStandin::Mode::Unresponsive);
    leave(0);
    mesh.runFor(2400ms); // The requests that are open end 0.1 s later
    mesh.endpoint(0).leave();
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.stop(0);
    mesh.runFor(100ms);
    EXPECT_EQ(mesh.endpoint(0).lastNoticeStatus(), 503);
}

TEST_F(ShutdownEnd, ASignalThatIsHandledLateDoesNotMoveTheEndOfTheProcess)
{
    constexpr Duration shutdownTime = 3s;
    constexpr Duration late = 2s;
    mesh.setShutdownTime(0, shutdownTime);
    const auto running = mesh.send(0, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const auto signalledAt = MonotonicClock::now() - late;
    mesh.daemon(0).setLeaveCompletedHandler([this] { hasLeft = true; });
    mesh.daemon(0).leave(signalledAt);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    EXPECT_LT(MonotonicClock::now(), signalledAt + shutdownTime);
    mesh.stop(0);
    mesh.runFor(100ms);
    EXPECT_EQ(running->status(), 502);
}

// Stops reading from a daemon when asked to, as a peer that is slow.
class SlowRelay {
public:
    SlowRelay(const SocketAddress& own, const SocketAddress& target)
    {
        const auto started = m_listener.start(own, [this, target](RefPtr<StreamSocket> socket) {
            m_initiator = std::move(socket);
            m_daemon = StreamSocket::connect(target);
            forward(*m_initiator, *m_daemon);
            forward(*m_daemon, *m_initiator);
        });
        EXPECT_TRUE(started.has_value());
    }
    void setPaused(bool paused) { m_daemon->setReadPaused(paused); }

private:
    static void forward(StreamSocket& from, StreamSocket& to)
    {
        from.start({ [&to](std::span<const uint8_t> bytes) {
                        to.write({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
                    },
            nullptr, [&to](StreamEnd) { to.close(); } });
    }

    Listener m_listener;
    RefPtr<StreamSocket> m_initiator;
    RefPtr<StreamSocket> m_daemon;
};

TEST_F(ShutdownEnd, AnswersThatALinkHasNotSentYetAreNotLostWithTheProcess)
{
    constexpr size_t calls = 6;
    constexpr size_t bodyBytes = 3 * 1024 * 1024 + 900'000; // Together more than the kernel holds
    const auto answer = [](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        EndpointStandin::respond(*connection, request, 200, std::string(bodyBytes, 'x'));
    };
    mesh.setShutdownTime(0, 12s);
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    SlowRelay relay(address, mesh.peersAddress(0));
    size_t answers = 0;
    bool closed = false;
    PeerLinks peer({ "slow", "zone-a", "a secret of the tests" },
        { [&](PeerLink&, wire::FrameT& frame) {
             if (auto* answer = frame.body.AsAnswer())
                 answers += readMeshOutcome(*answer).response ? 1 : 0;
         },
            [&](PeerLink&) { closed = true; } });
    const auto link = peer.linkTo(address.toString());
    ASSERT_TRUE(mesh.runUntil([&] { return link->isEstablished(); }));
    for (uint64_t i = 1; i <= calls; ++i) {
        MeshCall call;
        call.service = "alpha";
        call.context.remaining = 8s;
        const std::string attempt = "slow-" + std::to_string(i);
        call.request = { "GET", "/read/1", { { "Host", "app" }, { std::string(platform::header::attemptID), attempt } }, {} };
        EXPECT_TRUE(link->send(makeMeshCallFrame(i, call)));
    }
    mesh.runFor(300ms);
    leave(0);
    mesh.runFor(2400ms); // Shortly before it stops accepting requests and ends
    relay.setPaused(true);
    mesh.endpoint(0).setScript(answer);
    for (const auto& [connection, request] : held)
        answer(connection, request);
    mesh.runFor(1s);
    EXPECT_FALSE(hasLeft);
    if (hasLeft)
        mesh.stop(0);
    relay.setPaused(false);
    EXPECT_TRUE(mesh.runUntil([&] { return answers == calls || closed; }));
    EXPECT_EQ(answers, calls);
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
}

TEST_F(ShutdownEnd, ACallThatArrivesBehindTheLastMessageIsRefusedAsNotRun)
{
    bool isRefused = false;
    bool closed = false;
    PeerLinks peer({ "late", "zone-a", "a secret of the tests" },
        { [&](PeerLink& link, wire::FrameT& frame) {
             MeshCall call;
             call.service = "alpha";
             call.context.remaining = 8s;
             call.request = { "GET", "/read/1", { { "Host", "app" } }, {} };
             if (frame.body.AsGoAway())
                 link.send(makeMeshCallFrame(1, call));
             if (auto* answer = frame.body.AsAnswer()) {
                 const auto outcome = readMeshOutcome(*answer);
                 isRefused = !outcome.response && isNotExecuted(outcome.response.error());
             }
         },
            [&](PeerLink&) { closed = true; } });
    const auto link = peer.linkTo(mesh.peersAddress(0).toString());
    ASSERT_TRUE(mesh.runUntil([&] { return link->isEstablished(); }));
    leave(0);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.runFor(50ms);
    EXPECT_TRUE(isRefused);
    EXPECT_FALSE(closed);
    EXPECT_EQ(mesh.executionCount("/read/1"), 0U);
}

class ShutdownEndFarAway : public ShutdownEnd {
protected:
    void SetUp() override
    {
        ShutdownEnd::SetUp();
        const SocketAddress address { "127.0.0.1", nextBasePort() };
        relay = std::make_unique<FarRelay>(address, mesh.callersAddress(1));
        caller = StreamSocket::connect(address);
        caller->start(
            { [this](std::span<const uint8_t> bytes) { received.append(bytes.begin(), bytes.end()); }, nullptr, nullptr });
        caller->write(request("GET /inner/1", "first"));
        ASSERT_TRUE(mesh.runUntil([this] { return received.find("HTTP/1.1 200") != std::string::npos; }));
    }

    std::unique_ptr<FarRelay> relay;
    RefPtr<StreamSocket> caller;
    std::string received;
};

TEST_F(ShutdownEndFarAway, ARequestThatCrossesTheCloseOfAnIdleConnectionIsNotRead)
{
    leave(1);
    ASSERT_TRUE(mesh.runUntil([this] { return relay->daemonHasClosed(); }));
    caller->write(request("POST /order/2", "second"));
    mesh.runFor(500ms);
    EXPECT_TRUE(relay->wasReset());
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
}

TEST_F(ShutdownEndFarAway, ARequestOnAnIdleConnectionIsAnsweredWhileTheProcessHasToStay)
{
    const auto running = mesh.send(1, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(1);
    mesh.runFor(3200ms); // Callers have been told by then
    caller->write(request("POST /order/2", "second"));
    EXPECT_TRUE(mesh.runUntil([this] { return relay->daemonHasClosed(); }));
    mesh.runFor(400ms);
    EXPECT_NE(received.find("HTTP/1.1 503"), std::string::npos) << received;
    EXPECT_EQ(mesh.executionCount("/order/2"), 0U);
    EndpointStandin::respond(*held.front().first, held.front().second);
    EXPECT_EQ(mesh.wait(running).status(), 200);
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
}

TEST_F(ShutdownEnd, TheCallsOfARunAreNotBrokenOffBeforeTheRun)
{
    mesh.setShutdownTime(0, 4s);
    std::vector<RefPtr<StrictHTTPConnection>> nestedRuns;
    mesh.endpoint(1).setScript(
        [&](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) { nestedRuns.push_back(connection); });
    const auto parent = mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    mesh.runFor(3100ms);
    const std::string id(findHeader(held.front().second.headers, platform::header::attemptID));
    const auto nested = mesh.send(0, { "GET", "/inner/1", { { std::string(platform::header::attemptID), id + ".1" } }, {} }, "");
    ASSERT_TRUE(mesh.runUntil([&] { return nestedRuns.size() == 1; }));
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.endpoint(0).disconnectCount() == 1 || nested->done; }));
    EXPECT_FALSE(nested->done);
    EXPECT_EQ(mesh.endpoint(1).disconnectCount(), 0U);
    // One that goes on without its parent is still answered.
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.stop(0);
    mesh.runFor(100ms);
    EXPECT_EQ(nested->status(), 504);
}

TEST_F(ShutdownEnd, ACallFromBeforeAShutdownThatOutlivesItIsAnsweredBeforeTheProcessEnds)
{
    mesh.setShutdownTime(0, 2s);
    std::vector<RefPtr<StrictHTTPConnection>> nestedRuns;
    mesh.endpoint(1).setScript(
        [&](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) { nestedRuns.push_back(connection); });
    mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const std::string id(findHeader(held.front().second.headers, platform::header::attemptID));
    const auto nested = mesh.send(0, { "GET", "/inner/1", { { std::string(platform::header::attemptID), id + ".1" } }, {} }, "");
    ASSERT_TRUE(mesh.runUntil([&] { return nestedRuns.size() == 1; }));
    leave(0);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    mesh.stop(0);
    mesh.runFor(100ms);
    EXPECT_EQ(nested->status(), 502);
}

TEST_F(ShutdownEnd, AStallWhileLeavingDoesNotBreakOffACallBeforeItsDeadline)
{
    endRunsAtTheirDeadline(1);
    mesh.setShutdownTime(0, 6s);
    mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    mesh.runFor(3100ms);
    const std::string id(findHeader(held.front().second.headers, platform::header::attemptID));
    const auto nested = mesh.send(0, { "GET", "/inner/1", { { std::string(platform::header::attemptID), id + ".1" } }, {} }, "");
    ASSERT_TRUE(mesh.runUntil([&] { return mesh.executionCount("/inner/1") == 1; }));
    std::this_thread::sleep_for(450ms);
    ASSERT_TRUE(mesh.runUntil([&] { return nested->done; }));
    EXPECT_EQ(nested->status(), 504);
}

TEST_F(ShutdownEnd, ACallOfARunLateInAShutdownIsNotBrokenOffAtTheEndOfTheProcess)
{
    mesh.setShutdownTime(0, 4s);
    endRunsAtTheirDeadline(1);
    const auto parent = mesh.send(1, { "GET", "/read/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    mesh.runFor(3100ms);
    const std::string id(findHeader(held.front().second.headers, platform::header::attemptID));
    const auto nested = mesh.send(0, { "GET", "/inner/1", { { std::string(platform::header::attemptID), id + ".1" } }, {} }, "");
    // The run goes on without its parent, whose backend server does not close the connection of the call.
    ASSERT_TRUE(mesh.runUntil([&] { return nested->done; }));
    EXPECT_EQ(nested->status(), 504);
    ASSERT_TRUE(nested->response.has_value());
    EXPECT_FALSE(findHeader(nested->response->headers, platform::header::seal).empty()) << "not an answer of its backend server";
    EXPECT_EQ(mesh.endpoint(1).disconnectCount(), 0U);
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
}

TEST_F(ShutdownEnd, AStallAtTheEndDoesNotDelayTheEndOfTheProcess)
{
    constexpr Duration shutdownTime = 3s;
    mesh.setShutdownTime(0, shutdownTime);
    const auto running = mesh.send(0, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    leave(0);
    const auto end = MonotonicClock::now() + shutdownTime;
    mesh.runFor(shutdownTime - 550ms); // Before the requests that are open end
    std::this_thread::sleep_for(end - 100ms - MonotonicClock::now());
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    EXPECT_LT(MonotonicClock::now(), end);
    mesh.stop(0);
    mesh.runFor(100ms);
    EXPECT_EQ(running->status(), 502);
}

TEST_F(ShutdownEnd, TheShutdownTimeOfASignalThatArrivesDuringAStallCountsFromTheStall)
{
    constexpr Duration shutdownTime = 3s;
    mesh.setShutdownTime(0, shutdownTime);
    const auto running = mesh.send(0, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const auto end = MonotonicClock::now() + shutdownTime;
    std::this_thread::sleep_for(1200ms);
    leave(0);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    EXPECT_LT(MonotonicClock::now(), end);
}

TEST_F(ShutdownEnd, ARunIsNotBrokenOffBeforeTheLastSixthWhenTheSignalMayHaveArrivedEarlier)
{
    constexpr Duration shutdownTime = 6s;
    mesh.setShutdownTime(0, shutdownTime);
    const auto running = mesh.send(0, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const auto earliestEnd = MonotonicClock::now() + shutdownTime;
    std::this_thread::sleep_for(500ms);
    leave(0);
    mesh.runFor(shutdownTime * 5 / 6 - 50ms);
    EndpointStandin::respond(*held.front().first, held.front().second);
    EXPECT_EQ(mesh.wait(running).status(), 200);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    EXPECT_LT(MonotonicClock::now(), earliestEnd);
}

TEST_F(ShutdownEnd, AStallWhileLeavingMovesTheLastAnswersToTheStartOfTheLastSixth)
{
    constexpr Duration shutdownTime = 6s;
    mesh.setShutdownTime(0, shutdownTime);
    const auto running = mesh.send(0, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return held.size() == 1; }));
    const auto signalledAt = MonotonicClock::now();
    leave(0);
    mesh.runFor(1s);
    std::this_thread::sleep_for(500ms);
    ASSERT_TRUE(mesh.runUntil([&] { return running->done; }));
    EXPECT_GE(MonotonicClock::now() - signalledAt, shutdownTime * 5 / 6);
    EXPECT_LT(MonotonicClock::now() - signalledAt, shutdownTime - 700ms); // When further work ends without a stall
}

TEST(ShutdownQueue, ALongQueueIsRefusedInBoundedStackSpace)
{
    constexpr size_t calls = 20'000;
    const SocketAddress backendServer { "127.0.0.1", nextBasePort() };
    StrictHTTPServer server;
    ASSERT_TRUE(server.start(backendServer, {}, {}).has_value());
    const MeshSettings settings;
    CrashSuspects suspects(settings);
    EndpointExecutor executor(settings, backendServer, "alpha", suspects);
    const auto now = MonotonicClock::now();
    executor.setFormerLeave({});
    // A run that announces itself again is confirmed.
    executor.recordAnnouncement({ "a", 1000, 1, "alpha", backendServer }, now);
    executor.recordAnnouncement({ "b", 2000, 1, "alpha", backendServer }, now);
    executor.recordAnnouncement({ "b", 2000, 2, "alpha", backendServer }, now);
    ASSERT_TRUE(executor.isAvailable(now));
    size_t refused = 0;
    size_t ended = 0;
    for (size_t i = 0; i < calls; ++i) {
        MeshCall call;
        call.service = "alpha";
        call.context.remaining = 1h;
        call.context.priority = nestedCallPriority(0);
        call.request.method = "GET";
        call.request.target = "/" + std::to_string(i);
        executor.submit(std::move(call), now, [&](const MeshOutcome& outcome) {
            const bool isRefused = !outcome.response && outcome.response.error().kind == ErrorKind::Draining;
            ++(isRefused ? refused : ended);
        });
    }
    ASSERT_EQ(executor.inProgress(), calls);
    executor.startLeaving(now, now, now);
    executor.endAll(now);
    EXPECT_EQ(refused, calls - 1);
    EXPECT_EQ(ended, 1U);
}

} // namespace
} // namespace shallot
