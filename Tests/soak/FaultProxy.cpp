#include "FaultProxy.h"

#include "net/StreamSocket.h"

#include <glib.h>

namespace shallot {

namespace {

constexpr auto delay = std::chrono::milliseconds(50);

} // namespace

FaultProxy::FaultProxy(const SocketAddress& own, const SocketAddress& target)
    : m_target(target)
{
    const auto started = m_listener.start(own, [this](RefPtr<StreamSocket> socket) { accept(std::move(socket)); });
    if (!started)
        g_error("proxy: %s", started.error().detail.c_str());
}

FaultProxy::~FaultProxy()
{
    for (const auto& pair : m_pairs)
        close(*pair);
}

void FaultProxy::accept(RefPtr<StreamSocket> caller)
{
    std::erase_if(m_pairs, [](const auto& pair) { return !pair->caller->isOpen() && !pair->target->isOpen(); });
    auto target = m_harm == Harm::Reset ? nullptr : StreamSocket::connect(m_target);
    if (!target)
        return;
    auto pair = std::make_unique<Pair>();
    auto* raw = pair.get();
    raw->caller = std::move(caller);
    raw->target = std::move(target);
    raw->caller->start({ [this, raw](std::span<const uint8_t> bytes) {
                            pass(*raw, true, { bytes.begin(), bytes.end() });
                        },
        nullptr, [raw](StreamEnd) { close(*raw); } });
    raw->target->start({ [this, raw](std::span<const uint8_t> bytes) {
                            pass(*raw, false, { bytes.begin(), bytes.end() });
                        },
        nullptr, [raw](StreamEnd) { close(*raw); } });
    m_pairs.push_back(std::move(pair));
}

void FaultProxy::pass(Pair& pair, bool forth, std::string bytes)
{
    if (m_harm == (forth ? Harm::SilentForth : Harm::SilentBack))
        return;
    const auto to = forth ? pair.target : pair.caller;
    if (m_harm != Harm::Delayed) {
        to->write(bytes);
        return;
    }
    pair.delays.push_back(std::make_unique<Timer>());
    pair.delays.back()->startOnce(delay, [to, bytes = std::move(bytes)] { to->write(bytes); });
}

void FaultProxy::close(Pair& pair)
{
    pair.delays.clear();
    pair.caller->close();
    pair.target->close();
}

void FaultProxy::setHarm(Harm harm)
{
    m_harm = harm;
    if (harm != Harm::Reset)
        return;
    for (const auto& pair : m_pairs)
        close(*pair);
}

} // namespace shallot
