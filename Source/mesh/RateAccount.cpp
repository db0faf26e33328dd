#include "mesh/RateAccount.h"

#include <utility>

namespace shallot {

bool RateAccount::takeAnswer(uint64_t sequence, unsigned)
{
    if (!m_question || sequence != m_question)
        return false;
    m_question = 0;
    return true;
}

void RateAccount::takeOwnPart(unsigned)
{
    m_question = 0;
}

RateAccount::Settlement RateAccount::settle()
{
    return std::exchange(m_settlement, {});
}

} // namespace shallot
