// The request path over real sockets: malformed responses, whether refusals report execution truthfully, removal of API keys,
// drains and graceful leaves.

#include "FleetHarness.h"

#include "core/JSON.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

TEST(Path, BackendServersNeverSeeAKey)
{
    FleetHarness fleet({ "zone-a" });
    fleet.send(0,
        { "GET", "/profiles/1?x=1&key=secret-key&y=secret%2Dkey", { { "X-Note", "my key is secret-key" }, { "X-Fine", "kept" } },
            {} });
    fleet.send(0, { "GET", "/profiles/2", { { "X-Api-Key", "secret-key" }, { "Cookie", "k=secret-key" } }, {} });
    fleet.get(0, "/profiles/3");
    fleet.wait(fleet.get(0, "/profiles/4"));
    const auto& inPath = fleet.fetch(0, "/profiles/secret-key");
    EXPECT_EQ(inPath.error(), "bad-request");
    const auto& inBody
        = fleet.wait(fleet.send(0, { "POST", "/profiles", { { "Authorization", "bearer secret-key" } }, "it is secret-key" }));
    EXPECT_EQ(inBody.error(), "bad-request");
    EXPECT_EQ(inBody.response->body.find("secret-key"), std::string::npos);
    EXPECT_EQ(fleet.countRequests("secret-key"), 0U);
    EXPECT_EQ(fleet.countRequests("secret%2Dkey"), 0U);
    EXPECT_EQ(fleet.countRequests("X-Fine: kept"), 1U);
    EXPECT_EQ(fleet.countRequests("GET /profiles/1?x=1 "), 1U);
}

TEST(Path, RequestsRunOnlyForTheOrganisationOfTheKey)
{
    FleetHarness fleet({ "zone-a" });
    EXPECT_EQ(fleet.fetch(0, "/profiles", "nobody").error(), "key-unknown");
    EXPECT_EQ(fleet.wait(fleet.send(0, { "GET", "/profiles", {}, {} })).error(), "key-missing");
    EXPECT_EQ(fleet.wait(fleet.post(0, "/confirm", "k", "tiny-key")).error(), "route-forbidden");
    EXPECT_EQ(fleet.fetch(0, "/nowhere").error(), "route-unknown");
    EXPECT_EQ(fleet.wait(fleet.send(0, { "GET", "/about", {}, {} })).response->status, 200);
    EXPECT_EQ(fleet.countRequests("/confirm"), 0U);
}

TEST(Path, WithdrawnKeyIsRefusedOnAnOpenConnection)
{
    FleetHarness fleet({ "zone-a", "zone-b" });
    EXPECT_EQ(fleet.fetch(1, "/profiles").response->status, 200);
    EXPECT_EQ(fleet.wait(fleet.edit(0, fleet.keyWithdrawalEdit())).response->status, 200);
    // The same keep-alive connection is used again.
    EXPECT_TRUE(fleet.runUntil([&] {
        fleet.runFor(20ms);
        return fleet.fetch(1, "/profiles").error() == "key-unknown";
    }));
    EXPECT_EQ(fleet.fetch(1, "/profiles", "other-key").response->status, 200);
}

struct MalformedResponse {
    const char* name;
    const char* bytes; // What the backend server sends
    bool closes;       // and whether it then closes the connection
    const char* error;
};

std::ostream& operator<<(std::ostream& stream, const MalformedResponse& response)
{
    return stream << response.name;
}

class MalformedResponses : public testing::TestWithParam<MalformedResponse> { };

TEST_P(MalformedResponses, NeverReachTheCallerAsSuccess)
{
    FleetHarness fleet({ "zone-a" });
    const auto& malformed = GetParam();
    fleet.backend(0).setScript([&malformed](StreamSocket& socket, const std::string&) {
        socket.write(malformed.bytes);
        if (malformed.closes)
            socket.close();
    });
    const auto& exchange = fleet.fetch(0, "/profiles/broken");
    EXPECT_EQ(exchange.error(), malformed.error);
    EXPECT_EQ(exchange.ran(), "unknown");
    fleet.backend(0).setScript([](StreamSocket& socket, const std::string&) { respondOK(socket, "whole"); });
    EXPECT_EQ(fleet.fetch(0, "/profiles/after").response->body, "whole");
}

INSTANTIATE_TEST_SUITE_P(Path, MalformedResponses,
    testing::Values(MalformedResponse { "NoBytes", "", true, "backend-failed" },
        MalformedResponse { "TruncatedStatusLine", "HTTP/1.", true, "bad-answer" },
        MalformedResponse { "TruncatedHeaders", "HTTP/1.1 200 OK\r\nContent-Le", true, "bad-answer" },
        MalformedResponse { "TruncatedBody", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true, "bad-answer" },
        MalformedResponse {
            "TruncatedChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf", true, "bad-answer" },
        MalformedResponse { "NoContentLength", "HTTP/1.1 200 OK\r\n\r\nuntil the end", true, "bad-answer" },
        MalformedResponse { "NotHTTP", "hello\r\n\r\n", false, "bad-answer" },
        MalformedResponse { "ConflictingContentLengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            false, "bad-answer" },
        MalformedResponse { "NoResponse", "", false, "timed-out" }),
    [](const auto& info) { return info.param.name; });

TEST(Path, LateResponseIsDropped)
{
    FleetHarness fleet({ "zone-a" });
    std::vector<RefPtr<StreamSocket>> unansweredSockets;
    fleet.backend(0).setScript(
        [&unansweredSockets](StreamSocket& socket, const std::string&) { unansweredSockets.emplace_back(&socket); });
    EXPECT_EQ(fleet.fetch(0, "/profiles/late").error(), "timed-out");
    fleet.backend(0).setScript(
        [](StreamSocket& socket, const std::string& request) { respondOK(socket, request.substr(0, 20)); });
    for (const auto& socket : unansweredSockets)
        respondOK(*socket, "too late");
    EXPECT_EQ(fleet.fetch(0, "/profiles/next").response->body, "GET /profiles/next H");
}

TEST(Path, NotExecutedIsReportedOnlyWhenNoByteWasSent)
{
    FleetHarness fleet({ "zone-a" });
    fleet.backend(0).crash();
    // The first request may still use the closed connection; it must not be reported as not executed if bytes may have been sent.
    const size_t before = fleet.backend(0).requests().size();
    for (int i = 0; i < 3; ++i) {
        const auto& exchange = fleet.fetch(0, "/profiles");
        const bool mayHaveRun = fleet.backend(0).requests().size() != before;
        EXPECT_FALSE(mayHaveRun && exchange.ran() == "no");
    }
    EXPECT_EQ(fleet.fetch(0, "/profiles").error(), "no-backend-server");
}

TEST(Path, OnlyIdempotentRequestsAreRetriedOnAnotherEndpoint)
{
    FleetHarness fleet({ "zone-a", "zone-a" });
    const auto closeConnection = [](StreamSocket& socket, const std::string&) { socket.close(); };
    fleet.backend(0).setScript(closeConnection);
    fleet.backend(1).setScript(closeConnection);
    const size_t before = fleet.countRequests("/confirm");
    EXPECT_EQ(fleet.wait(fleet.post(0, "/confirm", "drop-1")).error(), "fate-unknown");
    EXPECT_EQ(fleet.countRequests("/confirm") - before, 1U);
    fleet.backend(1).setScript([](StreamSocket& socket, const std::string&) { respondOK(socket, "second"); });
    bool served = false;
    for (int i = 0; i < 5 && !served; ++i)
        served = fleet.fetch(0, "/profiles/retry").response.value_or(HTTPResponse()).body == "second";
    EXPECT_TRUE(served);
}

TEST(Path, AttemptsAreBoundedWhenAllEndpointsFail)
{
    FleetHarness fleet({ "zone-a", "zone-a", "zone-a", "zone-a", "zone-a", "zone-a", "zone-a" });
    for (size_t i = 0; i < 7; ++i)
        fleet.backend(i).setScript([](StreamSocket& socket, const std::string&) { socket.close(); });
    EXPECT_EQ(fleet.fetch(0, "/profiles/all-fail").ran(), "unknown");
    EXPECT_LE(fleet.countRequests("/profiles/all-fail"), 1U + PolicySettings().retryTokens);
    EXPECT_GE(fleet.countRequests("/profiles/all-fail"), 2U);
}

TEST(Path, DrainingBackendServerGetsNoNewRequests)
{
    FleetHarness fleet({ "zone-a", "zone-a" });
    fleet.backend(0).setDraining(true);
    fleet.runFor(100ms);
    const size_t before = fleet.backend(0).requests().size();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(fleet.fetch(static_cast<size_t>(i) % 2, "/profiles").response->status, 200);
    EXPECT_EQ(fleet.backend(0).requests().size(), before);
}

TEST(Path, GracefulLeaveLosesNoRequest)
{
    FleetHarness fleet({ "zone-a", "zone-a" });
    std::vector<RefPtr<StreamSocket>> openSockets;
    for (size_t i = 0; i < 2; ++i)
        fleet.backend(i).setScript(
            [&openSockets](StreamSocket& socket, const std::string&) { openSockets.emplace_back(&socket); });
    // More than the slots of one backend server, so that some are queued.
    std::vector<std::shared_ptr<FleetHarness::Exchange>> exchanges;
    exchanges.reserve(13);
    for (int i = 0; i < 12; ++i)
        exchanges.push_back(fleet.get(0, "/profiles/open"));
    ASSERT_TRUE(fleet.runUntil([&] { return openSockets.size() >= 5; }));
    bool left = false;
    fleet.daemon(0).setLeaveCompletedHandler([&left] { left = true; });
    fleet.daemon(0).leave();
    fleet.runFor(100ms);
    EXPECT_FALSE(left);
    // A request that arrives while the daemon announces its leave is served as well.
    exchanges.push_back(fleet.get(0, "/profiles/late-comer"));
    fleet.backend(0).setScript([](StreamSocket& socket, const std::string&) { respondOK(socket, "done"); });
    fleet.backend(1).setScript([](StreamSocket& socket, const std::string&) { respondOK(socket, "done"); });
    for (const auto& socket : openSockets)
        respondOK(*socket, "done");
    EXPECT_TRUE(fleet.runUntil([&left] { return left; }));
    // A refusal that reports "not executed" is allowed; a closed connection or an unknown outcome is not.
    size_t served = 0;
    for (const auto& exchange : exchanges) {
        ASSERT_TRUE(exchange->done && exchange->response) << exchange->error();
        const bool isServed = exchange->response->body == "done";
        EXPECT_TRUE(isServed || exchange->ran() == "no") << exchange->error();
        served += isServed ? 1 : 0;
    }
    EXPECT_GE(served, openSockets.size());
}

TEST(Path, NestedCallRequiresTheTokenOfARunningRequest)
{
    FleetHarness fleet({ "zone-a" });
    HTTPPool egress;
    egress.setAddress({ "127.0.0.1", fleet.port(0, 1) });
    std::string token;
    std::string nestedResponse;
    RefPtr<StreamSocket> parentSocket;
    fleet.backend(0).setScript([&](StreamSocket& socket, const std::string& request) {
        if (request.find("GET /profiles/inner") == 0) {
            respondOK(socket, "inner");
            return;
        }
        const auto at = request.find("X-Shallot-Token: ");
        token = request.substr(at + 17, 32);
        parentSocket = &socket;
        egress.send(1, { "GET", "/profiles/inner", { { "Host", "d" }, { "X-Shallot-Token", token } }, {} },
            [&nestedResponse, &parentSocket](const Result<HTTPResponse>& response) {
                nestedResponse = response ? response->body : response.error().detail;
                respondOK(*parentSocket, "outer");
            });
    });
    EXPECT_EQ(fleet.fetch(0, "/profiles/outer").response->body, "outer");
    EXPECT_EQ(nestedResponse, "inner");
    // The token became invalid when its request ended.
    std::string errorAfterwards;
    egress.send(2, { "GET", "/profiles/inner", { { "Host", "d" }, { "X-Shallot-Token", token } }, {} },
        [&errorAfterwards](
            const Result<HTTPResponse>& response) { errorAfterwards = findHeader(response->headers, "X-Shallot-Error"); });
    EXPECT_TRUE(fleet.runUntil([&] { return !errorAfterwards.empty(); }));
    EXPECT_EQ(errorAfterwards, "key-missing");
}

TEST(Path, CrashingRequestIsRefusedAndOthersAreServed)
{
    FleetHarness fleet({ "zone-a" });
    auto& backend = fleet.backend(0);
    backend.setScript([&backend](StreamSocket& socket, const std::string& request) {
        if (request.find("/profiles/poison") != std::string::npos)
            backend.crash();
        else
            respondOK(socket, "fine");
    });
    std::string lastError;
    for (int i = 0; i < 6; ++i) {
        lastError = fleet.fetch(0, "/profiles/poison").error();
        if (lastError == "crash-suspect")
            break;
        backend.restart();
        fleet.runUntil([&] {
            return fleet.fetch(0, "/profiles/innocent").response.value_or(HTTPResponse { 0, {}, {} }).status == 200;
        });
    }
    EXPECT_EQ(lastError, "crash-suspect");
    EXPECT_EQ(fleet.countRequests("/profiles/poison"), PolicySettings().crashThreshold);
    EXPECT_EQ(fleet.fetch(0, "/profiles/innocent").response->status, 200);
}

TEST(Path, OversizedAndMalformedRequestsDoNotAffectOthers)
{
    FleetHarness fleet({ "zone-a" });
    HTTPRequest large { "POST", "/profiles", { { "Authorization", "Bearer secret-key" } }, std::string(2 * 1024 * 1024, 'x') };
    const auto& exchange = fleet.wait(fleet.send(0, large));
    // The daemon may close before it has read the whole request, so its response can be lost.
    EXPECT_TRUE(!exchange.response || exchange.error() == "too-large");
    for (const char* text :
        { "NONSENSE\r\n\r\n", "GET /profiles HTTP/9.9\r\n\r\n", "GET http://[bad HTTP/1.1\r\n\r\n", "\x01\x02\x03\r\n\r\n" }) {
        auto socket = StreamSocket::connect({ "127.0.0.1", fleet.port(0, 0) });
        socket->start({ [](std::span<const uint8_t>) {}, nullptr, nullptr });
        socket->write(text);
        fleet.runFor(20ms);
    }
    EXPECT_EQ(fleet.fetch(0, "/profiles").response->status, 200);
}

} // namespace
} // namespace shallot
