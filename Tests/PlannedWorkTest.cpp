// Requests in all stages while configurations and settings change and daemons stop and start.

#include "SidecarHarness.h"

#include "net/StreamSocket.h"
#include "platform/Names.h"

#include <gtest/gtest.h>
#include <thread>

namespace shallot {
namespace {

using namespace std::chrono_literals;

std::string headOf(const std::string& line, const std::string& id)
{
    return line + " HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::attemptID) + ": " + id + "\r\n"
        + std::string(platform::header::key) + ": key-1\r\n";
}

class PlannedWork : public testing::Test {
protected:
    explicit PlannedWork(const std::vector<std::string>& locations = { "zone-a/alpha", "zone-a/beta" })
        : mesh(locations)
        , daemons(locations.size())
    {
    }

    void SetUp() override
    {
        mesh.timeLimit = 8;
        mesh.writeConfiguration(version);
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.runFor(300ms);
        for (size_t i = 0; i < daemons; ++i) {
            mesh.endpoint(i).setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                runs.push_back(std::make_unique<Timer>());
                const Duration time = request.target.ends_with("7") ? Duration(longRun) : 30ms + 10ms * (runs.size() % 10);
                runs.back()->startOnce(time, [connection, request] { EndpointStandin::respond(*connection, request); });
            });
        }
    }

    void startLoad()
    {
        load.startRepeating(30ms, [this] {
            const auto number = std::to_string(requests.size());
            const bool once = requests.size() % 3 != 0;
            const auto target = (once ? "/order/" : "/read/") + number;
            requests.emplace_back(target, mesh.send(requests.size() % daemons, { once ? "POST" : "GET", target, {}, {} }));
        });
    }

    void changeConfiguration(const std::string& from, const std::string& to)
    {
        const auto topic = std::string(platform::store::operatorTopic);
        const auto key = std::string(platform::store::configurationKey);
        auto document = mesh.store().newest(topic).at(key);
        const auto replace = [&document](const std::string& from, const std::string& to) {
            const auto at = document.find(from);
            ASSERT_NE(at, std::string::npos) << from;
            document.replace(at, from.size(), to);
        };
        replace("\"r" + std::to_string(version) + "\"", "\"r" + std::to_string(version + 1) + "\"");
        ++version;
        replace(from, to);
        mesh.store().put(topic, key, document);
    }

    void leave(size_t daemon, std::function<void()> completed = nullptr)
    {
        hasLeft = false;
        mesh.daemon(daemon).setLeaveCompletedHandler([this, completed = std::move(completed)] {
            hasLeft = true;
            if (completed)
                completed();
        });
        mesh.daemon(daemon).leave(MonotonicClock::now());
    }

    // Each request has its complete answer, and none that was refused or had no answer has run.
    void expectNoneLost(size_t leastServed)
    {
        load.stop();
        size_t served = 0;
        for (const auto& [target, exchange] : requests) {
            const auto status = mesh.wait(exchange).status();
            const auto count = mesh.executionCount(target);
            served += status == 200 ? 1 : 0;
            EXPECT_TRUE(exchange->done) << target;
            // Connections to a daemon that is gone are refused.
            const bool isRefused = status == 503 || (!status && exchange->response.error().kind == ErrorKind::NoBackendServer);
            EXPECT_TRUE(status == 200 || status == allowedStatus || isRefused) << target << ": " << status << ", runs: " << count;
            const bool mayRun = status == 200 || status == allowedStatus;
            EXPECT_LE(count, mayRun ? (target.starts_with("/order/") ? 1U : 2U) : 0U) << target << ": " << status;
        }
        EXPECT_GE(served, leastServed);
    }

    SidecarHarness mesh;
    size_t daemons;
    uint64_t version { 2 };
    bool hasLeft { false };
    Duration longRun { 2300ms };
    unsigned allowedStatus { 200 };
    Timer load;
    std::vector<std::pair<std::string, std::shared_ptr<SidecarHarness::Exchange>>> requests;
    std::vector<std::unique_ptr<Timer>> runs;
};

TEST_F(PlannedWork, AShorterShutdownTimeDoesNotEndRunsThatWerePromisedMore)
{
    longRun = 4500ms;
    mesh.setShutdownTime(0, 6s);
    const auto exchange = mesh.send(0, { "POST", "/order/7", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return runs.size() == 1; }));
    leave(0);
    mesh.runFor(500ms);
    mesh.setShutdownTime(0, 2s);
    mesh.runFor(200ms);
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(mesh.wait(exchange).status(), 200);
}

TEST_F(PlannedWork, ALongerShutdownTimeDoesNotMoveTheEndOfAProcessThatLeaves)
{
    longRun = 7s;
    mesh.setShutdownTime(0, 3s);
    const auto exchange = mesh.send(0, { "POST", "/order/7", {}, {} });
    ASSERT_TRUE(mesh.runUntil([this] { return runs.size() == 1; }));
    leave(0);
    const auto end = MonotonicClock::now() + 3s;
    mesh.runFor(500ms);
    mesh.setShutdownTime(0, 6s);
    std::this_thread::sleep_for(500ms);
    ASSERT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    EXPECT_LT(MonotonicClock::now(), end);
}

TEST_F(PlannedWork, ARequestIsNotSentOnAConnectionThatTheBackendServerHasClosed)
{
    RefPtr<StrictHTTPConnection> last;
    mesh.endpoint(0).setScript([&last](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        last = connection;
        EndpointStandin::respond(*connection, request);
    });
    std::string received;
    const auto caller = StreamSocket::connect(mesh.callersAddress(0));
    caller->start(
        { [&received](std::span<const uint8_t> bytes) { received.append(bytes.begin(), bytes.end()); }, nullptr, nullptr });
    caller->write(headOf("GET /read/1", "first") + "\r\n");
    ASSERT_TRUE(mesh.runUntil([&] { return received.ends_with("done"); }));
    received.clear();
    // Both are waiting for the daemon, the request first.
    caller->write(headOf("POST /order/2", "second") + "Content-Length: 0\r\n\r\n");
    last->abort();
    ASSERT_TRUE(mesh.runUntil([&] { return received.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
    EXPECT_EQ(mesh.executionCount("/order/2"), 1U);
}

struct Change {
    const char* name;
    const char* from;
    const char* to;
    unsigned status; // Of requests that arrive later
};

class PlannedWorkConfiguration : public PlannedWork, public testing::WithParamInterface<Change> { };

TEST_P(PlannedWorkConfiguration, RequestsThatWereReadBeforeAreAnswered)
{
    startLoad();
    mesh.runFor(1500ms);
    allowedStatus = GetParam().status;
    changeConfiguration(GetParam().from, GetParam().to);
    mesh.runFor(1500ms);
    expectNoneLost(40);
}

INSTANTIATE_TEST_SUITE_P(Changes, PlannedWorkConfiguration,
    testing::Values(Change { "Route", R"("path_prefix":"/order/")", R"("path_prefix":"/gone/")", 404 },
        Change { "Service", R"({"name":"alpha","health_path":"/health","max_connections":100},)", "", 200 },
        Change { "HealthPath", R"("health_path":"/health")", R"("health_path":"/other")", 200 },
        Change { "Connections", R"("max_connections":100)", R"("max_connections":1)", 200 },
        Change { "Key", R"(["key-1","key-2"])", R"(["key-2"])", 401 },
        Change { "RouteTime", R"("timeout_s":8)", R"("timeout_s":0.5)", 200 },
        Change { "Limits", R"("services")",
            R"("limits":{"idle_timeout_s":0.1,"header_timeout_s":0.1,"max_body_bytes":1},"services")", 200 }),
    [](const auto& info) { return info.param.name; });

TEST_F(PlannedWork, NoRequestIsLostWhileDaemonsStopSoonAfterTheirStart)
{
    longRun = 800ms;
    startLoad();
    mesh.runFor(1s);
    for (const auto delay : { 50ms, 600ms }) {
        for (size_t i = 0; i < daemons; ++i) {
            leave(i);
            EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
            mesh.stop(i);
            mesh.start(i);
            mesh.runFor(delay);
        }
    }
    mesh.runFor(2s);
    expectNoneLost(50);
}

class PlannedWorkHalfSent : public PlannedWork, public testing::WithParamInterface<std::pair<std::string, std::string>> { };

TEST_P(PlannedWorkHalfSent, ANextRequestIsAnsweredWhenCallersAreRefused)
{
    constexpr Duration beforeAnswer = 2800ms;
    longRun = beforeAnswer;
    std::string received;
    const auto socket = StreamSocket::connect(mesh.callersAddress(1));
    socket->start(
        { [&received](std::span<const uint8_t> bytes) { received.append(bytes.begin(), bytes.end()); }, nullptr, nullptr });
    socket->write(headOf("POST /order/7", "first") + "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(mesh.runUntil([this] { return runs.size() == 1; }));
    leave(1);
    mesh.runFor(beforeAnswer - 50ms);
    socket->write(headOf("POST /order/2", "second") + GetParam().first);
    ASSERT_TRUE(mesh.runUntil([&] { return received.find("HTTP/1.1 200") != std::string::npos; }));
    mesh.runFor(200ms);
    socket->write(GetParam().second);
    EXPECT_TRUE(mesh.runUntil([&] { return received.find("HTTP/1.1", received.find("done")) != std::string::npos; })) << received;
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
    const bool refused = received.find("HTTP/1.1 503") != std::string::npos;
    EXPECT_EQ(mesh.executionCount("/order/2"), refused ? 0U : 1U) << received;
    socket->close();
}

INSTANTIATE_TEST_SUITE_P(Places, PlannedWorkHalfSent,
    testing::Values(std::pair { "Content-Len", "gth: 0\r\n\r\n" }, std::pair { "Content-Length: 6\r\n\r\nabc", "def" },
        std::pair { "Content-Length: 6\r\n\r\n", "abcdef" },
        std::pair { "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n" }));

} // namespace
} // namespace shallot
