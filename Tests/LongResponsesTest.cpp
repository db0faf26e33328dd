// Long response bodies, which are passed on while they arrive. Real sockets; the callers' daemon and the backend server's are
// different ones.

#include "RawEndpoint.h"
#include "SidecarHarness.h"
#include "mesh/BodyWindow.h"
#include "net/PeerLinks.h"
#include "platform/Names.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <deque>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
extern "C" size_t __sanitizer_get_current_allocated_bytes(); // NOLINT: of the runtime, whose headers are not always there
#endif

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

// Memory of this process. Under the sanitizers resident memory includes what was freed and is kept apart, up to 256 MB, and
// shadow memory; there it is what is allocated.
size_t memoryMB()
{
    constexpr size_t bytesPerMB = 1024 * 1024;
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes() / bytesPerMB;
#else
    std::ifstream statistics("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statistics >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE)) / bytesPerMB;
#endif
}

// A caller that reads its response as slowly as the test wants, and keeps none of it.
class SlowCaller {
public:
    SlowCaller(const SocketAddress& address, const std::string& target, size_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
        , m_socket(StreamSocket::connect(address))
    {
        m_socket->start({ [this](std::span<const uint8_t> bytes) {
                             onData({ bytes.begin(), bytes.end() });
                         },
            nullptr, [this](StreamEnd) { m_ended = true; } });
        m_socket->write("GET " + target + " HTTP/1.1\r\nHost: app\r\n" + std::string(platform::header::key) + ": key-1\r\n"
            + std::string(platform::header::attemptID) + ": " + target + "\r\n\r\n");
    }

    // 0: reads nothing.
    void setRate(size_t bytesPerSecond)
    {
        m_bytesPerSecond = bytesPerSecond;
        m_socket->setReadPaused(!bytesPerSecond);
    }
    const std::string& head() const { return m_head; }
    bool isServed() const { return m_head.starts_with("HTTP/1.1 200"); }
    // Of the body.
    size_t receivedBytes() const { return m_received; }
    bool hasUnexpectedBytes() const { return m_hasUnexpectedBytes; }
    bool hasEnded() const { return m_ended; }

private:
    void onData(std::string bytes)
    {
        const auto size = bytes.size();
        if (!m_headComplete) {
            m_head += bytes;
            const auto end = m_head.find("\r\n\r\n");
            if (end == std::string::npos)
                return;
            bytes = m_head.substr(end + 4);
            m_head.resize(end);
            m_headComplete = true;
        }
        m_hasUnexpectedBytes = m_hasUnexpectedBytes || bytes.find_first_not_of('x') != std::string::npos;
        m_received += bytes.size();
        m_socket->setReadPaused(true);
        if (m_bytesPerSecond)
            m_resume.startOnce(fromSeconds(static_cast<double>(size) / static_cast<double>(m_bytesPerSecond)),
                [this] { m_socket->setReadPaused(false); });
    }

    size_t m_bytesPerSecond;
    RefPtr<StreamSocket> m_socket;
    Timer m_resume;
    std::string m_head;
    size_t m_received { 0 };
    bool m_headComplete { false };
    bool m_hasUnexpectedBytes { false };
    bool m_ended { false };
};

constexpr size_t fast = 1'000'000'000; // Bytes per second

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

    // The backend server of the first daemon answers each request by a body of `x`s of that length.
    std::unique_ptr<RawEndpoint> serveBodies(size_t bytes)
    {
        mesh.endpoint(0).stopServing();
        auto raw = std::make_unique<RawEndpoint>(mesh.backendServerAddress(0), "instance-0", nullptr);
        raw->setScript([endpoint = raw.get(), bytes](StreamSocket& socket, const std::string& attempt) {
            if (attempt.starts_with("/read/"))
                endpoint->sendLongBody(socket, attempt, bytes);
            else
                socket.write(RawEndpoint::responseTo(attempt, "short"));
        });
        return raw;
    }
    std::unique_ptr<SlowCaller> call(size_t daemon, const std::string& name, size_t bytesPerSecond)
    {
        return std::make_unique<SlowCaller>(mesh.callersAddress(daemon), "/read/" + name, bytesPerSecond);
    }
    // Whether so many bytes of the body arrive. Each wait must bring some of them; how fast is not tested here, since tests also
    // run beside others and under sanitizers.
    bool readWhole(const SlowCaller& caller, size_t length)
    {
        for (size_t before = 0; caller.receivedBytes() < length; before = caller.receivedBytes()) {
            const auto waited = MonotonicClock::now() + 9s;
            mesh.runUntil([&] { return caller.receivedBytes() >= length || MonotonicClock::now() > waited; });
            if (caller.receivedBytes() <= before || !caller.isServed())
                return false;
        }
        return caller.receivedBytes() == length && !caller.hasUnexpectedBytes();
    }
    // So many requests at a time go to the first daemon's backend server.
    void announceSlots(size_t slots)
    {
        auto text = mesh.endpoint(0).announcementOf("alpha", 1000, 1'000'000);
        const std::string four = "\"slots\":4";
        text.replace(text.find(four), four.size(), "\"slots\":" + std::to_string(slots));
        mesh.endpoint(0).sendAnnouncement(text);
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

TEST_F(LongResponses, OfTheLargestAllowedLengthArriveWhole)
{
    constexpr size_t largest = 64 * 1024 * 1024;
    const auto raw = serveBodies(largest);
    for (const size_t daemon : { 0, 1 }) {
        const auto caller = call(daemon, std::to_string(daemon), fast);
        EXPECT_TRUE(readWhole(*caller, largest)) << caller->receivedBytes();
        EXPECT_TRUE(caller->isServed()) << caller->head();
        EXPECT_EQ(caller->receivedBytes(), largest);
        EXPECT_FALSE(caller->hasUnexpectedBytes());
    }
}

// A reader that stalls must not hold up the link to the other daemon, which carries the other calls.
TEST_F(LongResponses, ThatAreNotReadStallNoOtherCall)
{
    constexpr size_t length = 40 * 1024 * 1024; // More than the budget and the kernel's buffers
    const auto raw = serveBodies(length);
    const auto stalled = call(1, "stalled", 0);
    ASSERT_TRUE(mesh.runUntil([&raw] { return raw->requestCount() == 1; }));
    stalled->setRate(0);
    mesh.runFor(500ms);
    for (int i = 0; i < 20; ++i) {
        const auto sent = MonotonicClock::now();
        EXPECT_EQ(mesh.fetch(1, "/read/short").status(), 200);
        EXPECT_LT(MonotonicClock::now() - sent, 500ms);
    }
    const auto other = call(1, "other", fast);
    EXPECT_TRUE(readWhole(*other, length)) << other->receivedBytes();
    EXPECT_LT(stalled->receivedBytes(), length);
    stalled->setRate(fast);
    EXPECT_TRUE(readWhole(*stalled, length)) << stalled->receivedBytes();
    EXPECT_FALSE(stalled->hasUnexpectedBytes());
}

// Both daemons run in this process, so the bound for one process is strict.
TEST_F(LongResponses, OfManySlowReadersStayWithinTheMemoryLimit)
{
    constexpr size_t callers = 80;
    constexpr size_t length = 4 * 1024 * 1024;
    constexpr size_t slow = 250'000; // Bytes per second
    constexpr size_t processLimitMB = 260;
    mesh.timeLimit = 10; // The callers, the daemons and the backend server share one loop
    mesh.writeConfiguration(2);
    mesh.runFor(500ms);
    const auto raw = serveBodies(length);
    mesh.endpoint(0).setAnnouncing(false);
    announceSlots(callers + 20);
    mesh.runFor(100ms);
    const auto before = memoryMB();
    std::vector<std::unique_ptr<SlowCaller>> readers;
    for (size_t i = 0; i < callers; ++i)
        readers.push_back(call(1, std::to_string(i), slow));
    size_t largest = 0;
    const auto end = MonotonicClock::now() + 3s;
    mesh.runUntil([&] {
        largest = std::max(largest, memoryMB());
        return MonotonicClock::now() >= end;
    });
    RecordProperty("memoryMB", std::to_string(largest));
    EXPECT_LT(largest - before, processLimitMB);
    for (const auto& reader : readers)
        reader->setRate(fast);
    for (const auto& reader : readers) {
        ASSERT_TRUE(readWhole(*reader, length)) << reader->head();
        EXPECT_FALSE(reader->hasUnexpectedBytes());
    }
}

TEST_F(LongResponses, ThatTheBackendServerDoesNotContinueBreakOff)
{
    mesh.endpoint(0).stopServing();
    RawEndpoint raw(mesh.backendServerAddress(0), "instance-0", [](StreamSocket& socket, const std::string& attempt) {
        auto response = RawEndpoint::responseTo(attempt, std::string(longBody, 'x'));
        response.resize(response.size() / 2);
        socket.write(response);
    });
    mesh.settings.bodyStallTimeout = 1s;
    const auto sent = MonotonicClock::now();
    const auto caller = call(1, "stalls", fast);
    EXPECT_TRUE(mesh.runUntil([&] { return caller->hasEnded(); }));
    EXPECT_LT(MonotonicClock::now() - sent, 2 * mesh.settings.bodyStallTimeout + 500ms);
    EXPECT_LT(caller->receivedBytes(), longBody);
    EXPECT_FALSE(raw.openConnections());
    EXPECT_EQ(raw.requestCount(), 1U); // What has been passed on is not repeated
}

// The room that another body leaves in the budget is no sign that the backend server could have gone on.
TEST_F(LongResponses, WhoseReaderPausesDoNotCountAsStalled)
{
    constexpr size_t length = 60 * 1024 * 1024; // More than the budget and the kernel's buffers
    mesh.settings.bodyStallTimeout = 300ms;
    const auto raw = serveBodies(length);
    const auto pausing = call(0, "pausing", fast);
    auto leaving = call(0, "leaving", fast);
    ASSERT_TRUE(mesh.runUntil([&] { return pausing->receivedBytes() && leaving->receivedBytes(); }));
    pausing->setRate(0);
    leaving->setRate(0);
    mesh.runFor(2s);
    leaving.reset();
    mesh.runFor(4 * mesh.settings.bodyStallTimeout);
    pausing->setRate(fast);
    EXPECT_TRUE(readWhole(*pausing, length)) << pausing->receivedBytes();
}

TEST_F(LongResponses, BeingReadWhenADaemonStopsFinish)
{
    constexpr size_t length = 20 * 1024 * 1024;
    for (const size_t leaving : { 1, 0 }) {
        auto raw = serveBodies(length);
        ASSERT_TRUE(mesh.runUntil([this] { return mesh.fetch(1, "/read/short").status() == 200; }));
        const auto caller = call(1, "leaving-" + std::to_string(leaving), 8'000'000);
        ASSERT_TRUE(mesh.runUntil([&] { return caller->receivedBytes() > 0; }));
        bool left = false;
        mesh.daemon(leaving).setLeaveCompletedHandler([&left] { left = true; });
        mesh.setShutdownTime(leaving, 10s);
        mesh.daemon(leaving).leave(MonotonicClock::now());
        EXPECT_TRUE(mesh.runUntil([&] { return left; }));
        mesh.stop(leaving);
        // The rest is in the kernel, or at the other daemon.
        EXPECT_TRUE(mesh.runUntil([&] { return caller->receivedBytes() >= length || caller->hasEnded(); }));
        EXPECT_EQ(caller->receivedBytes(), length) << "daemon " << leaving;
        EXPECT_FALSE(caller->hasUnexpectedBytes());
        raw.reset();
        mesh.start(leaving);
        ASSERT_TRUE(mesh.runUntil([this] { return mesh.daemon(1).memberCount() == 2; }));
        ASSERT_TRUE(mesh.runUntil([this] { return mesh.daemon(0).memberCount() == 2; }));
    }
}

// It would take the first part for the whole.
TEST_F(LongResponses, GoWholeToADaemonThatDoesNotTakeParts)
{
    MeshOutcome outcome { fail(ErrorKind::TimedOut), {}, false };
    PeerLinks earlier({ "earlier", "zone-a", "a secret of the tests", 1 },
        { [&](PeerLink&, wire::FrameT& frame) {
             if (auto* answer = frame.body.AsAnswer()) {
                 EXPECT_FALSE(answer->more);
                 outcome = readMeshOutcome(*answer);
             }
         },
            [](PeerLink&) {} });
    const auto link = earlier.linkTo(mesh.peersAddress(0).toString());
    MeshCall call;
    call.service = "alpha";
    call.context.remaining = 8s;
    call.request = { "GET", "/read/long", { { "Host", "app" }, { std::string(platform::header::attemptID), "earlier-1" } }, {} };
    call.acceptsBodyParts = false;
    EXPECT_TRUE(link->send(makeMeshCallFrame(1, call)));
    EXPECT_TRUE(mesh.runUntil([&] { return outcome.response.has_value(); }));
    ASSERT_TRUE(outcome.response.has_value()) << outcome.response.error().detail;
    EXPECT_TRUE(outcome.response->body == body);
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
    const auto left = MonotonicClock::now();
    EXPECT_TRUE(mesh.runUntil([&raw] { return !raw.openConnections(); }));
    EXPECT_LT(MonotonicClock::now() - left, 500ms);
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

// The oracle: sender and receiver of one body in steps of any order. What is on the way and not taken stays within the window,
// and once all arrived has been taken there is always a next step. The steps come from a generator of their own, since those of
// RapidCheck draw from a range that grows with the case, so that small cases would not advance.
RC_GTEST_PROP(BodyWindow, StaysWithinTheCreditAndNeverStalls, ())
{
    constexpr size_t window = 100;
    std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
    const auto draw
        = [&random](uint64_t first, uint64_t last) { return std::uniform_int_distribution<uint64_t>(first, last)(random); };
    const auto length = draw(1, 2000);
    BodySendWindow sender { 0, window };
    BodyReceiveWindow receiver(0, window);
    std::deque<std::pair<uint64_t, size_t>> parts;
    std::deque<uint64_t> grants;
    uint64_t taken = 0;
    for (int step = 0; step < 20'000 && taken < length; ++step) {
        const auto size = std::min<size_t>({ sender.maySend(), draw(1, 149), length - sender.sent });
        const auto held = receiver.received() - taken;
        const bool any = size || !parts.empty() || !grants.empty() || held;
        RC_ASSERT(any);
        switch (draw(0, 3)) {
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
                if (draw(0, 1)) // Repeated ones change nothing
                    grants.pop_front();
            }
            break;
        default:
            taken += held ? draw(1, held) : 0;
        }
        auto tooMuch = receiver; // One byte beyond the grant is never taken
        RC_ASSERT(!tooMuch.accept(receiver.received(), receiver.granted() - receiver.received() + 1));
        if (draw(0, 1)) // A former grant that comes late changes nothing
            sender.recordGrant(draw(0, sender.granted));
        if (const auto total = receiver.nextGrant(receiver.received() - taken < window ? window : 0))
            grants.push_back(*total);
        RC_ASSERT(receiver.granted() - taken <= 2 * window);
    }
    RC_ASSERT(taken == length);
    RC_ASSERT(!receiver.accept(length + 1, 1));
}

} // namespace
} // namespace shallot
