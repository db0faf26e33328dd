// The longest turn of the event loop while a backend server sends bytes that are costly to parse.

#include "TestPorts.h"
#include "net/HTTPPool.h"
#include "net/StreamSocket.h"
#include "net/Timer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <ctime>
#include <glib.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t requests = 60; // Concurrent
constexpr auto watchedFor = 2s;
constexpr auto longestTurn = 50ms; // Processor time, so that other processes do not count

Duration processorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

// Answers each connection by chunks of one byte without end, on a thread of its own.
class ChunkFlood {
public:
    explicit ChunkFlood(const SocketAddress& address)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        g_assert(!bind(m_listener, reinterpret_cast<const sockaddr*>(&native), sizeof native));
        g_assert(!listen(m_listener, requests));
        m_thread = std::thread([this] { run(); });
    }
    ~ChunkFlood()
    {
        m_ends = true;
        m_thread.join();
        close(m_listener);
    }

private:
    void run()
    {
        std::string chunks;
        while (chunks.size() < 60'000)
            chunks += "1\r\nx\r\n";
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        struct Connection {
            int descriptor { -1 };
            size_t sent { 0 }; // Modulo the length of the chunks, once the head is out
            bool headSent { false };
        };
        std::vector<Connection> connections;
        while (!m_ends) {
            for (int accepted = 0; (accepted = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
                connections.push_back({ accepted });
            bool wrote = false;
            for (auto& connection : connections) {
                const auto& text = connection.headSent ? chunks : head;
                const auto size
                    = send(connection.descriptor, text.data() + connection.sent, text.size() - connection.sent, MSG_NOSIGNAL);
                if (size <= 0)
                    continue;
                wrote = true;
                connection.sent += static_cast<size_t>(size);
                if (connection.sent == text.size()) {
                    connection.sent = 0;
                    connection.headSent = true;
                }
            }
            if (!wrote)
                std::this_thread::sleep_for(1ms);
        }
        for (const auto& connection : connections)
            close(connection.descriptor);
    }

    int m_listener { -1 };
    std::atomic<bool> m_ends { false };
    std::thread m_thread;
};

TEST(EventLoopTurn, StaysShortWhileManyResponsesAreEndlessSmallChunks)
{
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    ChunkFlood flood(address);
    HTTPPool pool;
    pool.setAddress(address);
    uint64_t nextID = 1;
    const std::function<void()> request = [&] {
        pool.send(nextID++, { "GET", "/", { { "Host", "app" } }, {} }, [&](const Result<HTTPResponse>&) { request(); });
    };
    for (size_t i = 0; i < requests; ++i)
        request();
    Duration longest {};
    const auto end = MonotonicClock::now() + watchedFor;
    while (MonotonicClock::now() < end) {
        const auto before = processorTime();
        g_main_context_iteration(nullptr, TRUE);
        longest = std::max(longest, processorTime() - before);
    }
    EXPECT_GT(pool.bufferedBytes(), 0U);
    EXPECT_LE(longest, longestTurn);
}

TEST(EventLoopTurn, ASmallMessageWaitsForFewSocketsOfLongTransfers)
{
    constexpr size_t transfers = 30;
    constexpr auto costOfEach = 1ms;
    const auto connect = [] {
        int ends[2]; // NOLINT: as socketpair() takes it
        g_assert(!socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends));
        return std::pair(makeRef<StreamSocket>(ends[0]), ends[1]);
    };
    const auto [small, smallSender] = connect();
    bool arrived = false;
    small->start({ [&](std::span<const uint8_t>) { arrived = true; }, nullptr, nullptr });
    size_t handled = 0;
    std::vector<std::pair<RefPtr<StreamSocket>, int>> bulk;
    for (size_t i = 0; i < transfers; ++i) {
        bulk.push_back(connect());
        bulk.back().first->setBulk(true);
        bulk.back().first->start({ [&, sender = smallSender](std::span<const uint8_t>) {
                                      if (!handled++)
                                          g_assert(send(sender, "x", 1, 0) == 1);
                                      const auto until = MonotonicClock::now() + costOfEach;
                                      while (MonotonicClock::now() < until) { }
                                  },
            nullptr, nullptr });
        g_assert(send(bulk.back().second, "x", 1, 0) == 1);
    }
    const auto end = MonotonicClock::now() + 2s;
    while (!arrived && MonotonicClock::now() < end)
        g_main_context_iteration(nullptr, FALSE);
    EXPECT_TRUE(arrived);
    EXPECT_LE(handled, 2U); // The one that was in progress, and one that was ready
    while (handled < transfers && MonotonicClock::now() < end)
        g_main_context_iteration(nullptr, FALSE);
    EXPECT_EQ(handled, transfers); // Each gets its turn
    close(smallSender);
    for (const auto& [socket, sender] : bulk)
        close(sender);
}

} // namespace
} // namespace shallot
