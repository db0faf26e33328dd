// Pooled connections to a server whose kernel refuses, resets or closes them, and a process that is out of descriptors.

#include "net/HTTPPool.h"
#include "TestPorts.h"
#include "core/Log.h"
#include "net/StreamSocket.h"
#include "net/StrictHTTPServer.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

// Leaves this process no free descriptor.
class DescriptorShortage {
public:
    DescriptorShortage()
    {
        getrlimit(RLIMIT_NOFILE, &m_limit);
        const int next = dup(STDIN_FILENO);
        close(next);
        const rlimit none { static_cast<rlim_t>(next), m_limit.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &m_limit); }
    DescriptorShortage(const DescriptorShortage&) = delete;
    DescriptorShortage& operator=(const DescriptorShortage&) = delete;

private:
    rlimit m_limit {};
};

int listenAt(const SocketAddress& address)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1; // Connections of an earlier test at this port may be in TIME_WAIT
    EXPECT_EQ(::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on), 0);
    EXPECT_EQ(::bind(listener, reinterpret_cast<const sockaddr*>(&native), sizeof native), 0);
    EXPECT_EQ(::listen(listener, 4), 0);
    return listener;
}

class HTTPPoolOverSockets : public testing::Test {
protected:
    HTTPPoolOverSockets()
        : address { "127.0.0.1", nextBasePort() }
    {
        pool.setAddress(address);
    }

    void startServer()
    {
        const auto started = server.start(address, {},
            { [](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) {
                 connection->respond({ 200, {}, "ok" }, false, MonotonicClock::now());
             },
                nullptr });
        ASSERT_TRUE(started.has_value());
    }

    void send()
    {
        done = false;
        pool.send(++requestID, { "GET", "/", { { "Host", "a" } }, {} }, [this](Result<HTTPResponse> response) {
            done = true;
            result = std::move(response);
        });
    }

    // Returns the number of turns of the main loop.
    size_t runUntil(const std::function<bool()>& condition, Duration timeout = 4s)
    {
        size_t turns = 0;
        Timer end;
        bool over = false;
        end.startOnce(timeout, [&over] { over = true; });
        for (; !over && !condition(); ++turns)
            g_main_context_iteration(nullptr, TRUE);
        return turns;
    }

    SocketAddress address;
    HTTPPool pool;
    StrictHTTPServer server;
    Result<HTTPResponse> result { HTTPResponse() };
    uint64_t requestID { 0 };
    bool done { false };
};

TEST_F(HTTPPoolOverSockets, AServerThatRefusesConnectionsIsNotThere)
{
    send();
    runUntil([this] { return done; });
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::NoBackendServer);
}

// A server with too many connections resets further ones; both happen before this process looks.
TEST_F(HTTPPoolOverSockets, AServerThatResetsANewConnectionIsThereAndHasNotRunTheRequest)
{
    const int listener = listenAt(address);
    send();
    const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const linger reset { 1, 0 };
    ASSERT_EQ(::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset), 0);
    ::close(connection);
    ::close(listener);
    runUntil([this] { return done; });
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::BackendRefused);
}

// Three responses: one takes all room, one is received all the same, and of the last one the kernel holds the rest when its
// connection is reset.
TEST_F(HTTPPoolOverSockets, AResponseThatArrivedBeforeAResetIsKeptWhileReadingIsPaused)
{
    constexpr size_t bodyBytes = 150 * 1024;
    const std::string body(bodyBytes, 'b');
    const auto response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + body;
    pool.setMaximumBufferedBytes(bodyBytes);
    const int listener = listenAt(address);
    std::vector<int> descriptors;
    std::vector<RefPtr<StreamSocket>> connections;
    std::vector<Result<HTTPResponse>> results;
    for (const size_t sentBytes : { response.size() - 1, response.size() - 1, response.size() }) {
        pool.send(++requestID, { "GET", "/", { { "Host", "a" } }, {} },
            [&results](Result<HTTPResponse> result) { results.push_back(std::move(result)); });
        descriptors.push_back(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        connections.push_back(makeRef<StreamSocket>(descriptors.back()));
        connections.back()->start({ [](std::span<const uint8_t>) {} });
        connections.back()->write(std::string_view(response).substr(0, sentBytes));
        runUntil([&connections] { return !connections.back()->unacknowledgedBytes(); });
        runUntil([] { return false; }, 50ms);
    }
    const linger reset { 1, 0 };
    ASSERT_EQ(::setsockopt(descriptors.back(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset), 0);
    connections.back()->close();
    runUntil([] { return false; }, 50ms);
    EXPECT_TRUE(results.empty());
    connections[1]->write("b");
    connections[0]->write("b");
    runUntil([&results] { return results.size() == 3; });
    EXPECT_EQ(results.size(), 3U);
    for (const auto& result : results) {
        ASSERT_TRUE(result.has_value()) << result.error().detail;
        EXPECT_EQ(result->body, body);
    }
    ::close(listener);
}

// A request that was sent again could be answered by a late copy of its first response.
TEST_F(HTTPPoolOverSockets, ARequestIsNotSentAgainOnAConnectionThatCarriedIt)
{
    startServer();
    const auto sendAs = [this](const char* identifier, Duration lifetime) {
        done = false;
        pool.send(++requestID, { "GET", "/", { { "Host", "a" } }, {} }, [this](const Result<HTTPResponse>&) { done = true; },
            { .requestID = identifier, .mayBeSentAgainUntil = MonotonicClock::now() + lifetime });
    };
    sendAs("x", 1h);
    sendAs("y", 1h);
    runUntil([this] { return pool.idleConnections() == 2; });
    ASSERT_EQ(pool.openedConnections(), 2U);
    // Each has carried one of them, so each finds the other one's connection.
    for (const auto* identifier : { "x", "y" }) {
        sendAs(identifier, 1h);
        runUntil([this] { return pool.idleConnections() == 2; });
    }
    EXPECT_EQ(pool.openedConnections(), 2U);
    // Both connections have carried both, so that a new one takes the place of one of them.
    sendAs("x", 1h);
    EXPECT_EQ(pool.openConnections(), 2U);
    runUntil([this] { return pool.idleConnections() == 2; });
    EXPECT_EQ(pool.openedConnections(), 3U);
    EXPECT_GT(pool.avoidedReuses(), 0U);
    // Others are not concerned.
    for (int i = 0; i < 5; ++i) {
        sendAs(std::to_string(i).c_str(), 1h);
        runUntil([this] { return pool.idleConnections() == 2; });
    }
    EXPECT_EQ(pool.openedConnections(), 3U);
}

TEST_F(HTTPPoolOverSockets, AConnectionCarriesARequestAgainOnceNoResponseToItCanBeLate)
{
    startServer();
    for (int i = 0; i < 3; ++i) {
        pool.send(++requestID, { "GET", "/", { { "Host", "a" } }, {} }, [](const Result<HTTPResponse>&) {},
            { .requestID = "x", .mayBeSentAgainUntil = MonotonicClock::now() });
        runUntil([this] { return pool.idleConnections() == 1; });
    }
    EXPECT_EQ(pool.openedConnections(), 1U);
    EXPECT_EQ(pool.avoidedReuses(), 0U);
}

TEST(RecentRequests, AreForgottenOnceTheyCannotBeSentAgain)
{
    RecentRequests requests;
    TimePoint now { 1s };
    for (int i = 0; i < 10'000; ++i) {
        now += 1ms;
        requests.record(std::to_string(i), now + 100ms, now);
        ASSERT_TRUE(requests.contains(std::to_string(i), now));
        ASSERT_TRUE(i < 99 || requests.contains(std::to_string(i - 99), now));
        ASSERT_FALSE(requests.contains(std::to_string(i - 100), now));
        ASSERT_LE(requests.size(), 201U); // Twice those that may be sent again
    }
}

TEST_F(HTTPPoolOverSockets, AProcessWithoutDescriptorsDoesNotTakeTheServerForGone)
{
    startServer();
    const DescriptorShortage shortage;
    send();
    ASSERT_TRUE(done);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::Overloaded);
}

TEST_F(HTTPPoolOverSockets, AListenerWithoutDescriptorsWaitsAndAcceptsLater)
{
    SHALLOT_LOG(WARNING, "net") << "The sanitizers need a descriptor for the first look at the logger's types.";
    startServer();
    send();
    {
        const DescriptorShortage shortage;
        EXPECT_LT(runUntil([this] { return done; }, 500ms), 50U); // Turns of the main loop: it is not busy
        EXPECT_FALSE(done);
    }
    runUntil([this] { return done; });
    EXPECT_TRUE(result.has_value());
}

} // namespace
} // namespace shallot
