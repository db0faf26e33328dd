// Callers outside the limits: many of them request long responses and read slowly, through a daemon that is not the one beside
// the backend server. Real processes with a small memory limit; what is checked does not depend on the machine's speed.

#include "SidecarProcesses.h"
#include "SidecarProgram.h"
#include "net/StreamSocket.h"

#include <glib-unix.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t memoryMB = 96;             // Of each instance
constexpr size_t crowd = 80;                // Callers with a long response each
constexpr size_t longBodyBytes = 3'900'000; // Within what a single caller may get
constexpr size_t keptCallers = 16;          // With a request behind a response that they do not read at once
constexpr size_t keptBodyStep = 490'000;    // Between the sizes of these responses; the kernel takes an unknown part of each
constexpr size_t keptBodySizes = 8;
constexpr size_t descriptorBound = 2 * crowd + 64;
constexpr auto readInterval = 250ms; // Between two reads of 64 KB at most: 250 KB/s

constexpr int receiveBufferBytes = 4096; // Of callers whose responses stay in the process

// A caller on one connection of its own, which reads a part of its responses at each turn.
class SlowCaller {
public:
    // `receiveBufferBytes`: 0 leaves the kernel's default, which takes much of a response.
    SlowCaller(const SocketAddress& address, std::string attempt, int receiveBufferBytes = 0)
        : m_attempt(std::move(attempt))
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBufferBytes)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target), 0);
        g_unix_set_fd_nonblocking(descriptor, TRUE, nullptr);
        m_socket = makeRef<StreamSocket>(descriptor);
        m_socket->start({ [this](std::span<const uint8_t> bytes) { onBytes(bytes); }, nullptr,
            [this](StreamEnd) { m_closed = true; }, nullptr, nullptr, false });
        m_socket->write(SidecarProcesses::requestText(m_attempt));
    }
    ~SlowCaller() { m_socket->close(); }
    SlowCaller(const SlowCaller&) = delete;
    SlowCaller& operator=(const SlowCaller&) = delete;

    void pipeline(const std::string& attempt) { m_socket->write(SidecarProcesses::requestText(attempt)); }
    void stopReading() { m_reads = false; }
    void readOn()
    {
        m_reads = m_readsAll = true;
        m_socket->setReadPaused(false);
    }
    // Reads a part of what has arrived.
    void readSome()
    {
        if (!m_reads || m_readsAll || !m_socket->isOpen())
            return;
        m_socket->setReadPaused(false);
        m_socket->readNow();
    }

    const std::string& attempt() const { return m_attempt; }
    bool hasBegun() const { return m_closed || !m_received.empty(); }
    bool isClosed() const { return m_closed; }
    // Whole responses that have arrived.
    size_t responses() const { return m_statuses.size() - (m_remainingBytes ? 1 : 0); }
    unsigned status(size_t response) const { return response < responses() ? m_statuses[response] : 0; }

private:
    void onBytes(std::span<const uint8_t> bytes)
    {
        m_received.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
        parse();
        if (!m_readsAll)
            m_socket->setReadPaused(true);
    }

    // Keeps one byte, so that hasBegun() stays true.
    void parse()
    {
        while (true) {
            const auto body = std::min(m_remainingBytes, m_received.size() - m_parsed);
            m_remainingBytes -= body;
            m_parsed += body;
            const auto end = m_received.find("\r\n\r\n", m_parsed);
            if (m_remainingBytes || end == std::string::npos)
                break;
            const auto head = m_received.substr(m_parsed, end - m_parsed);
            m_statuses.push_back(static_cast<unsigned>(std::atoi(head.c_str() + std::string_view("HTTP/1.1 ").size())));
            const std::string_view name = "Content-Length: ";
            m_remainingBytes = std::strtoul(head.c_str() + head.find(name) + name.size(), nullptr, 10);
            m_parsed = end + 4;
        }
        if (m_parsed > 1)
            m_received.erase(0, std::exchange(m_parsed, 1) - 1);
    }

    std::string m_attempt;
    RefPtr<StreamSocket> m_socket;
    std::string m_received;
    size_t m_parsed { 0 };         // Of m_received
    size_t m_remainingBytes { 0 }; // Of the body that is arriving
    std::vector<unsigned> m_statuses;
    bool m_reads { true };
    bool m_readsAll { false };
    bool m_closed { false };
};

class LongResponses : public testing::Test {
protected:
    void SetUp() override
    {
        processes.longBodyBytes = longBodyBytes;
        ASSERT_TRUE(SidecarProcesses::runUntil([this] { return processes.fetchShort(); }));
        reads.startRepeating(readInterval, [this] {
            for (const auto& caller : callers)
                caller->readSome();
        });
    }

    void addCrowd(Duration interval, int receiveBufferBytes = 0)
    {
        for (size_t i = 0; i < crowd && processes.areAlive(); ++i) {
            addCaller("long-" + std::to_string(i), receiveBufferBytes);
            if (interval > Duration::zero())
                SidecarProcesses::runFor(interval);
        }
    }

    SlowCaller& addCaller(const std::string& attempt, int receiveBufferBytes = 0)
    {
        callers.push_back(std::make_unique<SlowCaller>(processes.callersAddress(), attempt, receiveBufferBytes));
        return *callers.back();
    }

    void checkProcesses()
    {
        ASSERT_TRUE(processes.areAlive());
        EXPECT_TRUE(processes.fetchShort());
        EXPECT_LE(processes.peakMemoryMB(), memoryBoundMB(memoryMB));
        EXPECT_LE(processes.openDescriptors(), descriptorBound);
    }

    bool haveAllBegun() const
    {
        return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->hasBegun(); });
    }

    SidecarProcesses processes { memoryMB };
    std::vector<std::unique_ptr<SlowCaller>> callers;
    Timer reads;
};

TEST_F(LongResponses, OfManySlowCallersFitIntoTheMemoryOfBothDaemons)
{
    addCrowd(20ms);
    EXPECT_TRUE(SidecarProcesses::runUntil([this] { return haveAllBegun(); }));
    checkProcesses();
}

TEST_F(LongResponses, RequestedAtOnceAreNotReplacedByAFailureAfterTheirRun)
{
    addCrowd(Duration::zero());
    EXPECT_TRUE(SidecarProcesses::runUntil([this] { return haveAllBegun(); }));
    checkProcesses();
    for (const auto& caller : callers)
        caller->readOn();
    EXPECT_TRUE(SidecarProcesses::runUntil([this] {
        return std::all_of(
            callers.begin(), callers.end(), [](const auto& caller) { return caller->isClosed() || caller->responses(); });
    }));
    size_t whole = 0;
    size_t replaced = 0;
    for (const auto& caller : callers) {
        whole += caller->status(0) == 200 ? 1 : 0;
        replaced += caller->responses() && caller->status(0) != 200 && processes.hasRun(caller->attempt()) ? 1 : 0;
    }
    EXPECT_GT(whole, 0U);
    EXPECT_EQ(replaced, 0U);
}

// LOST: a request from a kept connection is passed on, and the connection is closed without an answer.
TEST_F(LongResponses, ThatAreNotReadEndNoConnectionWhoseNextRequestWasPassedOn)
{
    for (size_t i = 0; i < keptCallers; ++i) {
        processes.longBodyBytes = keptBodyStep * (i % keptBodySizes + 1);
        auto& caller = addCaller("long-kept-" + std::to_string(i), receiveBufferBytes);
        caller.stopReading();
        caller.pipeline("held-" + std::to_string(i));
        ASSERT_TRUE(SidecarProcesses::runUntil([this] { return haveAllBegun(); }));
    }
    processes.longBodyBytes = longBodyBytes;
    addCrowd(20ms, receiveBufferBytes);
    EXPECT_GT(processes.heldCount(), 0U);
    processes.answerHeld();
    for (size_t i = 0; i < keptCallers; ++i)
        callers[i]->readOn();
    EXPECT_TRUE(SidecarProcesses::runUntil([this] {
        return std::all_of(callers.begin(), callers.begin() + keptCallers,
            [](const auto& caller) { return caller->isClosed() || caller->responses() == 2; });
    }));
    size_t lost = 0;
    for (size_t i = 0; i < keptCallers; ++i)
        lost += callers[i]->status(1) != 200 && processes.hasRun("held-" + std::to_string(i)) ? 1 : 0;
    EXPECT_EQ(lost, 0U);
}

} // namespace
} // namespace shallot
