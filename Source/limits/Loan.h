#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallot {

// Part of an organisation's rate and burst that one daemon may use for a limited time, with the tokens in it.
struct Loan {
    std::string organisation;
    uint64_t id { 0 };  // Unique at its lender
    double rate { 0 };  // 0 for single tokens
    double burst { 0 }; // 0 when the lender had nothing
    double tokens { 0 };
    Duration retryAfter {}; // When an empty-handed borrower should ask again
};

struct ReturnedLoan {
    uint64_t id { 0 };
    double tokens { 0 };
};

// What a borrower tells a lender about one organisation.
struct LoanRequest {
    std::string organisation;
    std::vector<ReturnedLoan> returned; // No longer used by the borrower
    double demand { 0 };                // Requests a second that it would like to admit; 0 asks for nothing
    uint32_t waiting { 0 };             // Requests held for this loan
};

} // namespace shallot
