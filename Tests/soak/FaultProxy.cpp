#include "FaultProxy.h"

#include "net/StreamSocket.h"

#include <glib.h>

namespace shallot {

namespace {

constexpr auto forwardDelay = std::chrono::milliseconds(50);

} // namespace

FaultProxy::FaultProxy(const SocketAddress& own, const SocketAddress& target)
    : m_target(target)
{
    const auto started = m_listener.start(own, [this](RefPtr<StreamSocket> socket) { accept(std::move(socket)); });
    if (!started)
        g_error("fault proxy cannot listen: %s", started.error().detail.c_str());
}

FaultProxy::~FaultProxy()
{
    for (const auto& pair : m_pairs)
        close(*pair);
}

void FaultProxy::accept(RefPtr<StreamSocket> caller)
{
    std::erase_if(m_pairs, [](const auto& pair) { return !pair->caller->isOpen() && !pair->target->isOpen(); });
    auto target = m_fault == Fault::Reset ? nullptr : StreamSocket::connect(m_target);
    if (!target)
        return;
    auto pair = std::make_unique<Pair>();
    auto* raw = pair.get();
    raw->caller = std::move(caller);
    raw->target = std::move(target);
    raw->caller->start({ [this, raw](std::span<const uint8_t> bytes) {
                            forward(*raw, true, { bytes.begin(), bytes.end() });
                        },
        nullptr, [raw](StreamEnd) { close(*raw); } });
    raw->target->start({ [this, raw](std::span<const uint8_t> bytes) {
                            forward(*raw, false, { bytes.begin(), bytes.end() });
                        },
        nullptr, [raw](StreamEnd) { close(*raw); } });
    m_pairs.push_back(std::move(pair));
}

void FaultProxy::forward(Pair& pair, bool towardsTarget, std::string bytes)
{
    if (m_fault == (towardsTarget ? Fault::DropToTarget : Fault::DropFromTarget))
        return;
    const auto to = towardsTarget ? pair.target : pair.caller;
    if (m_fault != Fault::Delayed) {
        to->write(bytes);
        return;
    }
    pair.delays.push_back(std::make_unique<Timer>());
    pair.delays.back()->startOnce(forwardDelay, [to, bytes = std::move(bytes)] { to->write(bytes); });
}

void FaultProxy::close(Pair& pair)
{
    pair.delays.clear();
    pair.caller->close();
    pair.target->close();
}

void FaultProxy::setFault(Fault fault)
{
    m_fault = fault;
    if (fault != Fault::Reset)
        return;
    for (const auto& pair : m_pairs)
        close(*pair);
}

} // namespace shallot
