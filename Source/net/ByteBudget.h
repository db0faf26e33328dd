#pragma once

#include <cstddef>

namespace shallot {

// Bytes that a group of connections holds in memory, against a limit. Counted in constant time: each holder reports its changes.
class ByteBudget {
public:
    explicit ByteBudget(size_t maximum)
        : m_maximum(maximum)
    {
    }

    void setMaximum(size_t maximum) { m_maximum = maximum; }
    size_t maximum() const { return m_maximum; }
    size_t held() const { return m_held; }
    bool hasRoomFor(size_t bytes) const { return m_held + bytes <= m_maximum; }
    void change(size_t from, size_t to) { m_held = m_held - from + to; }

private:
    size_t m_maximum;
    size_t m_held { 0 };
};

} // namespace shallot
