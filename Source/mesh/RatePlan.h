#pragma once

#include "core/Time.h"

namespace shallot {

// An organisation's plan: requests a second, and how many above that at once. A rate of 0 has no limit.
struct RatePlan {
    double rate { 0 };
    double burst { 0 };
};

// Tokens that a ledger gives, one for each request.
struct RateGrant {
    unsigned tokens { 0 };
    Duration retryAfter {}; // For the requests that got none: when there is room for them
};

// What a member has to settle with a ledger, beside what it asks for.
struct RateSettlement {
    unsigned unused { 0 };       // Tokens that the ledger granted and no request used
    unsigned spentLocally { 0 }; // Tokens of the member's own part, which the ledger goes on dealing
};

} // namespace shallot
