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

// One call that is queued for the backend server or runs on it.
struct LiveCall : RefCounted<LiveCall> {
    QueueItem item; // Queue entry; item.id identifies the call
    RequestContext context;
    HTTPRequest request;
    RequestID callToken; // Identifies this call in nested calls of the backend server
    TimePoint deadline {};
    uint64_t fingerprint { 0 };
    RetryTokens tokens;
    float downstreamLevel { 0 }; // Highest admission level that a nested call returned
    bool running { false };      // Dispatched to the backend server
    CallCompletion completion;
    std::vector<std::function<void()>> onEnd; // Cancel the nested calls that are still open
};

} // namespace shallot
