// The request path over real sockets: whole answers, true refusals, no keys behind ingress, drains and leaves.

#include "FleetHarness.h"

#include "core/JSON.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

TEST(Path, NoBackendServerSeesAKey)
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

TEST(Path, RunsOnlyForTheOrganisationOfTheKey)
{
    FleetHarness fleet({ "zone-a" });
    EXPECT_EQ(fleet.fetch(0, "/profiles", "nobody").error(), "key-unknown");
    EXPECT_EQ(fleet.wait(fleet.send(0, { "GET", "/profiles", {}, {} })).error(), "key-missing");
    EXPECT_EQ(fleet.wait(fleet.post(0, "/confirm", "k", "tiny-key")).error(), "route-forbidden");
    EXPECT_EQ(fleet.fetch(0, "/nowhere").error(), "route-unknown");
    EXPECT_EQ(fleet.wait(fleet.send(0, { "GET", "/about", {}, {} })).response->status, 200);
    EXPECT_EQ(fleet.countRequests("/confirm"), 0U);
}

TEST(Path, AWithdrawnKeyStopsOnAnOpenConnection)
{
    FleetHarness fleet({ "zone-a", "zone-b" });
    EXPECT_EQ(fleet.fetch(1, "/profiles").response->status, 200);
    EXPECT_EQ(fleet.wait(fleet.edit(0, fleet.withdrawKey())).response->status, 200);
    // The same keep-alive connection is used again.
    EXPECT_TRUE(fleet.runUntil([&] {
        fleet.runFor(20ms);
        return fleet.fetch(1, "/profiles").error() == "key-unknown";
    }));
    EXPECT_EQ(fleet.fetch(1, "/profiles", "other-key").response->status, 200);
}

struct BrokenAnswer {
    const char* name;
    const char* bytes; // What the backend server sends
    bool closes;       // and whether it then ends the connection
    const char* error;
};

std::ostream& operator<<(std::ostream& stream, const BrokenAnswer& answer)
{
    return stream << answer.name;
}

class BrokenAnswers : public testing::TestWithParam<BrokenAnswer> { };

TEST_P(BrokenAnswers, NeverReachACallerAsGoodOnes)
{
    FleetHarness fleet({ "zone-a" });
    const auto& broken = GetParam();
    fleet.backend(0).setScript([&broken](StreamSocket& socket, const std::string&) {
        socket.write(broken.bytes);
        if (broken.closes)
            socket.close();
    });
    const auto& answer = fleet.fetch(0, "/profiles/broken");
    EXPECT_EQ(answer.error(), broken.error);
    EXPECT_EQ(answer.ran(), "unknown");
    fleet.backend(0).setScript([](StreamSocket& socket, const std::string&) { answerOK(socket, "whole"); });
    EXPECT_EQ(fleet.fetch(0, "/profiles/after").response->body, "whole");
}

INSTANTIATE_TEST_SUITE_P(Path, BrokenAnswers,
    testing::Values(BrokenAnswer { "NoBytes", "", true, "backend-failed" },
        BrokenAnswer { "HalfAStatusLine", "HTTP/1.", true, "bad-answer" },
        BrokenAnswer { "HalfTheHeaders", "HTTP/1.1 200 OK\r\nContent-Le", true, "bad-answer" },
        BrokenAnswer { "HalfTheBody", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true, "bad-answer" },
        BrokenAnswer { "HalfAChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf", true, "bad-answer" },
        BrokenAnswer { "NoLength", "HTTP/1.1 200 OK\r\n\r\nuntil the end", true, "bad-answer" },
        BrokenAnswer { "NotHTTP", "hello\r\n\r\n", false, "bad-answer" },
        BrokenAnswer { "TwoLengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, "bad-answer" },
        BrokenAnswer { "NoAnswer", "", false, "timed-out" }),
    [](const auto& info) { return info.param.name; });

TEST(Path, ALateAnswerReachesNobody)
{
    FleetHarness fleet({ "zone-a" });
    std::vector<RefPtr<StreamSocket>> silent;
    fleet.backend(0).setScript([&silent](StreamSocket& socket, const std::string&) { silent.emplace_back(&socket); });
    EXPECT_EQ(fleet.fetch(0, "/profiles/late").error(), "timed-out");
    fleet.backend(0).setScript([](StreamSocket& socket, const std::string& request) { answerOK(socket, request.substr(0, 20)); });
    for (const auto& socket : silent)
        answerOK(*socket, "too late");
    EXPECT_EQ(fleet.fetch(0, "/profiles/next").response->body, "GET /profiles/next H");
}

TEST(Path, NotRunIsTrueWhenTheBackendServerIsGone)
{
    FleetHarness fleet({ "zone-a" });
    fleet.backend(0).die();
    // The first request may still meet the connection that was cut; it never says "not run" if its bytes could have left.
    const size_t before = fleet.backend(0).requests().size();
    for (int i = 0; i < 3; ++i) {
        const auto& answer = fleet.fetch(0, "/profiles");
        const bool mayHaveRun = fleet.backend(0).requests().size() != before;
        EXPECT_FALSE(mayHaveRun && answer.ran() == "no");
    }
    EXPECT_EQ(fleet.fetch(0, "/profiles").error(), "no-backend-server");
}

TEST(Path, AFailedIdempotentRequestIsRetriedElsewhereAndANonIdempotentOneIsNot)
{
    FleetHarness fleet({ "zone-a", "zone-a" });
    const auto dropFirst = [](StreamSocket& socket, const std::string&) { socket.close(); };
    fleet.backend(0).setScript(dropFirst);
    fleet.backend(1).setScript(dropFirst);
    const size_t before = fleet.countRequests("/confirm");
    EXPECT_EQ(fleet.wait(fleet.post(0, "/confirm", "drop-1")).error(), "fate-unknown");
    EXPECT_EQ(fleet.countRequests("/confirm") - before, 1U);
    fleet.backend(1).setScript([](StreamSocket& socket, const std::string&) { answerOK(socket, "second"); });
    bool served = false;
    for (int i = 0; i < 5 && !served; ++i)
        served = fleet.fetch(0, "/profiles/retry").response.value_or(HTTPResponse()).body == "second";
    EXPECT_TRUE(served);
}

TEST(Path, AttemptsOfOneRequestAreBoundedWhenAllFail)
{
    FleetHarness fleet({ "zone-a", "zone-a", "zone-a", "zone-a", "zone-a", "zone-a", "zone-a" });
    for (size_t i = 0; i < 7; ++i)
        fleet.backend(i).setScript([](StreamSocket& socket, const std::string&) { socket.close(); });
    EXPECT_EQ(fleet.fetch(0, "/profiles/all-fail").ran(), "unknown");
    EXPECT_LE(fleet.countRequests("/profiles/all-fail"), 1U + PolicySettings().retryTokens);
    EXPECT_GE(fleet.countRequests("/profiles/all-fail"), 2U);
}

TEST(Path, ADrainingBackendServerGetsNoNewWork)
{
    FleetHarness fleet({ "zone-a", "zone-a" });
    fleet.backend(0).setDraining(true);
    fleet.runFor(100ms);
    const size_t before = fleet.backend(0).requests().size();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(fleet.fetch(static_cast<size_t>(i) % 2, "/profiles").response->status, 200);
    EXPECT_EQ(fleet.backend(0).requests().size(), before);
}

TEST(Path, AGracefulLeaveCutsNoRequest)
{
    FleetHarness fleet({ "zone-a", "zone-a" });
    std::vector<RefPtr<StreamSocket>> open;
    for (size_t i = 0; i < 2; ++i)
        fleet.backend(i).setScript([&open](StreamSocket& socket, const std::string&) { open.emplace_back(&socket); });
    // More than the slots of one, so that some are queued.
    std::vector<std::shared_ptr<FleetHarness::Answer>> answers;
    answers.reserve(13);
    for (int i = 0; i < 12; ++i)
        answers.push_back(fleet.get(0, "/profiles/open"));
    ASSERT_TRUE(fleet.runUntil([&] { return open.size() >= 5; }));
    bool left = false;
    fleet.daemon(0).setLeaveCompletedHandler([&left] { left = true; });
    fleet.daemon(0).leave();
    fleet.runFor(100ms);
    EXPECT_FALSE(left);
    // A request that comes in while the daemon announces its leave is served as well.
    answers.push_back(fleet.get(0, "/profiles/late-comer"));
    fleet.backend(0).setScript([](StreamSocket& socket, const std::string&) { answerOK(socket, "done"); });
    fleet.backend(1).setScript([](StreamSocket& socket, const std::string&) { answerOK(socket, "done"); });
    for (const auto& socket : open)
        answerOK(*socket, "done");
    EXPECT_TRUE(fleet.runUntil([&left] { return left; }));
    // A refusal in time that says "not run" is an answer too; a cut connection or an unknown fate is not.
    size_t served = 0;
    for (const auto& answer : answers) {
        ASSERT_TRUE(answer->done && answer->response) << answer->error();
        const bool isServed = answer->response->body == "done";
        EXPECT_TRUE(isServed || answer->ran() == "no") << answer->error();
        served += isServed ? 1 : 0;
    }
    EXPECT_GE(served, open.size());
}

TEST(Path, AnOnwardCallNeedsTheTokenOfALiveRequest)
{
    FleetHarness fleet({ "zone-a" });
    HTTPPool egress;
    egress.setAddress({ "127.0.0.1", fleet.port(0, 1) });
    std::string token;
    std::string onward;
    RefPtr<StreamSocket> outer;
    fleet.backend(0).setScript([&](StreamSocket& socket, const std::string& request) {
        if (request.find("GET /profiles/inner") == 0) {
            answerOK(socket, "inner");
            return;
        }
        const auto at = request.find("X-Shallot-Token: ");
        token = request.substr(at + 17, 32);
        outer = &socket;
        egress.send(1, { "GET", "/profiles/inner", { { "Host", "d" }, { "X-Shallot-Token", token } }, {} },
            [&onward, &outer](const Result<HTTPResponse>& response) {
                onward = response ? response->body : response.error().detail;
                answerOK(*outer, "outer");
            });
    });
    EXPECT_EQ(fleet.fetch(0, "/profiles/outer").response->body, "outer");
    EXPECT_EQ(onward, "inner");
    // The token died with its request.
    std::string afterwards;
    egress.send(2, { "GET", "/profiles/inner", { { "Host", "d" }, { "X-Shallot-Token", token } }, {} },
        [&afterwards](const Result<HTTPResponse>& response) { afterwards = findHeader(response->headers, "X-Shallot-Error"); });
    EXPECT_TRUE(fleet.runUntil([&] { return !afterwards.empty(); }));
    EXPECT_EQ(afterwards, "key-missing");
}

TEST(Path, ACrashingRequestIsStoppedAndTheInnocentGoOn)
{
    FleetHarness fleet({ "zone-a" });
    auto& backend = fleet.backend(0);
    backend.setScript([&backend](StreamSocket& socket, const std::string& request) {
        if (request.find("/profiles/poison") != std::string::npos)
            backend.die();
        else
            answerOK(socket, "fine");
    });
    std::string last;
    for (int i = 0; i < 6; ++i) {
        last = fleet.fetch(0, "/profiles/poison").error();
        if (last == "crash-suspect")
            break;
        backend.restart();
        fleet.runUntil([&] {
            return fleet.fetch(0, "/profiles/innocent").response.value_or(HTTPResponse { 0, {}, {} }).status == 200;
        });
    }
    EXPECT_EQ(last, "crash-suspect");
    EXPECT_EQ(fleet.countRequests("/profiles/poison"), PolicySettings().crashThreshold);
    EXPECT_EQ(fleet.fetch(0, "/profiles/innocent").response->status, 200);
}

TEST(Path, OversizedAndMalformedRequestsDisturbNothing)
{
    FleetHarness fleet({ "zone-a" });
    HTTPRequest large { "POST", "/profiles", { { "Authorization", "Bearer secret-key" } }, std::string(2 * 1024 * 1024, 'x') };
    const auto& answer = fleet.wait(fleet.send(0, large));
    // The daemon may close before it has read all, so the answer can be lost on the way.
    EXPECT_TRUE(!answer.response || answer.error() == "too-large");
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
