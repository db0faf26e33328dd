// What callers receive when a backend server responds incorrectly: duplicate responses, truncated responses, bytes that are no
// HTTP and endless responses. Real sockets; the callers' daemon and the backend server's are different ones.

#include "RawEndpoint.h"
#include "SidecarHarness.h"
#include "TestPorts.h"
#include "mesh/MeshSettings.h"
#include "platform/Names.h"

#include <fstream>
#include <glib.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace shallot {
namespace {

const std::string attemptHeader = std::string(platform::header::attemptID) + ": ";
const std::string sealHeader = std::string(platform::header::seal) + ": seal\r\n";
constexpr size_t maximumGrowthMB = 48;                    // Less than a third of the smallest instance's memory
constexpr size_t maximumBufferedBytes = 32 * 1024 * 1024; // A fifth of the smallest instance's memory

size_t residentMB()
{
    std::ifstream statistics("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statistics >> total >> resident;
    constexpr size_t pagesPerMB = 256;
    return resident / pagesPerMB;
}

// A caller's daemon in one zone and a backend server scripted by the test in another.
class EndpointResponses : public testing::Test {
protected:
    EndpointResponses()
        : mesh({ "zone-a/alpha", "zone-b/beta" })
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.endpoint(0).stopServing();
        raw = std::make_unique<RawEndpoint>(mesh.backendServerAddress(0), "instance-0",
            [](StreamSocket& socket, const std::string& attempt) { socket.write(RawEndpoint::responseTo(attempt, "whole")); });
        ASSERT_TRUE(mesh.runUntil([&] { return mesh.fetch(1, "/read/first").status() == 200; }));
    }

    uint16_t order(const std::string& target) { return mesh.wait(mesh.send(1, { "POST", target, {}, "tiles" })).status(); }

    SidecarHarness mesh;
    std::unique_ptr<RawEndpoint> raw;
};

TEST_F(EndpointResponses, ADuplicateResponseOnAnIdleConnectionIsDropped)
{
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        const auto response = RawEndpoint::responseTo(attempt, "to " + attempt);
        socket.write(response);
        auto copy = std::make_shared<Timer>();
        copy->startOnce(20ms, [copy, response, connection = RefPtr<StreamSocket>(&socket)] { connection->write(response); });
    });
    for (int i = 0; i < 5; ++i) {
        const auto id = "copy-" + std::to_string(i);
        const auto& exchange
            = mesh.wait(mesh.send(1, { "GET", "/read/1", { { std::string(platform::header::attemptID), id } }, {} }));
        ASSERT_EQ(exchange.status(), 200);
        EXPECT_EQ(exchange.response->body, "to " + id);
        mesh.runFor(i % 2 ? 60ms : 0ms);
    }
}

TEST_F(EndpointResponses, ADuplicateResponseBeforeTheNextOneIsNotDelivered)
{
    for (const bool withAttempt : { true, false }) {
        std::map<StreamSocket*, std::string> previousResponses; // By the connection that carried them
        raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
            auto response = RawEndpoint::responseTo(attempt, "to " + attempt);
            socket.write(previousResponses[&socket] + response);
            if (!withAttempt)
                response.erase(response.find(attemptHeader), attemptHeader.size() + attempt.size() + 2);
            previousResponses[&socket] = response;
        });
        for (int i = 0; i < 5; ++i) {
            const auto id = "next-" + std::to_string(i);
            const HTTPRequest request { "GET", "/read/1", { { std::string(platform::header::attemptID), id } }, {} };
            const auto& exchange = mesh.wait(mesh.send(1, request));
            EXPECT_TRUE(exchange.status() == 200 || exchange.status() == 502);
            EXPECT_TRUE(exchange.status() == 502 || exchange.response->body == "to " + id) << withAttempt;
        }
    }
}

// Each connection carries one response and is closed when the next request arrives, which then is sent again.
TEST_F(EndpointResponses, RequestsOnStaleConnectionsAreNotSentAgainBeyondTheRetryBudget)
{
    constexpr size_t count = 300;
    constexpr auto budgetWindow = 10s;
    mesh.settings.retryAllowance = MeshSettings().retryAllowance;
    mesh.runFor(1s); // Until the daemon beside the backend server applies it
    std::set<StreamSocket*> used;
    raw->setScript([&used](StreamSocket& socket, const std::string& attempt) {
        if (used.insert(&socket).second)
            socket.write(RawEndpoint::responseTo(attempt, "whole"));
        else
            socket.close();
    });
    const auto arrivedBefore = raw->requestCount();
    const auto end = MonotonicClock::now() + budgetWindow;
    size_t sent = 0;
    for (; sent < count && MonotonicClock::now() < end; ++sent)
        mesh.fetch(1, "/read/1");
    const auto requests = static_cast<double>(sent);
    const auto repeats = static_cast<double>(raw->requestCount() - arrivedBefore) - requests;
    EXPECT_LE(repeats, mesh.settings.retryShare * requests + mesh.settings.retryAllowance);
}

// A late refusal must not be taken for the outcome of the request in progress.
TEST_F(EndpointResponses, ALateRefusalOfAnEarlierRequestIsNotAttributedToTheNextOne)
{
    bool first = true;
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        const std::string refusal
            = "HTTP/1.1 503 Busy\r\n" + std::string(platform::header::notExecuted) + ": 1\r\nContent-Length: 0\r\n\r\n";
        socket.write(std::exchange(first, false) ? RawEndpoint::responseTo(attempt, "whole") : refusal);
    });
    EXPECT_EQ(order("/order/1"), 200);
    EXPECT_EQ(order("/order/2"), 502);
}

// Answers the first request of each attempt by `first` and the others by `later`, preceded by a copy of the last response on that
// connection.
class LateCopies {
public:
    using Response = std::function<std::string(const std::string& attempt)>;

    LateCopies(RawEndpoint& endpoint, Response first, Response later)
    {
        endpoint.setScript(
            [this, first = std::move(first), later = std::move(later)](StreamSocket& socket, const std::string& attempt) {
                const bool isFirst = !m_arrivals[attempt]++;
                const auto response = isFirst ? first(attempt) : later(attempt);
                socket.write((isFirst ? "" : m_lastResponses[&socket]) + response);
                m_lastResponses[&socket] = response;
            });
    }
    int arrivals(const std::string& attempt) { return m_arrivals[attempt]; }

private:
    std::map<std::string, int> m_arrivals;
    std::map<StreamSocket*, std::string> m_lastResponses;
};

std::string refusalOf(const std::string& attempt)
{
    return "HTTP/1.1 503 Busy\r\n" + attemptHeader + attempt + "\r\n" + std::string(platform::header::notExecuted)
        + ": 1\r\nContent-Length: 0\r\n\r\n";
}

// An order ran twice: the late copy of its refusal was taken for the answer to its second sending.
TEST_F(EndpointResponses, AnOrderDoesNotRunTwiceAfterALateCopyOfItsRefusal)
{
    mesh.maximumEndpoints = 1;
    mesh.writeConfiguration(2);
    mesh.runFor(300ms);
    LateCopies copies(*raw, refusalOf, [](const std::string& attempt) { return RawEndpoint::responseTo(attempt, "run"); });
    for (int i = 0; i < 5; ++i) {
        const auto id = "order-" + std::to_string(i);
        const auto& exchange
            = mesh.wait(mesh.send(1, { "POST", "/order/1", { { std::string(platform::header::attemptID), id } }, "tiles" }));
        EXPECT_EQ(exchange.status(), 200);
        EXPECT_EQ(copies.arrivals(id), 2); // One of them refused
    }
}

// A caller that used an identifier twice got the late copy of the first answer for the second one.
TEST_F(EndpointResponses, ARequestWithAnIdentifierThatWasUsedBeforeDoesNotGetTheEarlierAnswer)
{
    const auto answer
        = [](const char* body) { return [body](const std::string& attempt) { return RawEndpoint::responseTo(attempt, body); }; };
    LateCopies copies(*raw, answer("first"), answer("second"));
    for (const auto* body : { "first", "second" }) {
        const auto& exchange
            = mesh.wait(mesh.send(1, { "GET", "/read/1", { { std::string(platform::header::attemptID), "same" } }, {} }));
        ASSERT_EQ(exchange.status(), 200);
        EXPECT_EQ(exchange.response->body, body);
    }
}

// A caller received an answer with the status of a backend server that was in trouble, which was none (MIXED).
TEST_F(EndpointResponses, AnAnswerWithoutAValidStatusIsNotDelivered)
{
    for (const auto* status : { "000", "099", "20", "0200", "2000", "600", "999", "+200", "-200", "2x0", " 200", "" }) {
        raw->setScript([status](StreamSocket& socket, const std::string& attempt) {
            auto response = RawEndpoint::responseTo(attempt, "whole");
            socket.write(response.replace(response.find("200"), 3, status));
        });
        EXPECT_EQ(order("/order/1"), 502) << '"' << status << '"';
    }
    for (const auto* status : { "200", "299", "404", "599" }) {
        raw->setScript([status](StreamSocket& socket, const std::string& attempt) {
            auto response = RawEndpoint::responseTo(attempt, "whole");
            socket.write(response.replace(response.find("200"), 3, status));
        });
        EXPECT_EQ(order("/order/1"), std::stoi(status));
    }
}

// A backend server that cannot queue a request never responds to it, nor to anything else on that connection.
TEST_F(EndpointResponses, AnUnresponsiveConnectionIsNotReused)
{
    StreamSocket* silent = nullptr;
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        silent = silent ? silent : &socket;
        if (silent != &socket)
            socket.write(RawEndpoint::responseTo(attempt, "whole"));
    });
    EXPECT_EQ(order("/order/1"), 504);
    EXPECT_EQ(order("/order/2"), 200);
    EXPECT_EQ(raw->requestCount(), 3U);
}

// A backend server may respond before it has read a long body and continue reading later: the next bytes must be the rest of that
// body.
TEST_F(EndpointResponses, ABodyIsSentCompletelyAfterAnEarlyResponse)
{
    constexpr size_t bodyBytes = 6 * 1024 * 1024; // More than the kernel's buffers hold
    bool early = true;
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        socket.write(RawEndpoint::responseTo(attempt, "early"));
        if (std::exchange(early, false))
            raw->expectBody(socket, bodyBytes);
    });
    const HTTPRequest upload { "POST", "/upload/1", {}, std::string(bodyBytes, 'b') };
    EXPECT_EQ(mesh.wait(mesh.send(1, upload)).status(), 200);
    EXPECT_EQ(order("/order/2"), 200);
    EXPECT_TRUE(mesh.runUntil([&] { return !raw->remainingBodyBytes(); }));
    EXPECT_FALSE(raw->hasUnexpectedBytes()); // Bytes other than the body
}

struct CorruptResponse {
    const char* name;
    std::string bytes; // Preceded by the attempt's header lines if `sealed`
    bool sealed;
    bool closes;
};

std::ostream& operator<<(std::ostream& stream, const CorruptResponse& response)
{
    return stream << response.name;
}

class CorruptResponses : public EndpointResponses, public testing::WithParamInterface<CorruptResponse> { };

TEST_P(CorruptResponses, AreNeitherASuccessNorReportedAsNotExecuted)
{
    const auto& malformed = GetParam();
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        const auto head = "HTTP/1.1 200 OK\r\n" + attemptHeader + attempt + "\r\n" + sealHeader;
        socket.write((malformed.sealed ? head : std::string()) + malformed.bytes);
        if (malformed.closes)
            socket.close();
    });
    const auto status = order("/order/1");
    EXPECT_TRUE(status == 502 || status == 504) << status;
    EXPECT_EQ(raw->requestCount(), 2U);
}

INSTANTIATE_TEST_SUITE_P(SidecarPath, CorruptResponses,
    testing::Values(CorruptResponse { "NoBytes", "", false, true },
        CorruptResponse { "TruncatedStatusLine", "HTTP/1.", false, true },
        CorruptResponse { "TruncatedHeaders", "Content-Le", true, true },
        CorruptResponse { "TruncatedBody", "Content-Length: 10\r\n\r\nhalf", true, true },
        CorruptResponse { "TruncatedChunk", "Transfer-Encoding: chunked\r\n\r\nff\r\nhalf", true, true },
        CorruptResponse { "NoLastChunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, true },
        CorruptResponse { "NotHTTP", "hello\r\n\r\n", false, false },
        CorruptResponse { "ConflictingContentLengths", "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", true, false },
        CorruptResponse { "Encoded", "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab", true, false },
        CorruptResponse { "NoSeal", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, false },
        CorruptResponse { "NoResponse", "", false, false }),
    [](const auto& info) { return info.param.name; });

struct InterimResponses {
    const char* name;
    std::vector<std::string> pieces; // Written one after the other in front of the final response
    uint16_t status { 200 };
    bool closes { false }; // The final response ends with the connection
};

std::ostream& operator<<(std::ostream& stream, const InterimResponses& responses)
{
    return stream << responses.name;
}

std::string repeat(size_t count, const std::string& text)
{
    std::string result;
    for (size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

class Interim : public EndpointResponses, public testing::WithParamInterface<InterimResponses> { };

TEST_P(Interim, ResponsesDoNotReplaceTheFinalOne)
{
    const auto& param = GetParam();
    std::vector<std::unique_ptr<Timer>> timers;
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        const auto unframed = "HTTP/1.1 200 OK\r\n" + attemptHeader + attempt + "\r\n" + sealHeader + "\r\nwhole";
        for (size_t i = 0; i < param.pieces.size(); ++i) {
            const bool last = i + 1 == param.pieces.size();
            const auto final = param.closes ? unframed : RawEndpoint::responseTo(attempt, "whole");
            timers.push_back(std::make_unique<Timer>());
            timers.back()->startOnce(
                i * 10ms, [&, last, connection = RefPtr<StreamSocket>(&socket), text = param.pieces[i] + (last ? final : "")] {
                    connection->write(text);
                    if (last && param.closes)
                        connection->close();
                });
        }
    });
    for (int i = 0; i < 4; ++i) { // The later ones on a reused connection
        const auto& exchange = mesh.wait(mesh.send(1, { "POST", "/order/" + std::to_string(i), {}, "tiles" }));
        ASSERT_EQ(exchange.status(), param.status);
        EXPECT_TRUE(param.status != 200 || exchange.response->body == "whole");
    }
    EXPECT_TRUE(param.status == 200 || mesh.runUntil([&] { return !raw->openConnections(); }));
}

const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
const std::string processing = "HTTP/1.1 102 Processing\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(SidecarPath, Interim,
    testing::Values(InterimResponses { "InOneRead", { "HTTP/1.1 100 Continue\r\n\r\n" + processing + hints } },
        InterimResponses { "OneAfterTheOther", { processing, hints, processing + processing } },
        InterimResponses { "SplitOverReads", { "HTTP/1.", "1 103 Early", " Hints\r\nLink: <", "/>\r\n\r", "\n" } },
        InterimResponses { "OfAnEarlierRequest", { "HTTP/1.1 102 Processing\r\n" + attemptHeader + "earlier\r\n\r\n" } },
        InterimResponses { "WithALength", { "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" } },
        InterimResponses { "ThatAnnounceAClose", { "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n" } },
        InterimResponses { "BeforeABodyWithoutLength", { processing, hints }, 200, true },
        InterimResponses { "SwitchingProtocols", { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" }, 502 },
        InterimResponses { "OfNoKnownClass", { "HTTP/1.1 099 Early\r\n\r\n" }, 502 },
        InterimResponses { "TooMany", { repeat(70, processing) }, 502 },
        InterimResponses { "TooLong", { repeat(10, "HTTP/1.1 103 Hints\r\nX: " + std::string(10'000, 'x') + "\r\n\r\n") }, 502 }),
    [](const auto& info) { return info.param.name; });

TEST_F(EndpointResponses, AResponseWhoseStatusHasNoBodyIsCompleteWithALength)
{
    for (const uint16_t status : { 204, 304 }) {
        raw->setScript([status](StreamSocket& socket, const std::string& attempt) {
            auto response = RawEndpoint::responseTo(attempt, "12345").replace(9, 3, std::to_string(status));
            socket.write(response.erase(response.size() - 5));
        });
        EXPECT_EQ(order("/order/1"), status);
    }
}

TEST_F(EndpointResponses, AConnectionWithoutIdleTimeIsNotReused)
{
    raw->setScript([](StreamSocket& socket, const std::string& attempt) {
        auto response = RawEndpoint::responseTo(attempt, "whole");
        socket.write(response.insert(response.find("\r\n") + 2, "Keep-Alive: timeout=0\r\n"));
    });
    EXPECT_EQ(order("/order/1"), 200);
    const auto connections = raw->connectionCount();
    EXPECT_EQ(order("/order/2"), 200);
    EXPECT_EQ(raw->connectionCount(), connections + 1);
}

TEST_F(EndpointResponses, ABackendServerThatTakesNoMoreConnectionsStaysInUse)
{
    RefPtr<StreamSocket> running;
    std::string runningAttempt;
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        running = &socket;
        runningAttempt = attempt;
    });
    const auto held = mesh.send(1, { "POST", "/order/1", {}, {} });
    ASSERT_TRUE(mesh.runUntil([&] { return running.get() != nullptr; }));
    raw->refuseConnections();
    mesh.endpoint(0).setAnnouncing(false); // An announcement would end a crash's consequences
    EXPECT_NE(order("/order/2"), 200);
    mesh.runFor(500ms); // Of probes
    running->write(RawEndpoint::responseTo(runningAttempt, "whole"));
    EXPECT_EQ(mesh.wait(held).status(), 200);
    raw->setScript(
        [](StreamSocket& socket, const std::string& attempt) { socket.write(RawEndpoint::responseTo(attempt, "whole")); });
    EXPECT_EQ(order("/order/3"), 200); // On the open connection
}

// The first sending may have run, so "not run" would be untrue.
TEST_F(EndpointResponses, ARequestThatWasSentTwiceIsNotReportedAsNotRun)
{
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        if (raw->requestCount() % 2 == 0)
            socket.close();
        else
            socket.write("HTTP/1.1 503 Full\r\n" + attemptHeader + attempt + "\r\n" + std::string(platform::header::notExecuted)
                + ": 1\r\nContent-Length: 0\r\n\r\n");
    });
    ASSERT_EQ(raw->requestCount(), 1U); // Of SetUp(); the next one is sent on its connection
    const auto& exchange = mesh.wait(mesh.send(1, { "GET", "/read/1", {}, {} }));
    EXPECT_EQ(raw->requestCount(), 3U);
    EXPECT_EQ(exchange.status(), 502);
}

// The close with an unread body resets the connection while the daemon is still sending.
TEST_F(EndpointResponses, AnEarlyResponseIsDeliveredWhenTheRestOfTheBodyIsNotRead)
{
    raw->setScript([](StreamSocket& socket, const std::string& attempt) {
        socket.write(RawEndpoint::responseTo(attempt, "early"));
        socket.close();
    });
    const HTTPRequest upload { "POST", "/upload/1", {}, std::string(6 * 1024 * 1024, 'b') };
    EXPECT_EQ(mesh.wait(mesh.send(1, upload)).status(), 200);
}

struct EndlessResponse {
    const char* name;
    std::string prefix; // Preceded by the attempt's header lines if `sealed`
    std::string repeated;
    bool sealed;
    bool trickles { false }; // Slowly enough that no limit on its bytes ends it
};

std::ostream& operator<<(std::ostream& stream, const EndlessResponse& response)
{
    return stream << response.name;
}

class EndlessResponses : public EndpointResponses, public testing::WithParamInterface<EndlessResponse> { };

// The connection is closed, memory stays bounded, and the caller receives an error by its time limit that does not claim that the
// request was not executed.
TEST_P(EndlessResponses, CloseTheConnectionAndFailTheRequest)
{
    const auto& endless = GetParam();
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        const auto head = "HTTP/1.1 200 OK\r\n" + attemptHeader + attempt + "\r\n" + sealHeader;
        socket.write((endless.sealed ? head : std::string()) + endless.prefix);
        if (endless.trickles)
            raw->trickle(socket, endless.repeated);
        else
            raw->flood(socket, endless.repeated);
    });
    const auto before = residentMB();
    const auto sent = MonotonicClock::now();
    const auto status = order("/order/1");
    EXPECT_TRUE(status == 502 || status == 504) << status;
    EXPECT_LT(MonotonicClock::now() - sent, 1800ms); // The route's time limit is 1.5 s
    EXPECT_LT(residentMB(), before + maximumGrowthMB);
    EXPECT_TRUE(mesh.runUntil([&] { return !raw->openConnections(); }));
    // Later requests are served.
    raw->setScript(
        [](StreamSocket& socket, const std::string& attempt) { socket.write(RawEndpoint::responseTo(attempt, "whole")); });
    EXPECT_TRUE(mesh.runUntil([&] { return order("/order/2") == 200; }));
}

INSTANTIATE_TEST_SUITE_P(SidecarPath, EndlessResponses,
    testing::Values(EndlessResponse { "NotHTTP", "", "no answer at all ", false },
        EndlessResponse { "StatusLine", "HTTP/1.1 200 ", "very good ", false },
        EndlessResponse { "HeaderName", "X", "XXXXXXXXXXXXXXXX", true },
        EndlessResponse { "HeaderValue", "X: ", "more and more ", true },
        EndlessResponse { "Headers", "", "X-More: 1\r\n", true },
        EndlessResponse { "BodyWithoutLength", "\r\n", "more and more ", true },
        EndlessResponse { "BodyWithAHugeLength", "Content-Length: 99999999999\r\n\r\n", "more and more ", true },
        EndlessResponse { "Chunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", true },
        EndlessResponse { "SlowChunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", true, true },
        EndlessResponse { "ChunkExtension", "Transfer-Encoding: chunked\r\n\r\n4;x=", "more and more ", true },
        EndlessResponse { "Trailers", "Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n", "X-More: 1\r\n", true },
        EndlessResponse { "InterimResponses", "", "HTTP/1.1 102 Processing\r\n\r\n", false },
        EndlessResponse {
            "ResponsesToOthers", "", "HTTP/1.1 200 OK\r\n" + attemptHeader + "another\r\nContent-Length: 2\r\n\r\nab", false }),
    [](const auto& info) { return info.param.name; });

// Buffered bytes are bounded for one response and for all responses together.
TEST_F(EndpointResponses, EndlessBodiesOfManyRequestsStayWithinTheMemoryLimit)
{
    raw->setScript([&](StreamSocket& socket, const std::string& attempt) {
        socket.write("HTTP/1.1 200 OK\r\n" + attemptHeader + attempt + "\r\n" + sealHeader + "\r\n");
        raw->flood(socket, std::string(16 * 1024, 'x'));
    });
    // Through the daemon, requests beyond the stand-in's slots would be refused; the pool is used directly, with as many requests
    // as a large backend server has slots.
    HTTPPool pool;
    pool.setAddress(mesh.backendServerAddress(0));
    pool.setAcceptsCloseDelimited(true);
    constexpr size_t requests = 40;
    size_t failed = 0;
    size_t largest = 0;
    for (size_t i = 0; i < requests; ++i) {
        pool.send(i, { "GET", "/read/endless", { { "Host", "app" }, { std::string(platform::header::attemptID), "a" } }, {} },
            [&failed, &largest, &pool](const Result<HTTPResponse>& response) {
                failed += response ? 0 : 1;
                largest = std::max(largest, pool.bufferedBytes());
            });
    }
    EXPECT_TRUE(mesh.runUntil([&] {
        largest = std::max(largest, pool.bufferedBytes());
        return failed == requests;
    }));
    EXPECT_GT(largest, 0U);
    EXPECT_LT(largest, maximumBufferedBytes);
}

struct EndlessRequest {
    const char* name;
    std::string prefix;
    std::string repeated;
};

class EndlessRequests : public testing::TestWithParam<EndlessRequest> { };

// The same between caller and daemon.
TEST_P(EndlessRequests, AreRejectedAndTheirConnectionIsClosed)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    auto socket = StreamSocket::connect(mesh.callersAddress(0));
    std::string response;
    bool closed = false;
    socket->start({ [&response](std::span<const uint8_t> bytes) { response.append(bytes.begin(), bytes.end()); }, nullptr,
        [&closed](StreamEnd) { closed = true; } });
    socket->write(GetParam().prefix);
    const auto before = residentMB();
    const auto flood = startFlood(*socket, GetParam().repeated);
    EXPECT_TRUE(mesh.runUntil([&] { return closed; }));
    EXPECT_LT(residentMB(), before + maximumGrowthMB);
    EXPECT_EQ(mesh.executionCount("/order/endless"), 0U);
    EXPECT_EQ(mesh.fetch(0, "/read/1").status(), 200);
    // A reset may overtake the response.
    EXPECT_TRUE(response.empty() || response.starts_with("HTTP/1.1 4")) << response;
}

const std::string orderHead = "POST /order/endless HTTP/1.1\r\nHost: app\r\n" + attemptHeader + "endless\r\n";

INSTANTIATE_TEST_SUITE_P(SidecarPath, EndlessRequests,
    testing::Values(EndlessRequest { "NotHTTP", "", "no request at all " },
        EndlessRequest { "Target", "GET /", "xxxxxxxxxxxxxxxx" },
        EndlessRequest { "HeaderValue", orderHead + "X: ", "more and more " },
        EndlessRequest { "Headers", orderHead, "X-More: 1\r\n" },
        EndlessRequest {
            "Chunks", orderHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'x') + "\r\n" },
        EndlessRequest { "ChunkExtension", orderHead + "Transfer-Encoding: chunked\r\n\r\n4;x=", "more and more " },
        EndlessRequest { "Trailers", orderHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n" },
        EndlessRequest { "BodyLongerThanAllowed", orderHead + "Content-Length: 99999999999\r\n\r\n", "more and more " }),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace shallot
