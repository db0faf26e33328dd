#pragma once

#include <algorithm>
#include <cstdint>

namespace shallot {

// Limits this daemon's retries to a small fraction of its recent successes, in addition to the tokens of each request.
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

// Retry tokens of one call, from which it allocates tokens to its nested calls. Tokens are only consumed and never created, so
// the attempts over the whole call graph are at most its calls plus the tokens that the request started with.
class RetryTokens {
public:
    explicit RetryTokens(uint16_t tokens = 0)
        : m_tokens(tokens)
    {
    }

    uint16_t remaining() const { return m_tokens; }

    // Takes the tokens for one nested call: half of them, rounded up, so that a parallel call can have some too.
    uint16_t allocate()
    {
        const auto allocation = static_cast<uint16_t>((m_tokens + 1) / 2);
        m_tokens = static_cast<uint16_t>(m_tokens - allocation);
        return allocation;
    }

    // Adds the tokens that a response returned, at most those allocated to the call. A lost response returns none.
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
