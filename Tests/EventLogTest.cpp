// Collects the trace of one request from the logs of several instances; the end of a log.

#include "core/EventLog.h"
#include "core/EventLogReader.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace shallot {
namespace {

TEST(EventLogReader, ReturnsTheEventsOfARequestAndItsCallsOldestFirst)
{
    std::istringstream logs(
        "12.0 host {\"time\":12.5,\"instance\":\"a\",\"event\":\"request\",\"request\":\"ab\",\"outcome\":\"timed-out\"}\n"
        "{\"time\":12.1,\"instance\":\"b\",\"event\":\"run-failed\",\"request\":\"ab.cd\",\"queued\":7,\"arrived\":true,\"held_"
        "ms\":0.125}\n"
        "{\"time\":12.0,\"instance\":\"b\",\"event\":\"request\",\"request\":\"abc\"}\n"
        "{\"time\":12.0,\"instance\":\"b\",\"event\":\"start\"}\n"
        "not a line of ours ab\n"
        "{\"time\":12.0,\"instance\":\"b\",\"request\":\"ab\n");
    const auto trace = readRequestTrace(logs, "ab");
    ASSERT_EQ(trace.size(), 2U);
    EXPECT_EQ(trace[0].request, "ab.cd");
    EXPECT_EQ(trace[0].fields, "queued=7 arrived=true held_ms=0.125");
    EXPECT_EQ(trace[1].event, "request");
    EXPECT_NE(describeEvent(trace[1], trace[0].time).find("+0.400 s  a  request of ab  outcome=timed-out"), std::string::npos);
}

// Exits with 0 if the reader of a pipe that is full for a while gets every line.
[[noreturn]] void writeLastLinesToASlowReader()
{
    constexpr int lines = 400;
    std::array<int, 2> pipeEnds {};
    if (pipe(pipeEnds.data()))
        _exit(2);
    fcntl(pipeEnds[1], F_SETPIPE_SZ, 4096);
    dup2(pipeEnds[1], STDOUT_FILENO);
    close(pipeEnds[1]);
    std::string received;
    std::thread reader([&received, from = pipeEnds[0]] {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        std::array<char, 4096> chunk {};
        for (auto size = read(from, chunk.data(), chunk.size()); size > 0; size = read(from, chunk.data(), chunk.size()))
            received.append(chunk.data(), static_cast<size_t>(size));
    });
    EventLog::open("a");
    for (int i = 0; i < lines; ++i)
        EventLog::write("last", { { "line", i } });
    EventLog::flushAtEnd();
    close(STDOUT_FILENO);
    reader.join();
    _exit(std::count(received.begin(), received.end(), '\n') == lines ? 0 : 1);
}

TEST(EventLog, TheLastLinesOfAProcessReachAReaderThatIsBehind)
{
    EXPECT_EXIT(writeLastLinesToASlowReader(), testing::ExitedWithCode(0), "");
}

} // namespace
} // namespace shallot
