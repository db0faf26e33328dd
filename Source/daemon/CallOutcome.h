#pragma once

#include "core/Error.h"
#include "net/HTTPMessage.h"

#include <cstdint>
#include <functional>

namespace shallot {

// How one call ended, and what its answer says about the callee.
struct CallOutcome {
    Result<HTTPResponse> response;
    uint16_t retryTokens { 0 }; // Tokens that come back to the caller
    float level { 0 };          // Lowest admission score on the path below
};

using CallCompletion = std::function<void(CallOutcome)>;

} // namespace shallot
