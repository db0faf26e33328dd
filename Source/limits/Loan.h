#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallot {

// A lease on a fraction of an organisation's rate and burst, granted to one daemon for a limited time, with tokens to start with.
// The lender is the daemon that owns the organisation's partition; the borrower is the daemon that admits requests with the
// tokens.
struct Loan {
    std::string organisation;
    uint64_t id { 0 };  // Unique per lender
    double rate { 0 };  // Tokens per second; 0 for a loan of whole tokens without refill
    double burst { 0 }; // 0 when the lender granted nothing
    double tokens { 0 };
    Duration retryAfter {}; // Time to wait before the next request, when the grant is empty or too small
};

// A loan that its borrower returns before it expires, with the tokens left in it.
struct ReturnedLoan {
    uint64_t id { 0 };
    double tokens { 0 };
};

// A borrower's request to a lender for one organisation: loans that it returns and demand that it has.
struct LoanRequest {
    std::string organisation;
    std::vector<ReturnedLoan> returned; // The borrower has stopped using them
    double demand { 0 };                // Requests per second that the borrower wants to admit; 0 requests no loan
    uint32_t waiting { 0 };             // Requests that the borrower holds until tokens arrive
};

} // namespace shallot
