// Graceful shutdown under load, and callers that make the server buffer bodies: requests accepted or on their way when the
// shutdown starts are answered, and the buffered bodies of all callers together are bounded.

#include "TestPorts.h"
#include "net/StreamSocket.h"
#include "net/StrictHTTPServer.h"

#include <arpa/inet.h>
#include <array>
#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

// A caller with a blocking socket: its bytes are in the server's kernel when send() returns, whatever the server's loop does.
class BlockingCaller {
public:
    explicit BlockingCaller(const SocketAddress& address, int receiveBuffer = 0)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBuffer)
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
        EXPECT_EQ(::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target), 0);
    }
    ~BlockingCaller() { ::close(m_descriptor); }
    BlockingCaller(const BlockingCaller&) = delete;
    BlockingCaller& operator=(const BlockingCaller&) = delete;

    void send(std::string_view text) const
    {
        EXPECT_EQ(::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL), text.size());
    }
    // Bytes received since the last call.
    std::string receive()
    {
        std::array<char, 4096> bytes {};
        const auto size = ::recv(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        m_ended = m_ended || size == 0;
        return size > 0 ? std::string(bytes.data(), static_cast<size_t>(size)) : std::string();
    }
    bool hasEnded() const { return m_ended; }
    // Shuts down the sending side, as a caller that has no further requests.
    void finishSending() const { ::shutdown(m_descriptor, SHUT_WR); }
    // Waits until the bytes are sent or the connection has ended.
    void trySendAll(std::string_view text) const
    {
        while (!text.empty()) {
            const auto sent = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            text.remove_prefix(static_cast<size_t>(sent));
        }
    }
    void disconnect() const { ::shutdown(m_descriptor, SHUT_RDWR); }
    // Whether the bytes could be sent.
    bool trySend(std::string_view text) const
    {
        return ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0 || errno == EAGAIN;
    }

private:
    int m_descriptor;
    bool m_ended { false };
};

class GracefulShutdown : public testing::Test {
protected:
    GracefulShutdown()
        : address { "127.0.0.1", nextBasePort() }
    {
        const auto started = server.start(address, {},
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 ++requests;
                 if (request.target == "/held")
                     held = connection;
                 else
                     connection->respond({ 200, {}, request.body + "!" }, false, MonotonicClock::now());
             },
                [this](StrictHTTPConnection&) {
                    ++disconnects;
                    held = nullptr;
                } });
        EXPECT_TRUE(started.has_value());
    }

    // Receives until that many responses have arrived or the connection has ended; returns how many did.
    size_t receiveResponses(BlockingCaller& caller, size_t count)
    {
        std::string received;
        size_t responses = 0;
        runUntil([&] {
            received += caller.receive();
            responses = 0;
            for (size_t at = 0; (at = received.find("HTTP/1.1 200", at)) != std::string::npos; ++at)
                ++responses;
            return caller.hasEnded() || (responses >= count && received.ends_with("!"));
        });
        return responses;
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = MonotonicClock::now() + 4s;
        while (!condition()) {
            if (MonotonicClock::now() > end)
                return false;
            Timer wake;
            wake.startOnce(5ms, [] {});
            g_main_context_iteration(nullptr, TRUE);
        }
        return true;
    }

    std::string receiveResponse(BlockingCaller& caller)
    {
        std::string response;
        runUntil([&] {
            response += caller.receive();
            return caller.hasEnded() || response.ends_with("!");
        });
        return response;
    }

    SocketAddress address;
    StrictHTTPServer server;
    RefPtr<StrictHTTPConnection> held;
    size_t requests { 0 };
    size_t disconnects { 0 };
};

const std::string get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

TEST_F(GracefulShutdown, ARequestInTheAcceptBacklogIsAnswered)
{
    BlockingCaller caller(address);
    caller.send(get);
    server.startDraining();
    EXPECT_TRUE(receiveResponse(caller).starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
}

TEST_F(GracefulShutdown, AnUnreadRequestIsAnsweredAlsoOnAKeepAliveConnection)
{
    BlockingCaller fresh(address);
    ASSERT_TRUE(runUntil([&] { return server.connectionCount() == 1; }));
    BlockingCaller kept(address);
    kept.send(get);
    EXPECT_TRUE(receiveResponse(kept).starts_with("HTTP/1.1 200"));
    fresh.send(get);
    kept.send(get);
    server.startDraining();
    EXPECT_TRUE(receiveResponse(fresh).starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(receiveResponse(kept).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(requests, 3U);
}

TEST_F(GracefulShutdown, APartiallyReceivedRequestIsAnswered)
{
    const std::string post = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf";
    BlockingCaller halfBody(address);
    halfBody.send(post);
    BlockingCaller halfHead(address);
    halfHead.send(get.substr(0, 10));
    ASSERT_TRUE(runUntil([&] { return server.connectionCount() == 2; }));
    runUntil([ticks = 0]() mutable { return ++ticks > 10; });
    server.startDraining();
    runUntil([ticks = 0]() mutable { return ++ticks > 20; });
    halfBody.send("-other");
    halfHead.send(get.substr(10));
    EXPECT_TRUE(receiveResponse(halfBody).ends_with("half-other!"));
    EXPECT_TRUE(receiveResponse(halfHead).starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
}

TEST_F(GracefulShutdown, IdleConnectionsAreClosedAndOpenRequestsAreAnswered)
{
    BlockingCaller idle(address);
    idle.send(get);
    EXPECT_TRUE(receiveResponse(idle).ends_with("!"));
    BlockingCaller busy(address);
    busy.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    server.startDraining();
    EXPECT_TRUE(runUntil([&] {
        idle.receive();
        return idle.hasEnded();
    }));
    held->respond({ 200, {}, "late!" }, false, MonotonicClock::now());
    const auto response = receiveResponse(busy);
    EXPECT_TRUE(response.ends_with("late!"));
    EXPECT_NE(response.find("Connection: close"), std::string::npos);
    // New connections are refused.
    auto late = StreamSocket::connect(address);
    bool refused = false;
    late->start({ [](std::span<const uint8_t>) {}, nullptr, [&refused](StreamEnd) { refused = true; } });
    EXPECT_TRUE(runUntil([&] { return refused; }));
}

const std::string getHeld = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";

TEST_F(GracefulShutdown, PipelinedRequestsAreAnsweredBeforeTheConnectionCloses)
{
    BlockingCaller caller(address);
    caller.send(getHeld + get + get);
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    server.startDraining();
    held->respond({ 200, {}, "late!" }, true, MonotonicClock::now());
    EXPECT_EQ(receiveResponses(caller, 3), 3U);
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
}

TEST_F(GracefulShutdown, ARequestThatArrivesBeforeTheLastResponseIsWrittenIsAnswered)
{
    BlockingCaller caller(address);
    caller.send(getHeld);
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    server.startDraining();
    caller.send(get);
    held->respond({ 200, {}, "late!" }, true, MonotonicClock::now());
    EXPECT_EQ(receiveResponses(caller, 2), 2U);
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
}

TEST_F(GracefulShutdown, ALargeRequestBehindOneInProgressEndsNeither)
{
    constexpr size_t bodyBytes = 600 * 1024;
    BlockingCaller caller(address);
    caller.send(getHeld);
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    const std::string upload = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'x');
    std::thread sender([&] { caller.send(upload); });
    runUntil([ticks = 0]() mutable { return ++ticks > 40; });
    EXPECT_EQ(disconnects, 0U);
    held->respond({ 200, {}, "late!" }, false, MonotonicClock::now());
    EXPECT_EQ(receiveResponses(caller, 2), 2U);
    sender.join();
}

TEST_F(GracefulShutdown, ARequestBehindAFullBufferIsAnsweredBeforeTheConnectionCloses)
{
    const std::string body(64 * 1024, 'x'); // Four of them are just more than what is buffered
    const std::string upload
        = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    BlockingCaller caller(address);
    std::thread sender([&] { caller.send(getHeld + upload + upload + upload + upload); });
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    runUntil([end = MonotonicClock::now() + 300ms] { return MonotonicClock::now() > end; });
    sender.join();
    caller.send(get);
    server.startDraining();
    held->respond({ 200, {}, "late!" }, true, MonotonicClock::now());
    EXPECT_EQ(receiveResponses(caller, 6), 6U);
}

TEST_F(GracefulShutdown, ManyPipelinedRequestsAreAnsweredInBoundedStackSpace)
{
    constexpr size_t pipelined = 9000; // Less than what is buffered behind a request in progress
    BlockingCaller caller(address);
    std::string text = getHeld;
    for (size_t i = 0; i < pipelined; ++i)
        text += get;
    std::thread sender([&] { caller.send(text); });
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    runUntil([ticks = 0]() mutable { return ++ticks > 40; });
    held->respond({ 200, {}, "late!" }, false, MonotonicClock::now());
    EXPECT_EQ(receiveResponses(caller, pipelined + 1), pipelined + 1);
    sender.join();
}

TEST_F(GracefulShutdown, ACallerThatHasFinishedSendingIsAnswered)
{
    BlockingCaller caller(address);
    caller.send(getHeld + get);
    caller.finishSending();
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    runUntil([ticks = 0]() mutable { return ++ticks > 20; });
    EXPECT_EQ(disconnects, 0U);
    held->respond({ 200, {}, "late!" }, false, MonotonicClock::now());
    EXPECT_EQ(receiveResponses(caller, 2), 2U);
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
}

TEST_F(GracefulShutdown, PipelinedRequestsOfACallerThatHasFinishedSendingDoNotWaitForEachOther)
{
    constexpr size_t count = 300;
    BlockingCaller caller(address);
    std::string text;
    for (size_t i = 0; i < count; ++i)
        text += get;
    caller.send(text);
    caller.finishSending();
    EXPECT_EQ(receiveResponses(caller, count), count);
}

TEST_F(GracefulShutdown, ACallerThatHasFinishedSendingReceivesNothingButItsAnswer)
{
    for (const std::string version : { "HTTP/1.0", "HTTP/1.1" }) {
        SCOPED_TRACE(version);
        BlockingCaller caller(address);
        caller.send("GET /held " + version + "\r\nHost: a\r\n\r\n");
        caller.finishSending();
        ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
        runUntil([ticks = 0]() mutable { return ++ticks > 20; });
        EXPECT_EQ(disconnects, 0U);
        if (held)
            std::exchange(held, nullptr)->respond({ 200, {}, "late!" }, false, MonotonicClock::now());
        const auto received = receiveResponse(caller);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200") && received.ends_with("late!")) << received;
        disconnects = 0;
    }
}

TEST_F(GracefulShutdown, ACallerThatHasClosedItsConnectionIsNoticed)
{
    auto caller = std::make_unique<BlockingCaller>(address);
    caller->send(getHeld);
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    caller.reset();
    const auto closedAt = MonotonicClock::now();
    EXPECT_TRUE(runUntil([&] { return disconnects == 1; }));
    EXPECT_LT(MonotonicClock::now() - closedAt, 500ms);
}

TEST_F(GracefulShutdown, ARequestWhoseCallerHadClosedItsConnectionBeforeItWasReadIsNotServed)
{
    for (const auto& text :
        { get, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'b') }) {
        auto caller = std::make_unique<BlockingCaller>(address);
        caller->send(text);
        caller.reset();
        ASSERT_TRUE(runUntil([&] { return server.connectionCount() == 1; }));
        EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
        EXPECT_EQ(requests, 0U);
        EXPECT_EQ(disconnects, 0U);
    }
}

TEST_F(GracefulShutdown, ACallerThatResetsItsConnectionBehindAPipelinedRequestIsNotUsedAfterItsEnd)
{
    auto caller = std::make_unique<BlockingCaller>(address);
    caller->send(getHeld);
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    caller->send(getHeld);
    caller.reset();
    // The response is answered with a reset before the second request and the end behind it are read.
    std::exchange(held, nullptr)->respond({ 200, {}, "late!" }, false, MonotonicClock::now());
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
    EXPECT_EQ(requests, 1U); // The second one arrived with the end of its connection
    EXPECT_EQ(disconnects, requests - 1);
}

TEST_F(GracefulShutdown, AResponseIsNotCutWhenTheCallerFinishesSendingWhileItReads)
{
    constexpr size_t bodyBytes = 28 * 1024 * 1024; // Several times what the kernel buffers
    for (const bool close : { false, true }) {
        BlockingCaller reader(address, 64 * 1024);
        reader.send(getHeld);
        ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
        std::exchange(held, nullptr)->respond({ 200, {}, std::string(bodyBytes, 'x') }, close, MonotonicClock::now());
        reader.finishSending();
        size_t received = 0;
        EXPECT_TRUE(runUntil([&] {
            for (auto bytes = reader.receive().size(); bytes; bytes = reader.receive().size())
                received += bytes;
            return reader.hasEnded();
        })) << close;
        EXPECT_GT(received, bodyBytes) << close;
        EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); })) << close;
    }
}

TEST_F(GracefulShutdown, PipelinedResponsesThatAreReadSlowlyDoNotOverflowTheConnection)
{
    constexpr size_t pipelined = 48;
    constexpr size_t bodyBytes = 1024 * 1024; // Together more than the write buffer and the kernel hold
    BlockingCaller caller(address, 256 * 1024);
    const std::string upload = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'x');
    std::thread sender([&] {
        for (size_t i = 0; i < pipelined; ++i)
            caller.trySendAll(upload);
    });
    runUntil([end = MonotonicClock::now() + 1500ms] { return MonotonicClock::now() > end; });
    size_t received = 0;
    EXPECT_TRUE(runUntil([&] {
        for (auto bytes = caller.receive().size(); bytes; bytes = caller.receive().size())
            received += bytes;
        return caller.hasEnded() || received > pipelined * bodyBytes;
    }));
    EXPECT_GT(received, pipelined * bodyBytes);
    caller.disconnect();
    sender.join();
}

TEST_F(GracefulShutdown, ACallerThatStillSendsReceivesItsRejectionAndNoReset)
{
    BlockingCaller caller(address);
    caller.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n");
    bool sent = true;
    const auto end = MonotonicClock::now() + 3s; // Longer than the server lingers for a client that is silent
    runUntil([&] {
        sent = sent && caller.trySend(std::string(1000, 'x'));
        return !sent || MonotonicClock::now() > end;
    });
    EXPECT_TRUE(sent);
    EXPECT_TRUE(receiveResponse(caller).starts_with("HTTP/1.1 413"));
}

TEST_F(GracefulShutdown, AResponseThatIsBeingReadSlowlyIsDeliveredCompletely)
{
    constexpr size_t bodyBytes = 28 * 1024 * 1024; // Several times what the kernel buffers
    constexpr auto readInterval = 5ms;
    constexpr auto readTime = 4s; // Longer than a client may linger without reading
    constexpr size_t bytesPerRead = bodyBytes / (readTime / readInterval);
    BlockingCaller reader(address, 64 * 1024);
    reader.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    server.startDraining();
    held->respond({ 200, {}, std::string(bodyBytes, 'x') }, false, MonotonicClock::now());
    size_t received = 0;
    Timer reads;
    reads.startRepeating(readInterval, [&] {
        for (size_t batch = 0; batch < bytesPerRead && !reader.hasEnded();) {
            const auto bytes = reader.receive().size();
            if (!bytes)
                break;
            batch += bytes;
            received += bytes;
        }
    });
    const auto end = MonotonicClock::now() + 2 * readTime;
    while (!reader.hasEnded() && MonotonicClock::now() < end)
        g_main_context_iteration(nullptr, TRUE);
    EXPECT_GT(received, bodyBytes);
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
}

class GracefulShutdownPause : public GracefulShutdown, public testing::WithParamInterface<size_t> { };

// A short response is in the kernel's send buffer, which a reset would drop.
TEST_P(GracefulShutdownPause, AResponseIsNotCutWhileItsReaderPausesWithinTheIdleTimeout)
{
    const size_t bodyBytes = GetParam();
    BlockingCaller reader(address, 64 * 1024);
    reader.send(getHeld.substr(0, getHeld.size() - 2) + "Connection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    server.startDraining();
    held->respond({ 200, {}, std::string(bodyBytes, 'x') }, false, MonotonicClock::now());
    runUntil([end = MonotonicClock::now() + 3500ms] { return MonotonicClock::now() > end; });
    EXPECT_TRUE(reader.trySend(get));
    size_t received = 0;
    EXPECT_TRUE(runUntil([&] {
        for (auto bytes = reader.receive().size(); bytes; bytes = reader.receive().size())
            received += bytes;
        return reader.hasEnded();
    }));
    EXPECT_GT(received, bodyBytes);
}

INSTANTIATE_TEST_SUITE_P(Bodies, GracefulShutdownPause, testing::Values(1024 * 1024, 12 * 1024 * 1024));

enum class Drains { Never, BehindTheResponse, BeforeIt };

class GracefulShutdownWhileReading : public GracefulShutdown, public testing::WithParamInterface<Drains> { };

TEST_P(GracefulShutdownWhileReading, ARequestBehindAResponseIsAnswered)
{
    constexpr size_t bodyBytes = 28 * 1024 * 1024;
    constexpr double bytesPerSecond = 8e6;
    constexpr auto readTime = 2s; // After the idle timeout, and before the whole body is read
    StrictHTTPLimits limits;
    limits.idleTimeout = 1s;
    server.setLimits(limits);
    BlockingCaller reader(address, 64 * 1024);
    reader.send(getHeld);
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    const bool isLast = GetParam() == Drains::BeforeIt;
    if (isLast)
        server.startDraining();
    std::exchange(held, nullptr)->respond({ 200, {}, std::string(bodyBytes, 'x') + "!" }, isLast, MonotonicClock::now());
    if (GetParam() == Drains::BehindTheResponse)
        server.startDraining();
    size_t read = 0;
    runUntil([&, start = MonotonicClock::now()] {
        const auto elapsed = MonotonicClock::now() - start;
        while (static_cast<double>(read) < bytesPerSecond * toSeconds(elapsed)) {
            const auto bytes = reader.receive().size();
            if (!bytes)
                break;
            read += bytes;
        }
        return elapsed > readTime;
    });
    ASSERT_LT(read, bodyBytes);
    reader.send("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nbehind");
    std::string received;
    runUntil([&] {
        for (auto bytes = reader.receive(); !bytes.empty(); bytes = reader.receive()) {
            received.erase(0, received.size() - std::min<size_t>(received.size(), 100));
            received += bytes;
        }
        return reader.hasEnded() || received.ends_with("behind!");
    });
    EXPECT_TRUE(received.ends_with("behind!"));
    EXPECT_TRUE(GetParam() == Drains::Never || runUntil([&] { return !server.connectionCount(); }));
}

INSTANTIATE_TEST_SUITE_P(
    Drains, GracefulShutdownWhileReading, testing::Values(Drains::Never, Drains::BehindTheResponse, Drains::BeforeIt));

TEST_F(GracefulShutdown, AClientThatStopsReadingIsCutOff)
{
    constexpr auto idleTimeout = 3s; // Longer than the linger time of a client that has read everything
    server.setLimits({ .idleTimeout = idleTimeout });
    BlockingCaller reader(address, 64 * 1024);
    reader.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return held.get() != nullptr; }));
    server.startDraining();
    const auto respondedAt = MonotonicClock::now();
    held->respond({ 200, {}, std::string(12 * 1024 * 1024, 'x') }, false, respondedAt);
    EXPECT_TRUE(runUntil([&] { return !server.connectionCount(); }));
    EXPECT_GE(MonotonicClock::now() - respondedAt, idleTimeout);
}

TEST_F(GracefulShutdown, BodiesOfAllCallersTogetherAreBounded)
{
    constexpr size_t callers = 12;
    constexpr size_t bodyBytes = 6 * 1024 * 1024; // Each within the limit of one request
    size_t refused = 0;
    size_t answered = 0;
    std::vector<RefPtr<StreamSocket>> sockets;
    std::vector<std::string> responses(callers);
    for (size_t i = 0; i < callers; ++i) {
        auto socket = StreamSocket::connect(address);
        socket->start({ [&responses, i](std::span<const uint8_t> bytes) { responses[i].append(bytes.begin(), bytes.end()); },
            nullptr, nullptr });
        // All but the last byte, so that each body stays buffered.
        socket->write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes - 1, 'x'));
        sockets.push_back(std::move(socket));
    }
    const auto count = [&] {
        refused = answered = 0;
        for (const auto& response : responses) {
            refused += response.starts_with("HTTP/1.1 503") ? 1 : 0;
            answered += response.starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        return refused + answered;
    };
    runUntil([&, ticks = 0]() mutable { return count() && ++ticks > 50; });
    EXPECT_GE(refused, callers / 2); // 32 MB hold five of them
    EXPECT_EQ(requests, 0U);
    for (const auto& socket : sockets)
        socket->write("x");
    EXPECT_TRUE(runUntil([&] { return count() == callers; }));
    EXPECT_GE(answered, 3U);
    EXPECT_EQ(requests, answered);
}

} // namespace
} // namespace shallot
