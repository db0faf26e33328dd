#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace shallot {

// Credit of one body between two daemons. Both sides count bytes from the start of the body, so that a late or repeated grant
// changes nothing.
struct BodySendWindow {
    uint64_t sent { 0 };
    uint64_t granted { 0 };

    void recordGrant(uint64_t total) { granted = std::max(granted, total); }
    size_t maySend() const { return granted > sent ? static_cast<size_t>(granted - sent) : 0; }
};

// The receiver's side: what arrives in order and within the grant is taken, anything else ends the body.
class BodyReceiveWindow {
public:
    // `window`: what the sender may send before the first grant.
    BodyReceiveWindow(uint64_t received, size_t window)
        : m_received(received)
        , m_granted(received + window)
    {
    }

    // Returns whether the part continues the body and is within the grant.
    bool accept(uint64_t offset, size_t bytes)
    {
        if (offset != m_received || bytes > m_granted - m_received)
            return false;
        m_received += bytes;
        return true;
    }
    // The new grant to send, once less than half of that window is left; empty while that is not so. A window of 0: no credit.
    std::optional<uint64_t> nextGrant(size_t window)
    {
        if (!window || m_granted - m_received > window / 2)
            return std::nullopt;
        m_granted = m_received + window;
        return m_granted;
    }
    uint64_t received() const { return m_received; }
    uint64_t granted() const { return m_granted; }

private:
    uint64_t m_received;
    uint64_t m_granted;
};

} // namespace shallot
