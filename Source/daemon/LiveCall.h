#pragma once

#include "core/RefCounted.h"
#include "core/RequestContext.h"
#include "daemon/CallOutcome.h"
#include "policy/RequestQueue.h"
#include "policy/RetryBudget.h"

#include <functional>
#include <string>
#include <vector>

namespace shallot {

// One call that waits for the backend server or runs on it.
struct LiveCall : RefCounted<LiveCall> {
    QueueItem item; // Place in the queue; item.id names the call
    RequestContext context;
    HTTPRequest request;
    RequestID token; // Names this call in the backend server's onward calls
    TimePoint deadline {};
    uint64_t fingerprint { 0 };
    RetryTokens tokens;
    float downstreamLevel { 0 }; // Highest level that an onward call's answer carried
    bool running { false };      // Handed to the backend server
    CallCompletion completion;
    std::vector<std::function<void()>> onEnd; // Cancels the onward calls that are still open
};

} // namespace shallot
