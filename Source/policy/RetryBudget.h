#pragma once

#include <algorithm>
#include <cstdint>

namespace shallot {

// Caps this daemon's retries to a small share of its recent successes, on top of each request's own tokens.
class RetryBudget {
public:
    RetryBudget(double depositPerSuccess, double maximum)
        : m_depositPerSuccess(depositPerSuccess)
        , m_maximum(maximum)
        , m_balance(maximum)
    {
    }

    void recordSuccess() { m_balance = std::min(m_maximum, m_balance + m_depositPerSuccess); }

    bool tryTake()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_depositPerSuccess;
    double m_maximum;
    double m_balance;
};

// Retry tokens of one call, lent to the onward calls it makes. Tokens are only ever spent, so attempts over the whole
// call graph are at most its calls plus the tokens the request was born with.
class RetryTokens {
public:
    explicit RetryTokens(uint16_t tokens = 0)
        : m_tokens(tokens)
    {
    }

    uint16_t remaining() const { return m_tokens; }

    // Tokens for one onward call: half, rounded up, so that a parallel call also finds some.
    uint16_t allocate()
    {
        const auto allocation = static_cast<uint16_t>((m_tokens + 1) / 2);
        m_tokens = static_cast<uint16_t>(m_tokens - allocation);
        return allocation;
    }

    // Brings back what an answer returned, never more than was lent. A lost answer brings back nothing.
    void reclaim(uint16_t allocated, uint16_t returned)
    {
        m_tokens = static_cast<uint16_t>(m_tokens + std::min(allocated, returned));
    }

    bool tryTake()
    {
        if (!m_tokens)
            return false;
        --m_tokens;
        return true;
    }

private:
    uint16_t m_tokens;
};

} // namespace shallot
