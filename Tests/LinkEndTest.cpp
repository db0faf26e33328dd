// What becomes of calls between daemons when their link ends.

#include "LinkRelay.h"
#include "SidecarHarness.h"

#include "platform/Names.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

// All links to each daemon run through a relay. The last daemon has no backend server of the calls' service.
class LinkEnd : public testing::Test {
protected:
    explicit LinkEnd(const std::vector<std::string>& locations = { "zone-a/alpha", "zone-a/alpha", "zone-a/beta" })
        : mesh(locations)
        , sender(locations.size() - 1)
    {
        constexpr uint16_t relayPortOffset = 4;
        std::map<std::string, std::string> replacements;
        const auto relayAddress = [this](size_t daemon) {
            const auto address = mesh.peersAddress(daemon);
            return SocketAddress { address.host, static_cast<uint16_t>(address.port + relayPortOffset) };
        };
        for (size_t i = 0; i < locations.size(); ++i)
            replacements[mesh.peersAddress(i).toString()] = relayAddress(i).toString();
        for (size_t i = 0; i < locations.size(); ++i)
            relays.push_back(std::make_unique<LinkRelay>(relayAddress(i), mesh.peersAddress(i), replacements));
        mesh.store().setRecordFilter([replacements](const std::string& topic, std::string value) {
            if (topic != platform::store::memberTopic)
                return value;
            for (const auto& [own, relay] : replacements) {
                if (const auto at = value.find(own); at != std::string::npos)
                    value.replace(at, own.size(), relay);
            }
            return value;
        });
    }

    void SetUp() override
    {
        mesh.timeLimit = 4;
        mesh.writeConfiguration(2);
        ASSERT_TRUE(mesh.waitUntilServing());
        mesh.runFor(300ms);
    }

    std::shared_ptr<SidecarHarness::Exchange> sendOrder() { return mesh.send(sender, { "POST", "/order/1", {}, {} }); }

    SidecarHarness mesh;
    size_t sender;
    std::vector<std::unique_ptr<LinkRelay>> relays;
};

TEST_F(LinkEnd, CallsOnTheWayToADaemonThatEndsAreServedElsewhere)
{
    mesh.setShutdownTime(0, 2s);
    relays[0]->holdFromTarget(true); // The sender must not learn of the leave before
    relays[0]->holdToTarget(true);
    bool hasLeft = false;
    mesh.daemon(0).setLeaveCompletedHandler([&hasLeft] { hasLeft = true; });
    mesh.daemon(0).leave();
    mesh.runFor(1s);
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    for (int i = 0; i < 8; ++i)
        exchanges.push_back(sendOrder());
    mesh.runFor(100ms);
    EXPECT_GT(relays[0]->heldToTarget(), 0U);
    ASSERT_TRUE(mesh.runUntil([&hasLeft] { return hasLeft; }));
    mesh.stop(0);
    relays[0]->holdFromTarget(false);
    for (const auto& exchange : exchanges)
        EXPECT_EQ(mesh.wait(exchange).status(), 200);
    EXPECT_EQ(mesh.executionCount("/order/1"), exchanges.size());
}

} // namespace
} // namespace shallot
