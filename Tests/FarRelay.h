#pragma once

#include "net/Listener.h"
#include "net/StreamSocket.h"
#include "net/Timer.h"

#include <functional>
#include <glib.h>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace shallot {

// Between one caller and a daemon: bytes and ends arrive late, as over a long distance.
class FarRelay {
public:
    FarRelay(const SocketAddress& own, const SocketAddress& target)
    {
        const auto started = m_listener.start(own, [this, target](RefPtr<StreamSocket> socket) {
            m_caller = std::move(socket);
            m_daemon = StreamSocket::connect(target);
            m_caller->start({ [this](std::span<const uint8_t> bytes) { forward(*m_daemon, bytes); }, nullptr,
                [this](StreamEnd) { later([this] { m_daemon->finish(); }); } });
            m_daemon->start({ [this](std::span<const uint8_t> bytes) { forward(*m_caller, bytes); }, nullptr,
                [this](StreamEnd end) { m_wasReset = end == StreamEnd::Reset; },
                [this] {
                    m_daemonHasClosed = true;
                    later([this] { m_caller->finish(); });
                    return true;
                } });
        });
        g_assert(started);
    }
    bool daemonHasClosed() const { return m_daemonHasClosed; }
    // What was sent to the daemon last met a closed connection, so no process has read it.
    bool wasReset() const { return m_wasReset; }

private:
    void forward(StreamSocket& to, std::span<const uint8_t> bytes)
    {
        later([&to, text = std::string(bytes.begin(), bytes.end())] { to.write(text); });
    }
    void later(std::function<void()> function)
    {
        m_arrivals.push_back(std::make_unique<Timer>());
        m_arrivals.back()->startOnce(std::chrono::milliseconds(300), std::move(function));
    }

    Listener m_listener;
    RefPtr<StreamSocket> m_caller;
    RefPtr<StreamSocket> m_daemon;
    std::vector<std::unique_ptr<Timer>> m_arrivals;
    bool m_daemonHasClosed { false };
    bool m_wasReset { false };
};

} // namespace shallot
