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
constexpr size_t allowedInWindow = 65; // One and a half times the limit, and five requests

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
                respond(*connection, request, m_naming && std::find(m_limited.begin(), m_limited.end(), i) != m_limited.end());
            });
        }
    }

    SidecarHarness& mesh() { return m_mesh; }
    void setNaming(bool naming) { m_naming = naming; }
    size_t arrivalCount(size_t endpoint) const { return m_arrivals[endpoint].size(); }
    const std::vector<std::shared_ptr<SidecarHarness::Exchange>>& exchanges() const { return m_exchanges; }

    void sendFor(Duration duration)
    {
        Timer load;
        load.startRepeating(requestInterval, [this] {
            m_exchanges.push_back(m_mesh.send(m_sent++ % m_daemons, { "GET", "/read/limited", {}, {} }));
        });
        m_mesh.runFor(duration);
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
    static void respond(StrictHTTPConnection& connection, const HTTPRequest& request, bool namesLimit)
    {
        HTTPHeaders headers { { std::string(platform::header::attemptID),
                                  std::string(findHeader(request.headers, platform::header::attemptID)) },
            { std::string(platform::header::seal), "seal" } };
        if (namesLimit)
            headers.emplace_back("Server-Limit", std::to_string(namedLimit));
        connection.respond({ 200, headers, "done" }, false, MonotonicClock::now());
    }

    size_t m_daemons;
    SidecarHarness m_mesh;
    std::vector<size_t> m_limited;
    std::vector<std::vector<TimePoint>> m_arrivals; // By backend server
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> m_exchanges;
    size_t m_sent { 0 };
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

} // namespace
} // namespace shallot
