// Long response bodies, which are passed on while they arrive. Real sockets; the callers' daemon and the backend server's are
// different ones.

#include "RawEndpoint.h"
#include "SidecarHarness.h"
#include "mesh/BodyWindow.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shallot {
namespace {

constexpr size_t longBody = 3'900'000; // Close to what the stand-in for callers receives

std::string patternOf(size_t bytes)
{
    std::string text(bytes, 0);
    for (size_t i = 0; i < bytes; ++i)
        text[i] = static_cast<char>('a' + i * 7 % 23);
    return text;
}

class LongResponses : public testing::Test {
protected:
    LongResponses()
        : mesh({ "zone-a/alpha", "zone-b/beta" })
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.endpoint(0).setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            EndpointStandin::respond(*connection, request, 200, request.target == "/read/long" ? body : "short");
        });
    }

    SidecarHarness mesh;
    const std::string body { patternOf(longBody) };
};

TEST_F(LongResponses, ArriveWholeAtTheOwnDaemonAndThroughAnother)
{
    for (int round = 0; round < 3; ++round) {
        for (const size_t daemon : { 0, 1 }) {
            const auto& exchange = mesh.wait(mesh.send(daemon, { "GET", "/read/long", {}, {} }));
            ASSERT_EQ(exchange.status(), 200);
            EXPECT_TRUE(exchange.response->body == body);
        }
        EXPECT_EQ(mesh.fetch(1, "/read/short").status(), 200);
    }
}

TEST_F(LongResponses, ThatBreakOffAreNoSuccess)
{
    mesh.endpoint(0).stopServing();
    RawEndpoint raw(mesh.backendServerAddress(0), "instance-0", [this](StreamSocket& socket, const std::string& attempt) {
        auto response = RawEndpoint::responseTo(attempt, body);
        response.resize(response.size() / 2);
        socket.write(response);
        socket.finish();
    });
    for (const size_t daemon : { 1, 0 })
        EXPECT_NE(mesh.wait(mesh.send(daemon, { "GET", "/read/long", {}, {} })).status(), 200);
}

TEST_F(LongResponses, EndAtTheBackendServerWhenTheCallerLeaves)
{
    mesh.endpoint(0).stopServing();
    RawEndpoint raw(mesh.backendServerAddress(0), "instance-0", [](StreamSocket& socket, const std::string& attempt) {
        auto response = RawEndpoint::responseTo(attempt, std::string(longBody, 'x'));
        response.resize(response.size() / 2); // The rest never comes
        socket.write(response);
    });
    const auto exchange = mesh.send(1, { "GET", "/read/long", {}, {} });
    ASSERT_TRUE(mesh.runUntil([&raw] { return raw.requestCount() == 1; }));
    mesh.runFor(300ms);
    ASSERT_EQ(raw.openConnections(), 1U);
    mesh.disconnectCaller();
    EXPECT_TRUE(mesh.runUntil([&raw] { return !raw.openConnections(); }));
}

TEST_F(LongResponses, BreakOffWhenTheDaemonBesideTheBackendServerEnds)
{
    mesh.endpoint(0).stopServing();
    RawEndpoint raw(mesh.backendServerAddress(0), "instance-0", [](StreamSocket& socket, const std::string& attempt) {
        auto response = RawEndpoint::responseTo(attempt, std::string(longBody, 'x'));
        response.resize(response.size() / 2);
        socket.write(response);
    });
    const auto exchange = mesh.send(1, { "GET", "/read/long", {}, {} });
    ASSERT_TRUE(mesh.runUntil([&raw] { return raw.requestCount() == 1; }));
    mesh.runFor(300ms);
    mesh.stop(0);
    EXPECT_NE(mesh.wait(exchange).status(), 200);
}

// The oracle: sender and receiver of one body in steps of any order. What is on the way and not taken stays within the window, and
// once all arrived has been taken there is always a next step.
RC_GTEST_PROP(BodyWindow, StaysWithinTheCreditAndNeverStalls, ())
{
    constexpr size_t window = 100;
    const auto length = *rc::gen::inRange<uint64_t>(1, 2000);
    BodySendWindow sender { 0, window };
    BodyReceiveWindow receiver(0, window);
    std::deque<std::pair<uint64_t, size_t>> parts;
    std::deque<uint64_t> grants;
    uint64_t taken = 0;
    for (int step = 0; step < 20'000 && taken < length; ++step) {
        const auto size = std::min<size_t>({ sender.maySend(), *rc::gen::inRange<size_t>(1, 150), length - sender.sent });
        const auto held = receiver.received() - taken;
        const bool any = size || !parts.empty() || !grants.empty() || held;
        RC_ASSERT(any);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            if (size) {
                parts.emplace_back(sender.sent, size);
                sender.sent += size;
            }
            break;
        case 1:
            if (!parts.empty()) {
                RC_ASSERT(receiver.accept(parts.front().first, parts.front().second));
                parts.pop_front();
            }
            break;
        case 2:
            if (!grants.empty()) {
                sender.recordGrant(grants.front());
                if (*rc::gen::arbitrary<bool>()) // Repeated ones change nothing
                    grants.pop_front();
            }
            break;
        default:
            taken += held ? *rc::gen::inRange<uint64_t>(1, held + 1) : 0;
        }
        if (const auto total = receiver.nextGrant(receiver.received() - taken < window))
            grants.push_back(*total);
        RC_ASSERT(receiver.granted() - taken <= 2 * window);
    }
    RC_ASSERT(taken == length);
    RC_ASSERT(!receiver.accept(length + 1, 1));
}

} // namespace
} // namespace shallot
