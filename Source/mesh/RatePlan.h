#pragma once

#include "core/Time.h"

namespace shallot {

// An organisation's rate limit: requests per second, and how many at once above that. A rate of 0 means no limit.
struct RatePlan {
    double rate { 0 };
    double burst { 0 };
};

// Tokens granted for requests, one each.
struct RateGrant {
    unsigned tokens { 0 };
    Duration retryAfter {}; // For the requests that got no token: time until one is expected
};

// What a member reports to a ledger in addition to its token requests.
struct RateSettlement {
    unsigned unused { 0 };       // Tokens granted by the ledger that no request used
    unsigned spentLocally { 0 }; // Tokens taken from the member's local share while the ledger may still grant from it
};

} // namespace shallot
