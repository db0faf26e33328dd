// The first frames of a link between daemons, however they arrive.

#include "TestPorts.h"
#include "net/Listener.h"
#include "net/PeerLinks.h"
#include "net/StreamSocket.h"
#include "net/Timer.h"
#include "sidecar/MeshFrames.h"
#include "wire/Frames_generated.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <random>

namespace shallot {
namespace {

using namespace std::chrono_literals;

// Between two daemons: what the initiator sends after its first message reaches the acceptor in one piece, as at a busy daemon.
class BatchingRelay {
public:
    BatchingRelay(const SocketAddress& own, const SocketAddress& target)
    {
        const auto started = m_listener.start(own, [this, target](RefPtr<StreamSocket> socket) {
            m_initiator = std::move(socket);
            m_acceptor = StreamSocket::connect(target);
            m_initiator->start({ [this](std::span<const uint8_t> bytes) { onInitiatorData(bytes); }, nullptr,
                [this](StreamEnd) { m_acceptor->close(); } });
            m_acceptor->start({ [this](std::span<const uint8_t> bytes) {
                                   m_initiator->write({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
                               },
                nullptr, [this](StreamEnd) { m_initiator->close(); } });
        });
        EXPECT_TRUE(started.has_value());
    }

private:
    void onInitiatorData(std::span<const uint8_t> bytes)
    {
        m_held.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
        const bool isFirst = !std::exchange(m_hasStarted, true);
        m_timer.startOnce(isFirst ? Duration::zero() : Duration(100ms), [this] { m_acceptor->write(std::exchange(m_held, {})); });
    }

    Listener m_listener;
    RefPtr<StreamSocket> m_initiator;
    RefPtr<StreamSocket> m_acceptor;
    std::string m_held;
    Timer m_timer;
    bool m_hasStarted { false };
};

struct BodyCase {
    size_t bytes;
    bool compressible;

    friend std::ostream& operator<<(std::ostream& stream, const BodyCase& body)
    {
        return stream << body.bytes << (body.compressible ? "Compressible" : "");
    }
};

class PeerLinkStart : public testing::TestWithParam<BodyCase> {
protected:
    static wire::FrameT callWithBody(const BodyCase& body)
    {
        std::mt19937 random(1);
        wire::CallT call;
        call.id = 7;
        call.method = "POST";
        call.target = "/";
        call.service = "alpha";
        for (size_t i = 0; i < body.bytes; ++i)
            call.body.push_back(body.compressible ? 'x' : static_cast<uint8_t>(random()));
        wire::FrameT frame;
        frame.body.Set(std::move(call));
        return frame;
    }

    size_t received { 0 };
    size_t closed { 0 };
};

TEST_P(PeerLinkStart, FramesThatArriveWithTheProofAreReceived)
{
    const PeerLinks::Callbacks acceptorCallbacks {
        [this](PeerLink&, wire::FrameT& frame) { received += frame.body.AsCall() ? 1 : 0; }, [this](PeerLink&) { ++closed; }
    };
    PeerLinks acceptor({ "daemon-b", "zone-b", "a secret of the tests" }, acceptorCallbacks, meshFrameDictionary());
    const auto port = nextBasePort();
    const SocketAddress target { "127.0.0.1", port };
    const SocketAddress relayAddress { "127.0.0.1", static_cast<uint16_t>(port + 1) };
    ASSERT_TRUE(acceptor.listen(target));
    BatchingRelay relay(relayAddress, target);
    PeerLinks initiator({ "daemon-a", "zone-a", "a secret of the tests" }, { nullptr, nullptr }, meshFrameDictionary());
    const auto link = initiator.linkTo(relayAddress.toString());
    ASSERT_TRUE(link);
    const auto frame = callWithBody(GetParam());
    EXPECT_TRUE(link->send(frame));
    EXPECT_TRUE(link->send(frame));
    const auto end = MonotonicClock::now() + 2s;
    while (received < 2 && !closed && MonotonicClock::now() < end) {
        Timer wake;
        wake.startOnce(5ms, [] {});
        g_main_context_iteration(nullptr, TRUE);
    }
    EXPECT_EQ(received, 2U);
    EXPECT_EQ(closed, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    BodyBytes, PeerLinkStart, testing::Values(BodyCase { 0, false }, BodyCase { 2000, true }, BodyCase { 20'000, false }));

} // namespace
} // namespace shallot
