#pragma once

#include <cstddef>
#include <string_view>

namespace shallot {

// Checks the beginning of a response while it arrives: version, one space, a status of exactly three digits from 100 to 599. The
// parser also takes shorter and longer numbers, leading zeros and spaces, and statuses that no response can have.
class StatusLineCheck {
public:
    // Takes the next bytes of the response. False once they are no status line; further calls may repeat the rest of it.
    bool accept(std::string_view bytes);
    void reset() { m_position = 0; }

private:
    size_t m_position { 0 }; // Of the next byte in the status line
};

} // namespace shallot
