// What a daemon believes of the fleet on the word of another daemon.

#include "SidecarHarness.h"
#include "TestPorts.h"
#include "core/Digest.h"
#include "net/PeerLinks.h"
#include "wire/Frames_generated.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace shallot {
namespace {

// A member of the fleet that a test speaks for.
class TestPeer {
public:
    explicit TestPeer(std::string name)
        : m_name(std::move(name))
        , m_links({ m_name, "zone-a", "a secret of the tests" },
              { [this](PeerLink& link, wire::FrameT& frame) { onFrame(link, frame); }, [](PeerLink&) {} })
    {
    }

    bool listen(const SocketAddress& address) { return m_links.listen(address).has_value(); }
    const std::string& name() const { return m_name; }
    void send(const SocketAddress& daemon, const wire::FrameT& frame) { m_links.linkTo(daemon.toString())->send(frame); }

    void sendState(const SocketAddress& daemon, const std::string& member, const std::string& address, const std::string& service)
    {
        auto state = std::make_unique<wire::MemberStateT>();
        state->member = member;
        state->zone = "zone-a";
        state->address = address;
        state->service = service;
        state->slots = 4;
        wire::GossipT gossip;
        gossip.members.push_back(std::move(state));
        wire::FrameT frame;
        frame.body.Set(std::move(gossip));
        send(daemon, frame);
    }

    // Requests that many tokens for the organisation.
    void requestTokens(const SocketAddress& daemon, const std::string& organisation, uint32_t count)
    {
        auto request = std::make_unique<wire::LoanRequestT>();
        request->organisation = organisation;
        request->waiting = count;
        wire::LoanRequestsT requests;
        requests.sequence = 1;
        requests.requests.push_back(std::move(request));
        wire::FrameT frame;
        frame.body.Set(std::move(requests));
        send(daemon, frame);
    }

    std::vector<wire::LoanT> loans;
    size_t tokenRequests { 0 }; // Received, each answered as by an owner that does not know the organisation

private:
    void onFrame(PeerLink& link, wire::FrameT& frame)
    {
        if (const auto* received = frame.body.AsLoans()) {
            for (const auto& loan : received->loans)
                loans.push_back(*loan);
        }
        const auto* requests = frame.body.AsLoanRequests();
        if (!requests)
            return;
        wire::LoansT reply;
        reply.sequence = requests->sequence;
        for (const auto& request : requests->requests) {
            if (request->organisation.empty() || !request->waiting)
                continue;
            ++tokenRequests;
            auto loan = std::make_unique<wire::LoanT>();
            loan->organisation = request->organisation;
            loan->plan_unknown = true;
            reply.loans.push_back(std::move(loan));
        }
        wire::FrameT answer;
        answer.body.Set(std::move(reply));
        link.send(answer);
    }

    std::string m_name;
    PeerLinks m_links;
};

TEST(PeerIdentity, AMemberCannotSpeakForAnotherOne)
{
    SidecarHarness mesh({ "zone-a/alpha", "zone-a/beta" });
    ASSERT_TRUE(mesh.waitUntilServing());
    TestPeer peer("stranger");
    peer.sendState(mesh.peersAddress(0), "daemon-1", "127.0.0.1:9", "alpha");
    mesh.runFor(200ms);
    EXPECT_EQ(mesh.fetch(0, "/inner/1", "").status(), 200);
}

// The owner of a ledger may not have the configuration yet that added the organisation.
TEST(PeerIdentity, ALedgerGrantsNothingToAnOrganisationThatItDoesNotKnow)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    ASSERT_TRUE(mesh.waitUntilServing());
    TestPeer peer("stranger");
    peer.requestTokens(mesh.peersAddress(0), "new-school", 500);
    ASSERT_TRUE(mesh.runUntil([&] { return !peer.loans.empty(); }));
    EXPECT_EQ(peer.loans.front().tokens, 0);
}

TEST(PeerIdentity, AnOrganisationUnknownToTheOwnerOfItsLedgerGetsItsLocalShare)
{
    constexpr double rate = 40; // Per second, and as a burst; half of it is the share of one of two members
    constexpr size_t requestsPerRound = 40;
    constexpr size_t ledgerCount = MeshSettings {}.ledgerCount;
    SidecarHarness mesh({ "zone-a/alpha" });
    mesh.writeConfiguration(2, R"(["key-1","key-2"])", rate);
    ASSERT_TRUE(mesh.waitUntilServing());
    const auto ledger = stableHash("school") % ledgerCount + 1;
    size_t number = 0;
    while (stableHash("owner-" + std::to_string(number), ledger) < stableHash("daemon-0", ledger))
        ++number;
    TestPeer owner("owner-" + std::to_string(number));
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    ASSERT_TRUE(owner.listen(address));
    owner.sendState(mesh.peersAddress(0), owner.name(), address.toString(), "beta");
    mesh.runFor(500ms);
    const auto startedAt = MonotonicClock::now();
    std::vector<std::shared_ptr<SidecarHarness::Exchange>> exchanges;
    for (int round = 0; round < 3; ++round) {
        for (size_t i = 0; i < requestsPerRound; ++i)
            exchanges.push_back(mesh.send(0, { "GET", "/read/1", {}, {} }));
        mesh.runFor(700ms);
    }
    for (const auto& exchange : exchanges)
        mesh.wait(exchange);
    const auto served = static_cast<double>(
        std::count_if(exchanges.begin(), exchanges.end(), [](const auto& exchange) { return exchange->status() == 200; }));
    EXPECT_GT(owner.tokenRequests, 0U);
    EXPECT_GT(served, 0);
    EXPECT_LE(served, rate / 2 + rate / 2 * toSeconds(MonotonicClock::now() - startedAt));
}

} // namespace
} // namespace shallot
