#include "LinkRelay.h"

#include <algorithm>
#include <glib.h>

namespace shallot {

LinkRelay::LinkRelay(const SocketAddress& own, const SocketAddress& target, std::map<std::string, std::string> replacements)
    : m_target(target)
    , m_replacements(std::move(replacements))
{
    const auto started = m_listener.start(own, [this](const RefPtr<StreamSocket>& socket) { accept(socket); });
    if (!started)
        g_error("link relay cannot listen: %s", started.error().detail.c_str());
}

LinkRelay::~LinkRelay()
{
    reset();
}

void LinkRelay::accept(const RefPtr<StreamSocket>& initiator)
{
    const auto target = StreamSocket::connect(m_target);
    if (!target)
        return;
    m_pairs.push_back(std::make_unique<Pair>());
    auto* pair = m_pairs.back().get();
    pair->toTarget = { target, {}, m_holdsToTarget };
    pair->fromTarget = { initiator, {}, m_holdsFromTarget };
    initiator->start({ [this, pair](std::span<const uint8_t> bytes) { forward(pair->toTarget, bytes); }, nullptr,
        [pair](StreamEnd) { end(pair->toTarget); } });
    target->start({ [this, pair](std::span<const uint8_t> bytes) { forward(pair->fromTarget, bytes); }, nullptr,
        [pair](StreamEnd) { end(pair->fromTarget); } });
}

void LinkRelay::forward(Direction& direction, std::span<const uint8_t> bytes) const
{
    std::string text(bytes.begin(), bytes.end());
    for (const auto& [from, to] : m_replacements) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }
    direction.held += text;
    if (!direction.holds)
        release(direction);
}

void LinkRelay::release(Direction& direction)
{
    direction.to->write(std::exchange(direction.held, {}));
    if (direction.ends)
        direction.to->finish();
}

void LinkRelay::end(Direction& direction)
{
    direction.ends = true;
    if (!direction.holds)
        release(direction);
}

void LinkRelay::holdToTarget(bool holds)
{
    m_holdsToTarget = holds;
    for (const auto& pair : m_pairs) {
        pair->toTarget.holds = holds;
        if (!holds)
            release(pair->toTarget);
    }
}

void LinkRelay::holdFromTarget(bool holds)
{
    m_holdsFromTarget = holds;
    for (const auto& pair : m_pairs) {
        pair->fromTarget.holds = holds;
        if (!holds)
            release(pair->fromTarget);
    }
}

void LinkRelay::reset()
{
    for (const auto& pair : m_pairs) {
        pair->toTarget.held.clear();
        pair->fromTarget.held.clear();
        pair->toTarget.to->close();
        pair->fromTarget.to->close();
    }
}

void LinkRelay::resetInitiators()
{
    m_holdsToTarget = false;
    for (const auto& pair : m_pairs)
        pair->fromTarget.to->close();
}

size_t LinkRelay::endedLinks() const
{
    return static_cast<size_t>(
        std::count_if(m_pairs.begin(), m_pairs.end(), [](const auto& pair) { return pair->toTarget.ends; }));
}

size_t LinkRelay::heldToTarget() const
{
    size_t bytes = 0;
    for (const auto& pair : m_pairs)
        bytes += pair->toTarget.held.size();
    return bytes;
}

size_t LinkRelay::heldFromTarget() const
{
    size_t bytes = 0;
    for (const auto& pair : m_pairs)
        bytes += pair->fromTarget.held.size();
    return bytes;
}

} // namespace shallot
