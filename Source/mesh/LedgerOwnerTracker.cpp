#include "mesh/LedgerOwnerTracker.h"

namespace shallot {

Duration LedgerOwnerTracker::recordMessageTo(std::string_view keeper, TimePoint now)
{
    if (m_keeper != keeper) {
        m_leftOther = m_lastWord;
        m_keeper = keeper;
    }
    m_lastWord = now;
    return m_leftOther == TimePoint() ? Duration::zero() : now - m_leftOther;
}

} // namespace shallot
