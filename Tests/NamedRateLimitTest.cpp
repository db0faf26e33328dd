// Backend servers that name a rate limit in their responses.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace shallot {
namespace {

constexpr double namedLimit = 10;      // Requests per second
constexpr auto requestInterval = 10ms; // Ten times the limit
constexpr auto settlingTime = 3s;      // After the limit was first named
constexpr auto window = 4s;
constexpr size_t allowedInWindow = 65;   // One and a half times the limit, and five requests
constexpr auto runTime = 20ms;           // Where backend servers must look alike; the shortest runs differ by chance
constexpr auto timeToRecover = 3s;       // After a limit has ended
constexpr size_t countedRequests = 200;  // After that time; two seconds, unless this process gets too little time to send them
constexpr size_t shareWithoutLimit = 40; // Of these; a third are 66

// Requests at a constant rate through all daemons in turn, and when each backend server received them.
class LimitedMesh {
public:
    LimitedMesh(const std::vector<std::string>& locations, std::vector<size_t> limited)
        : m_daemons(locations.size())
        , m_mesh(locations)
        , m_limited(std::move(limited))
        , m_arrivals(m_daemons)
    {
        for (size_t i = 0; i < m_daemons; ++i) {
            m_mesh.endpoint(i).setScript([this, i](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
                m_arrivals[i].push_back(MonotonicClock::now());
                const bool namesLimit = m_naming && std::find(m_limited.begin(), m_limited.end(), i) != m_limited.end();
                m_runs.push_back(std::make_unique<Timer>());
                m_runs.back()->startOnce(
                    m_runTime, [this, connection, request, namesLimit] { respond(*connection, request, namesLimit); });
            });
        }
    }

    SidecarHarness& mesh() { return m_mesh; }
    void setNaming(bool naming) { m_naming = naming; }
    void setLimit(double limit) { m_limit = limit; }
    void setRunTime(Duration time) { m_runTime = time; }
    size_t arrivalCount(size_t endpoint) const { return m_arrivals[endpoint].size(); }
    const std::vector<std::shared_ptr<SidecarHarness::Exchange>>& exchanges() const { return m_exchanges; }

    void sendFor(Duration duration)
    {
        Timer load;
        startLoad(load);
        m_mesh.runFor(duration);
    }

    void sendCount(size_t count)
    {
        const auto last = m_sent + count;
        Timer load;
        startLoad(load);
        EXPECT_TRUE(m_mesh.runUntil([this, last] { return m_sent >= last; }));
    }

    void sendThrough(size_t daemon, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            m_exchanges.push_back(m_mesh.send(daemon, { "GET", "/read/limited", {}, {} }));
    }

    // The most that the backend server received in any window from that time on.
    size_t mostInWindow(size_t endpoint, TimePoint from) const
    {
        const auto& arrivals = m_arrivals[endpoint];
        size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first < from)
                continue;
            const auto last = std::upper_bound(first, arrivals.end(), *first + window);
            most = std::max(most, static_cast<size_t>(last - first));
        }
        return most;
    }

private:
    void startLoad(Timer& load)
    {
        load.startRepeating(requestInterval, [this] {
            m_exchanges.push_back(m_mesh.send(m_sent++ % m_daemons, { "GET", "/read/limited", {}, {} }));
        });
    }

    void respond(StrictHTTPConnection& connection, const HTTPRequest& request, bool namesLimit) const
    {
        HTTPHeaders headers { { std::string(platform::header::attemptID),
                                  std::string(findHeader(request.headers, platform::header::attemptID)) },
            { std::string(platform::header::seal), "seal" } };
        if (namesLimit)
            headers.emplace_back("Server-Limit", std::to_string(m_limit));
        connection.respond({ 200, headers, "done" }, false, MonotonicClock::now());
    }

    size_t m_daemons;
    SidecarHarness m_mesh;
    std::vector<size_t> m_limited;
    std::vector<std::vector<TimePoint>> m_arrivals; // By backend server
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> m_exchanges;
    size_t m_sent { 0 };
    std::vector<std::unique_ptr<Timer>> m_runs;
    Duration m_runTime { 0 };
    double m_limit { namedLimit };
    bool m_naming { true };
};

TEST(NamedRateLimit, ABackendServerGetsNoMoreThanItNamedAndTheOthersServeTheRest)
{
    LimitedMesh load({ "zone-a/alpha", "zone-a/alpha", "zone-b/alpha" }, { 0, 1 });
    ASSERT_TRUE(load.mesh().waitUntilServing());
    const auto settled = MonotonicClock::now() + settlingTime;
    load.sendFor(settlingTime + window + 1s);
    load.mesh().runFor(1s);
    EXPECT_LE(load.mostInWindow(0, settled), allowedInWindow);
    EXPECT_LE(load.mostInWindow(1, settled), allowedInWindow);
    for (const auto& exchange : load.exchanges())
        ASSERT_EQ(exchange->status(), 200) << exchange->response->body;
}

TEST(NamedRateLimit, RequestsBeyondTheLimitsOfAllAreRefusedAsNotExecuted)
{
    LimitedMesh load({ "zone-a/alpha", "zone-b/alpha" }, { 0, 1 });
    ASSERT_TRUE(load.mesh().waitUntilServing());
    const auto settled = MonotonicClock::now() + settlingTime;
    load.sendFor(settlingTime + window + 1s);
    load.mesh().runFor(2s);
    const auto served = static_cast<size_t>(std::count_if(
        load.exchanges().begin(), load.exchanges().end(), [](const auto& exchange) { return exchange->status() == 200; }));
    const auto refused = static_cast<size_t>(std::count_if(
        load.exchanges().begin(), load.exchanges().end(), [](const auto& exchange) { return exchange->status() == 503; }));
    EXPECT_EQ(served + refused, load.exchanges().size());
    for (size_t i = 0; i < 2; ++i) {
        EXPECT_LE(load.mostInWindow(i, settled), allowedInWindow);
        // What they offer is used.
        EXPECT_GE(load.mostInWindow(i, settled), static_cast<size_t>(0.8 * namedLimit * toSeconds(window)));
    }
}

TEST(NamedRateLimit, ALimitEndsWithTheFirstResponseThatNamesNone)
{
    LimitedMesh load({ "zone-a/alpha" }, { 0 });
    ASSERT_TRUE(load.mesh().waitUntilServing());
    load.sendFor(1s);
    load.setNaming(false);
    load.sendFor(1s);
    const auto before = load.arrivalCount(0);
    load.sendFor(2s);
    EXPECT_GE(load.arrivalCount(0) - before, 150U);
}

// The others could serve all requests, so nothing but the limit keeps requests from the limited one.
TEST(NamedRateLimit, ALimitedBackendServerIsUsedUpToItsLimitAndFullyOnceTheLimitEnds)
{
    LimitedMesh load({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha" }, { 0 });
    load.setRunTime(runTime);
    ASSERT_TRUE(load.mesh().waitUntilServing());
    load.sendFor(settlingTime);
    const auto settled = MonotonicClock::now();
    load.sendFor(window);
    EXPECT_GE(load.mostInWindow(0, settled), static_cast<size_t>(0.5 * namedLimit * toSeconds(window)));
    EXPECT_LE(load.mostInWindow(0, settled), allowedInWindow);
    load.setNaming(false);
    load.sendFor(timeToRecover);
    const auto before = load.arrivalCount(0);
    load.sendCount(countedRequests);
    EXPECT_GE(load.arrivalCount(0) - before, shareWithoutLimit);
}

// Zero and limits below one request in two seconds: no more than what is allowed beyond any limit, and found out when they end.
TEST(NamedRateLimit, AVerySmallLimitIsKeptAndItsEndIsNoticed)
{
    for (const double limit : { 0.0, 0.1 }) {
        SCOPED_TRACE(limit);
        LimitedMesh load({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha" }, { 0 });
        load.setLimit(limit);
        load.setRunTime(runTime);
        ASSERT_TRUE(load.mesh().waitUntilServing());
        load.sendFor(settlingTime);
        const auto settled = MonotonicClock::now();
        load.sendFor(window);
        EXPECT_LE(load.mostInWindow(0, settled), 5U);
        load.setNaming(false);
        load.sendFor(timeToRecover);
        const auto before = load.arrivalCount(0);
        load.sendCount(countedRequests);
        EXPECT_GE(load.arrivalCount(0) - before, shareWithoutLimit);
    }
}

// One daemon learns of the end; the other one sends nothing until then, and many requests at once afterwards.
TEST(NamedRateLimit, TheEndOfALimitIsToldToTheOtherDaemons)
{
    constexpr size_t burst = 30;
    LimitedMesh load({ "zone-a/alpha", "zone-a/alpha", "zone-a/alpha" }, { 0 });
    load.setLimit(0);
    load.setRunTime(runTime);
    ASSERT_TRUE(load.mesh().waitUntilServing());
    load.sendFor(settlingTime);
    load.setNaming(false);
    for (int i = 0; i < 100; ++i) {
        load.sendThrough(0, 1);
        load.mesh().runFor(Duration(timeToRecover) / 100);
    }
    const auto before = load.arrivalCount(0);
    load.sendThrough(1, burst);
    load.mesh().runFor(1s);
    EXPECT_GE(load.arrivalCount(0) - before, burst / 6); // Half of an equal share
}

} // namespace
} // namespace shallot
