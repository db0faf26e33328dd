#include "mesh/LedgerOwnerTracker.h"

namespace shallot {

Duration LedgerOwnerTracker::recordMessageTo(std::string_view owner, TimePoint now)
{
    if (m_owner != owner) {
        m_lastMessageToPrevious = m_lastMessage;
        m_owner = owner;
    }
    m_lastMessage = now;
    return m_lastMessageToPrevious == TimePoint() ? Duration::zero() : now - m_lastMessageToPrevious;
}

} // namespace shallot
