// Slow start over real sockets: all daemons send to a backend server that comes back cold, and it would crash again.

#include "SidecarHarness.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace shallot {
namespace {

constexpr double coldPerSecond = 7.5;
constexpr size_t allowedPerSecond = 19; // 7.5 x 1.5 + 8, as the platform counts
constexpr auto coldTime = 3s;
constexpr size_t requestsPerTurn = 8; // Of each daemon, every 20 ms: many times what a cold backend server takes

class SlowStart : public testing::Test {
protected:
    SlowStart()
        : mesh({ "zone-a/alpha", "zone-a/alpha", "zone-a/beta" })
    {
    }

    void SetUp() override
    {
        mesh.coldPerSecond = coldPerSecond;
        mesh.writeConfiguration(2);
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.runFor(300ms);
        mesh.endpoint(0).setScript([this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
            arrivals.push_back(MonotonicClock::now());
            EndpointStandin::respond(*connection, request);
        });
    }

    void sendFor(Duration duration)
    {
        Timer load;
        load.startRepeating(20ms, [this] {
            for (size_t i = 0; i < requestsPerTurn; ++i)
                mesh.send(i % 3, { "GET", "/read/1", {}, {} });
        });
        mesh.runFor(duration);
    }

    size_t mostInASecond(TimePoint from, TimePoint until) const
    {
        size_t most = 0;
        for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from); first != arrivals.end() && *first < until;
             ++first) {
            const auto end = std::lower_bound(first, arrivals.end(), std::min(*first + 1s, until));
            most = std::max(most, static_cast<size_t>(end - first));
        }
        return most;
    }

    SidecarHarness mesh;
    std::vector<TimePoint> arrivals; // At the backend server that becomes cold
};

TEST_F(SlowStart, ABackendServerThatCrashedAndComesBackColdGetsItsRate)
{
    sendFor(300ms);
    ASSERT_GT(arrivals.size(), allowedPerSecond) << "while it is warm";
    mesh.endpoint(0).crash(200ms);
    mesh.runFor(150ms);
    const auto start = MonotonicClock::now();
    mesh.endpoint(0).setCold(coldTime);
    sendFor(coldTime + 3s);
    EXPECT_LE(mostInASecond(start, start + coldTime), allowedPerSecond);
    EXPECT_GT(mostInASecond(start + coldTime, MonotonicClock::now()), allowedPerSecond) << "it is used again once it is warm";
}

// It keeps its name and its connections, and only its health endpoint and its next announcement tell.
TEST_F(SlowStart, ADaemonThatRestartsBesideAColdBackendServerAsksItFirst)
{
    mesh.endpoint(0).setCold(coldTime);
    mesh.stop(0);
    arrivals.clear();
    const auto start = MonotonicClock::now();
    mesh.start(0);
    sendFor(coldTime);
    EXPECT_LE(mostInASecond(start, start + coldTime), allowedPerSecond);
}

} // namespace
} // namespace shallot
