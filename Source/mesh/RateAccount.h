#pragma once

#include "mesh/RatePlan.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace shallot {

struct MeshSettings;

// One member's account with the ledger of one organisation: the requests that wait for a token, which question is open, and what
// has to be settled. The load it answers: requests inside their rate while the ledger's keeper is slow, dies or changes. Without
// the ledger's word nothing says that they are above it, so a request that finds nothing in the member's own part either is asked
// for again, until the ledger counts as unreachable.
class RateAccount {
public:
    // What became of a request.
    struct Decision {
        uint64_t request { 0 };
        bool admitted { false };
        bool byLedger { false }; // The token came from a ledger, which takes it back if the request does not run
        Duration retryAfter {};  // For a request without a token
    };
    using Decisions = std::vector<Decision>;

    explicit RateAccount(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    void add(uint64_t request) { m_waiting.push_back({ request, 0 }); }
    bool hasWaiting() const { return !m_waiting.empty(); }
    bool hasOpenTokenRequest() const { return m_openSequence; }
    uint64_t openSequence() const { return m_openSequence; } // Its sequence; 0: none is open
    unsigned requestedTokens() const { return static_cast<unsigned>(m_requestedCount); }

    // Opens a question for all requests that wait, and returns their number. One question is open at a time.
    unsigned openTokenRequest(uint64_t sequence);
    // A ledger's answer. Tokens that come after the question's time-out go to requests that wait by then.
    Decisions applyGrant(uint64_t sequence, const RateGrant&);
    // The open question had no answer in time; these tokens come from the own part.
    Decisions applyLocalGrantOnTimeout(const RateGrant&);
    // No ledger can be asked: the own part decides.
    Decisions applyLocalGrant(const RateGrant&);

    // A request that had a ledger's token was refused and has not run.
    void returnToken() { ++m_settlement.unused; }
    bool hasSettlement() const { return m_settlement.unused || m_settlement.spentLocally; }
    RateSettlement settle();

private:
    struct Waiting {
        uint64_t request { 0 };
        unsigned timeouts { 0 }; // Of questions that were asked for it
    };

    unsigned admit(unsigned tokens, bool byLedger, Decisions&);
    void refuse(Duration retryAfter, bool byLedger, Decisions&);

    const MeshSettings& m_settings;
    std::deque<Waiting> m_waiting; // Those of the open question first
    size_t m_requestedCount { 0 }; // Requests of the open question
    uint64_t m_openSequence { 0 }; // Its sequence; 0: none
    RateSettlement m_settlement;
};

} // namespace shallot
