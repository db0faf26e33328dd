#pragma once

#include <cstdint>

namespace shallot {

// One member's account with the ledger of one organisation: which question is open, and what has to be settled with the next
// frame to the ledger. The load it answers: a keeper that is slow to answer, so that a request is decided before the ledger's
// word comes.
class RateAccount {
public:
    // What goes to the ledger beside a question or a greeting.
    struct Settlement {
        unsigned unused { 0 }; // Tokens that the ledger granted and no request used
        unsigned spent { 0 };  // Tokens of the member's own part, which the ledger goes on dealing
    };

    // One question is open at a time.
    void ask(uint64_t sequence) { m_question = sequence; }
    bool isAsking() const { return m_question; }
    // Whether the tokens of this answer are for the open question, which it closes. Those of an earlier one go back.
    bool takeAnswer(uint64_t sequence, unsigned tokens);
    // Closes the open question without an answer; the member's own part gave this many tokens instead.
    void takeOwnPart(unsigned tokens);
    // A request that had a ledger's token was refused and has not run.
    void giveBack() { ++m_settlement.unused; }

    bool hasSettlement() const { return m_settlement.unused || m_settlement.spent; }
    Settlement settle();

private:
    uint64_t m_question { 0 }; // Its sequence; 0: none
    Settlement m_settlement;
};

} // namespace shallot
