// Backend servers that are replaced by another service's, announced by someone else, or read their requests slowly.

#include "SidecarHarness.h"
#include "platform/Names.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace shallot {
namespace {

TEST(SidecarPath, AnAnnouncementOfAnUnknownServiceOrAnotherAddressChangesNothing)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    const auto own = mesh.backendServerAddress(0).toString();
    std::vector<RefPtr<StrictHTTPConnection>> open;
    mesh.endpoint(0).setScript([&open](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        if (request.target == "/order/running")
            open.push_back(connection);
        else
            EndpointStandin::respond(*connection, request);
    });
    const auto running = mesh.send(1, { "POST", "/order/running", {}, "tiles" });
    ASSERT_TRUE(mesh.runUntil([&] { return !open.empty(); }));
    for (const auto& [service, address] : { std::pair<std::string, std::string> { "gamma", own }, { "beta", "127.0.0.1:9" } }) {
        std::string body = R"({"service":")";
        body += service;
        body += R"(","addr":")";
        body += address;
        body += R"(","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_s":0,"seq":1,"born":900000})";
        mesh.endpoint(0).sendAnnouncement(body);
        mesh.runFor(100ms);
        EXPECT_EQ(mesh.fetch(1, "/read/1").status(), 200);
        EXPECT_EQ(mesh.fetch(0, "/inner/1", "").status(), 200);
        EXPECT_EQ(findHeader(mesh.endpoint(1).requests().back().headers, platform::header::callerService), "alpha");
    }
    EXPECT_FALSE(running->done);
    EXPECT_EQ(mesh.endpoint(0).disconnectCount(), 0U);
}

// The backend server falls silent with requests queued for it; the next one at its address is of another service.
TEST(SidecarPath, QueuedRequestsDoNotRunAtTheNextBackendServerOfAnotherService)
{
    constexpr size_t requests = 12;
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/alpha", "zone-b/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    bool replaced = false;
    size_t atTheWrongService = 0;
    std::vector<RefPtr<StrictHTTPConnection>> open;
    const auto hold = [&](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        atTheWrongService += replaced && !request.target.starts_with("/inner/") ? 1 : 0;
        open.push_back(connection);
    };
    mesh.endpoint(0).setScript(hold);
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    for (size_t i = 0; i < requests; ++i)
        exchanges.push_back(mesh.send(0, { "POST", "/order/" + std::to_string(i), {}, "tiles" }));
    ASSERT_TRUE(mesh.runUntil([&] { return open.size() >= 3; })); // All slots of the first one
    mesh.runFor(100ms);
    replaced = true;
    mesh.endpoint(0).sendAnnouncement(R"({"service":"beta","addr":")" + mesh.backendServerAddress(0).toString()
        + R"(","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_s":0,"seq":1,"born":900000})");
    mesh.runFor(700ms);
    EXPECT_EQ(atTheWrongService, 0U);
}

TEST(SidecarPath, BodiesHeldForASlowBackendServerAreBounded)
{
    constexpr size_t uploads = 10;
    SidecarHarness mesh({ "zone-a/alpha", "zone-b/beta" });
    mesh.settings.maximumHeldBodyBytes = 4 * 1024 * 1024;
    ASSERT_TRUE(mesh.waitUntilServing());
    std::vector<std::pair<RefPtr<StrictHTTPConnection>, HTTPRequest>> open;
    mesh.endpoint(0).setScript([&open](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest& request) {
        open.emplace_back(connection, request);
    });
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    const std::string footage(1024 * 1024, 'f');
    for (size_t i = 0; i < uploads; ++i)
        exchanges.push_back(mesh.send(i % 2, { "POST", "/upload/" + std::to_string(i), {}, footage }));
    const auto count = [&exchanges](uint16_t status) {
        return static_cast<size_t>(std::count_if(exchanges.begin(), exchanges.end(),
            [status](const auto& exchange) { return exchange->done && exchange->status() == status; }));
    };
    EXPECT_TRUE(mesh.runUntil([&] { return count(503) == uploads - 4; }));
    // Those that are held are served, and make room for others.
    const auto respondToAll = [&open] {
        for (const auto& [connection, request] : std::exchange(open, {}))
            EndpointStandin::respond(*connection, request);
    };
    EXPECT_TRUE(mesh.runUntil([&] {
        respondToAll();
        return count(200) == 4;
    }));
    const auto later = mesh.send(1, { "POST", "/upload/later", {}, footage });
    EXPECT_TRUE(mesh.runUntil([&] {
        respondToAll();
        return later->done;
    }));
    EXPECT_EQ(later->status(), 200);
    for (size_t i = 0; i < uploads; ++i)
        EXPECT_LE(mesh.executionCount("/upload/" + std::to_string(i)), exchanges[i]->status() == 200 ? 1U : 0U);
}

} // namespace
} // namespace shallot
