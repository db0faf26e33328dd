#pragma once

#include "core/Time.h"

#include <algorithm>

namespace shallot {

// A token bucket as plain data: `rate` tokens are added per second, up to `burst`.
struct TokenBucket {
    double rate { 0 };
    double burst { 0 };
    double tokens { 0 };
    TimePoint updated {};

    void refill(TimePoint now)
    {
        if (now > updated) {
            tokens = std::max(tokens, std::min(burst, tokens + rate * toSeconds(now - updated)));
            tokens = std::min(tokens, std::max(0.0, burst));
            updated = now;
        }
    }

    bool tryTake(TimePoint now)
    {
        refill(now);
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }
};

} // namespace shallot
