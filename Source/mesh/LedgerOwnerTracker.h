#pragma once

#include "core/Time.h"

#include <string>
#include <string_view>

namespace shallot {

// Tracks which owner of one ledger this member contacts and when it last contacted the previous owner, which may still grant
// tokens from this member's share until the share's lease expires.
class LedgerOwnerTracker {
public:
    // Records a message to that owner. Returns the time since the last message to the previous owner; zero without one.
    Duration recordMessageTo(std::string_view owner, TimePoint now);

private:
    std::string m_owner;
    TimePoint m_lastMessage {};
    TimePoint m_lastMessageToPrevious {}; // Zero: no previous owner
};

} // namespace shallot
