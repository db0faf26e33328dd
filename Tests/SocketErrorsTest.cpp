// Errors of system calls that do not mean that a connection has ended.

#include "TestPorts.h"
#include "net/StreamSocket.h"
#include "net/StrictHTTPServer.h"
#include "net/Timer.h"

#include <cerrno>
#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

// Which calls fail on the sockets of that local port.
struct FailingCalls {
    uint16_t port { 0 };
    int error { 0 };
    unsigned sends { 0 };
    unsigned receipts { 0 };
};

FailingCalls failing;

bool isFailing(int descriptor, unsigned& calls)
{
    sockaddr_in local {};
    socklen_t length = sizeof local;
    if (!calls || getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length) || ntohs(local.sin_port) != failing.port)
        return false;
    --calls;
    errno = failing.error;
    return true;
}

} // namespace

// These take the place of the system's functions in this program.
extern "C" ssize_t send(int descriptor, const void* bytes, size_t size, int flags)
{
    return isFailing(descriptor, failing.sends) ? -1 : sendto(descriptor, bytes, size, flags, nullptr, 0);
}

extern "C" ssize_t recv(int descriptor, void* bytes, size_t size, int flags)
{
    return isFailing(descriptor, failing.receipts) ? -1 : recvfrom(descriptor, bytes, size, flags, nullptr, nullptr);
}

namespace shallot {
namespace {

using namespace std::chrono_literals;

class SocketErrors : public testing::TestWithParam<int> {
protected:
    SocketErrors()
    {
        const auto started = server.start(address, {},
            { [](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                 connection->respond({ 200, {}, request.target }, false, MonotonicClock::now());
             },
                nullptr });
        EXPECT_TRUE(started.has_value());
        client = StreamSocket::connect(address);
        client->start({ [this](std::span<const uint8_t> bytes) { received.append(bytes.begin(), bytes.end()); }, nullptr,
            [this](StreamEnd) { isClosed = true; } });
    }

    ~SocketErrors() override
    {
        failing = {};
        client->close();
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = MonotonicClock::now() + 2s;
        while (!condition() && !isClosed && MonotonicClock::now() < end) {
            Timer wake;
            wake.startOnce(10ms, [] {});
            g_main_context_iteration(nullptr, TRUE);
        }
        return condition();
    }

    // One request on the kept connection. Returns whether it was answered.
    bool fetch(const std::string& target)
    {
        received.clear();
        client->write("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return runUntil([&] { return received.ends_with(target); });
    }

    SocketAddress address { "127.0.0.1", nextBasePort() };
    StrictHTTPServer server;
    RefPtr<StreamSocket> client;
    std::string received;
    bool isClosed { false };
};

TEST_P(SocketErrors, AShortageOfMemoryInTheKernelClosesNoConnection)
{
    ASSERT_TRUE(fetch("/first"));
    failing = { address.port, GetParam(), 2, 0 };
    EXPECT_TRUE(fetch("/sent-again"));
    EXPECT_EQ(failing.sends, 0U);
    failing = { address.port, GetParam(), 0, 2 };
    EXPECT_TRUE(fetch("/read-again"));
    EXPECT_TRUE(fetch("/last"));
    EXPECT_EQ(failing.receipts, 0U);
}

INSTANTIATE_TEST_SUITE_P(Kernel, SocketErrors, testing::Values(ENOBUFS, ENOMEM));

} // namespace
} // namespace shallot
