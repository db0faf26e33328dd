#pragma once

#include "mesh/RatePlan.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace shallot {

struct MeshSettings;

// One member's account with the ledger of one organisation: the requests that wait for a token, the open token request and the
// settlement that is due. Handles requests within their rate while the ledger's owner is slow, fails or changes: only the ledger
// can tell that the rate is exceeded, so a request that gets no token from the member's local share either is included in the
// next token request, until the ledger counts as unreachable (MeshSettings::maximumLedgerTimeouts).
class RateAccount {
public:
    // Outcome of a request.
    struct Decision {
        uint64_t request { 0 };
        bool admitted { false };
        bool byLedger { false }; // Decided by the ledger; its token must be returned if the request does not run
        Duration retryAfter {};  // For a refused request
    };
    using Decisions = std::vector<Decision>;

    explicit RateAccount(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    void add(uint64_t request) { m_waiting.push_back({ request, 0 }); }
    bool hasWaiting() const { return !m_waiting.empty(); }
    bool hasOpenTokenRequest() const { return m_openSequence; }
    uint64_t openSequence() const { return m_openSequence; } // 0: no token request is open
    unsigned requestedTokens() const { return static_cast<unsigned>(m_requestedCount); }

    // Opens a token request for all waiting requests and returns their number. At most one token request is open at a time.
    unsigned openTokenRequest(uint64_t sequence);
    // Applies a ledger's response. Tokens that arrive after the timeout of their token request go to the requests waiting then.
    Decisions applyGrant(uint64_t sequence, const RateGrant&);
    // The open token request timed out; the tokens come from the local share. Requests without a token stay in the queue until
    // they have seen MeshSettings::maximumLedgerTimeouts timeouts.
    Decisions applyLocalGrantOnTimeout(const RateGrant&);
    // No ledger can be reached: admits from the local share and refuses all other waiting requests.
    Decisions applyLocalGrant(const RateGrant&);

    // A request with a ledger's token was refused later and has not run.
    void returnToken() { ++m_settlement.unused; }
    bool hasSettlement() const { return m_settlement.unused || m_settlement.spentLocally; }
    RateSettlement settle();

private:
    struct Waiting {
        uint64_t request { 0 };
        unsigned timeouts { 0 }; // Of token requests that included it
    };

    unsigned admit(unsigned tokens, bool byLedger, Decisions&);
    void refuse(Duration retryAfter, bool byLedger, Decisions&);

    const MeshSettings& m_settings;
    std::deque<Waiting> m_waiting; // In order of arrival, those of the open token request first
    size_t m_requestedCount { 0 }; // Waiting requests that the open token request covers
    uint64_t m_openSequence { 0 }; // Sequence of the open token request; 0: none
    RateSettlement m_settlement;
};

} // namespace shallot
