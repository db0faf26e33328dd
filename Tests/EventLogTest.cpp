// Collects the trace of one request from the logs of several instances.

#include "core/EventLogReader.h"

#include <gtest/gtest.h>
#include <sstream>

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

} // namespace
} // namespace shallot
