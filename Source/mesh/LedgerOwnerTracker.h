#pragma once

#include "core/Time.h"

#include <string>
#include <string_view>

namespace shallot {

// Which keeper of one ledger a member asks, and when it last asked another one, which deals the member's part for a while yet.
class LedgerOwnerTracker {
public:
    // Notes a word to that keeper. How long ago the last word to another one was; zero when there was none.
    Duration recordMessageTo(std::string_view owner, TimePoint now);

private:
    std::string m_owner;
    TimePoint m_lastMessage {};
    TimePoint m_lastMessageToPrevious {}; // Zero: none
};

} // namespace shallot
