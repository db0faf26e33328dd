// StrictHTTPServer with malicious and malformed input. Guards against request smuggling: each message must be parsed as one
// request or rejected, however it is split into TCP segments, and bytes behind a rejected message must never be parsed as a
// request.

#include "TestPorts.h"
#include "net/StreamSocket.h"
#include "net/StrictHTTPServer.h"

#include <array>
#include <glib-unix.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

class StrictHTTP : public testing::Test {
protected:
    StrictHTTP()
        : address { "127.0.0.1", nextBasePort() }
    {
        limits.headerTimeout = 300ms;
        limits.idleTimeout = 600ms;
        const auto started = server.start(address, limits,
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 requests.push_back(request);
                 connection->respond({ 200, {}, "ok" }, false, MonotonicClock::now());
             },
                nullptr });
        EXPECT_TRUE(started.has_value());
    }

    struct Exchange {
        std::string received;
        bool closed { false };

        unsigned status() const { return received.size() > 12 ? static_cast<unsigned>(std::atoi(received.c_str() + 9)) : 0; }
    };

    void runUntil(const std::function<bool()>& condition, Duration timeout = 5s)
    {
        const auto end = MonotonicClock::now() + timeout;
        while (!condition() && MonotonicClock::now() < end) {
            Timer wake;
            wake.startOnce(10ms, [] {});
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    // Sends the pieces one by one and waits until the server closes the connection, has sent `responses` responses, or 2 s have
    // passed.
    Exchange exchange(const std::vector<std::string>& pieces, size_t responses = 1)
    {
        Exchange result;
        auto socket = StreamSocket::connect(address);
        socket->start({ [&result](std::span<const uint8_t> bytes) {
                           result.received.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
                       },
            nullptr, [&result](StreamEnd) { result.closed = true; } });
        for (const auto& piece : pieces) {
            socket->write(piece);
            if (pieces.size() > 1) {
                while (g_main_context_iteration(nullptr, FALSE)) { }
            }
        }
        const auto count = [&result] {
            size_t found = 0;
            for (size_t at = 0; (at = result.received.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
                ++found;
            return found;
        };
        runUntil([&] { return result.closed || count() >= responses; }, 2s);
        socket->close();
        return result;
    }

    SocketAddress address;
    StrictHTTPLimits limits;
    StrictHTTPServer server;
    std::vector<HTTPRequest> requests;
};

const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

struct Row {
    const char* name;
    std::string headerFields;
    std::string body;
    unsigned status;
};

TEST_F(StrictHTTP, RejectsAmbiguousMessages)
{
    const std::vector<Row> rows {
        { "length beside chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", 400 },
        { "two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n", "hello", 400 },
        { "two equal lengths", "Content-Length: 5\r\nContent-Length: 5\r\n", "hello", 400 },
        { "signed length", "Content-Length: +5\r\n", "hello", 400 },
        { "negative length", "Content-Length: -1\r\n", "", 400 },
        { "list of lengths", "Content-Length: 5, 5\r\n", "hello", 400 },
        { "unknown coding with a length", "Content-Length: 5\r\nTransfer-Encoding: xchunked\r\n", "hello", 400 },
        { "unknown coding", "Transfer-Encoding: xchunked\r\n", "hello", 400 },
        { "two codings", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n", 501 },
        { "name without a colon", "X-A\r\n", "", 400 },
        { "chunk size that is no number", "Transfer-Encoding: chunked\r\n", "ZZ\r\nhello\r\n0\r\n\r\n", 400 },
        { "folded line", "X-A: b\r\n c: d\r\n", "", 400 },
        { "bare line feed", "X-A: b\nX-B: c\r\n", "", 400 },
        { "two hosts", "Host: b\r\n", "", 400 },
        { "space before the colon", "X-A : b\r\n", "", 400 },
    };
    for (const auto& row : rows) {
        requests.clear();
        const auto result = exchange({ "POST /x HTTP/1.1\r\nHost: a\r\n" + row.headerFields + "\r\n" + row.body + smuggled }, 2);
        EXPECT_EQ(result.status(), row.status) << row.name;
        EXPECT_TRUE(result.closed) << row.name;
        EXPECT_TRUE(requests.empty()) << row.name;
    }
}

TEST_F(StrictHTTP, RejectsLargeMessagesAndAMissingHost)
{
    EXPECT_EQ(exchange({ "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(300'000, 'x') + "\r\n\r\n" }).status(), 431U);
    EXPECT_EQ(exchange({ "GET / HTTP/1.1\r\n\r\n" }).status(), 400U);
    EXPECT_EQ(exchange({ "\x16\x03\x01garbage\r\n\r\n" }).status(), 400U);
    limits.maximumBodyBytes = 100;
    server.setLimits(limits);
    EXPECT_EQ(exchange({ "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" }).status(), 413U);
    const std::string chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
    EXPECT_EQ(exchange({ "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk }).status(), 413U);
    EXPECT_TRUE(requests.empty());
}

TEST_F(StrictHTTP, AHeaderSectionLargerThanWhatIsBufferedBehindARequestIsAnswered)
{
    limits.maximumHeaderBytes = 1024 * 1024;
    limits.headerTimeout = 2s;
    server.setLimits(limits);
    std::string message = "GET /a HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 60; ++i)
        message += "X-" + std::to_string(i) + ": " + std::string(8000, 'x') + "\r\n";
    EXPECT_EQ(exchange({ message + "\r\n" }).status(), 400U); // The parser takes 80 KB
}

TEST_F(StrictHTTP, ARejectionBehindAHeadRequestIsComplete)
{
    const auto result = exchange({ "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost : a\r\n\r\n" }, 3);
    EXPECT_EQ(requests.size(), 1U);
    EXPECT_TRUE(result.closed);
    EXPECT_TRUE(result.received.ends_with("ambiguous\n")) << result.received;
}

TEST_F(StrictHTTP, ParsesARequestSplitAtEveryByte)
{
    const std::string message = "POST /a/b?c HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n";
    for (size_t split = 1; split < message.size(); ++split) {
        requests.clear();
        const auto result = exchange({ message.substr(0, split), message.substr(split) });
        ASSERT_EQ(result.status(), 200U) << split;
        ASSERT_EQ(requests.size(), 1U) << split;
        EXPECT_EQ(requests[0].target, "/a/b?c");
        EXPECT_EQ(requests[0].body, "abcde");
        EXPECT_EQ(findHeader(requests[0].headers, "x-a"), "1");
        EXPECT_TRUE(findHeader(requests[0].headers, "x-trailer").empty());
    }
}

TEST_F(StrictHTTP, PipelinedRequestsAreServedInOrder)
{
    const auto get = [](int i) { return "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n"; };
    exchange({ get(1) + get(2) + get(3) }, 3);
    ASSERT_EQ(requests.size(), 3U);
    for (size_t i = 0; i < 3; ++i)
        EXPECT_EQ(requests[i].target, "/" + std::to_string(i + 1));
}

TEST_F(StrictHTTP, ARequestOnAConnectionBeyondTheMaximumIsRejectedAndNotLost)
{
    limits.maximumConnections = 1;
    server.setLimits(limits);
    const auto first = StreamSocket::connect(address);
    first->start({ [](std::span<const uint8_t>) {}, nullptr, nullptr });
    runUntil([this] { return server.connectionCount() == 1; });
    const auto beyond = exchange({ "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" });
    EXPECT_EQ(beyond.status(), 503U);
    EXPECT_TRUE(requests.empty());
}

// Memory is taken from the caller that has held it longest, however many bytes a new one has not read yet.
TEST_F(StrictHTTP, ACallerThatHasJustBegunToReadIsNotCutOffForOneThatTrickles)
{
    const SocketAddress longAddress { "127.0.0.1", static_cast<uint16_t>(address.port + 1) };
    StrictHTTPServer longServer;
    StrictHTTPLimits longLimits;
    const auto started = longServer.start(longAddress, longLimits,
        { [](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
             const std::string body(std::strtoul(request.target.c_str() + 1, nullptr, 10), 'x');
             connection->respond({ 200, {}, body }, false, MonotonicClock::now());
         },
            nullptr });
    ASSERT_TRUE(started.has_value());
    struct Caller {
        RefPtr<StreamSocket> socket;
        size_t received { 0 };
        bool closed { false };
        bool readsOn { false };
    };
    std::array<Caller, 3> callers;
    const auto request = [&](Caller& caller, size_t bytes) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int bufferBytes = 4096;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(longAddress.port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target), 0);
        g_unix_set_fd_nonblocking(descriptor, TRUE, nullptr);
        caller.socket = makeRef<StreamSocket>(descriptor);
        caller.socket->start({ [&caller](std::span<const uint8_t> received) {
                                  caller.received += received.size();
                                  caller.socket->setReadPaused(!caller.readsOn);
                              },
            nullptr, [&caller](StreamEnd) { caller.closed = true; } });
        caller.socket->write("GET /" + std::to_string(bytes) + " HTTP/1.1\r\nHost: a\r\n\r\n");
        runUntil([&caller] { return caller.received > 0; });
    };
    constexpr size_t bodyBytes = 4'000'000;
    auto& trickling = callers[0];
    auto& reading = callers[1];
    auto& last = callers[2];
    request(trickling, bodyBytes);
    for (int i = 0; i < 5; ++i) {
        runUntil([] { return false; }, 100ms);
        trickling.socket->setReadPaused(false);
        trickling.socket->readNow();
    }
    request(reading, bodyBytes + 100'000);
    longLimits.maximumUnreadResponseBytes = longServer.unreadResponseBytes() + 4 * 1024 * 1024 + 100'000;
    longServer.setLimits(longLimits);
    request(last, bodyBytes - 600'000);
    reading.readsOn = true;
    reading.socket->setReadPaused(false);
    runUntil([&] { return reading.closed || reading.received > bodyBytes; });
    EXPECT_EQ(longServer.cutOffReaders(), 1U);
    EXPECT_GT(reading.received, bodyBytes);
    for (auto& caller : callers)
        caller.socket->close();
}

TEST_F(StrictHTTP, IncompleteHeaderSectionsTimeOutWithoutAffectingOthers)
{
    std::vector<RefPtr<StreamSocket>> incomplete;
    size_t closed = 0;
    size_t refused = 0;
    for (int i = 0; i < 200; ++i) {
        auto socket = StreamSocket::connect(address);
        socket->start({ [&refused](std::span<const uint8_t> bytes) {
                           refused += std::string(bytes.begin(), bytes.end()).starts_with("HTTP/1.1 408") ? 1 : 0;
                       },
            nullptr, [&closed](StreamEnd) { ++closed; } });
        socket->write("GET / HTTP/1.1\r\nHost: a\r\n");
        incomplete.push_back(std::move(socket));
    }
    EXPECT_EQ(exchange({ "GET /fine HTTP/1.1\r\nHost: a\r\n\r\n" }).status(), 200U);
    runUntil([&] { return closed == incomplete.size(); });
    EXPECT_EQ(closed, incomplete.size());
    EXPECT_EQ(refused, incomplete.size());
    EXPECT_EQ(requests.size(), 1U);
}

// Mutates the header section of a valid message, with a fixed seed: no part of the body may be parsed as a request.
TEST_F(StrictHTTP, MutatedMessagesNeverSmuggleARequest)
{
    std::mt19937 random(20261204);
    const std::string body = smuggled;
    const std::string valid
        = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\nX-A: 1\r\n\r\n" + body;
    const auto headerSectionEnd = valid.find("\r\n\r\n") + 4;
    for (int i = 0; i < 300; ++i) {
        auto message = valid;
        const auto lengthAt = message.find("Content-Length");
        const auto at = random() % headerSectionEnd;
        if (at >= lengthAt && at < lengthAt + 20)
            continue; // A different length gives a different valid message
        switch (random() % 3) {
        case 0:
            message[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            message.erase(at, 1);
            break;
        case 2:
            message.insert(at, 1, static_cast<char>(random() % 256));
            break;
        }
        if (message.find("\r\n\r\n") != headerSectionEnd - 4 + message.size() - valid.size())
            continue; // The header section ends elsewhere, so the rest is not the body
        requests.clear();
        exchange({ message });
        for (const auto& request : requests)
            EXPECT_NE(request.target, "/smuggled") << i;
    }
}

} // namespace
} // namespace shallot
