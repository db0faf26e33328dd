#pragma once

#include <algorithm>
#include <cstddef>

namespace shallot {

// Bytes of bodies that this process holds, against what it may hold.
class ByteBudget {
public:
    explicit ByteBudget(size_t limit)
        : m_limit(limit)
    {
    }

    void add(size_t bytes) { m_held += bytes; }
    void remove(size_t bytes) { m_held -= std::min(m_held, bytes); }
    bool hasRoom() const { return m_held < m_limit; }
    size_t room() const { return m_limit - std::min(m_limit, m_held); }
    // Room for the least that each body may hold is kept beyond the limit, up to twice as much.
    bool hasRoomForLeast() const { return m_held < 2 * m_limit; }
    size_t held() const { return m_held; }

private:
    size_t m_limit;
    size_t m_held { 0 };
};

} // namespace shallot
