#include "mesh/RateAccount.h"

#include <utility>

namespace shallot {

bool RateAccount::takeAnswer(uint64_t sequence, unsigned tokens)
{
    if (!m_question || sequence != m_question) {
        m_settlement.unused += tokens;
        return false;
    }
    m_question = 0;
    return true;
}

void RateAccount::takeOwnPart(unsigned tokens)
{
    m_question = 0;
    m_settlement.spent += tokens;
}

RateAccount::Settlement RateAccount::settle()
{
    return std::exchange(m_settlement, {});
}

} // namespace shallot
