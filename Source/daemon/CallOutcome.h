#pragma once

#include "core/Error.h"
#include "net/HTTPMessage.h"

#include <cstdint>
#include <functional>

namespace shallot {

// Result of one call, with the retry tokens and the admission level that the callee returned.
struct CallOutcome {
    Result<HTTPResponse> response;
    uint16_t retryTokens { 0 }; // Unused retry tokens that return to the caller
    float level { 0 };          // Lowest score that the whole downstream path admits
};

using CallCompletion = std::function<void(CallOutcome)>;

} // namespace shallot
