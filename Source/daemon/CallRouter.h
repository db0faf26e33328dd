#pragma once

#include "core/RefCounted.h"
#include "core/RequestContext.h"
#include "daemon/CallOutcome.h"
#include "daemon/DownstreamLevels.h"
#include "policy/EndpointTable.h"
#include "policy/RetryBudget.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

namespace wire {
struct AnswerT;
}

class CallExecutor;
class PeerLink;
class PeerLinks;
struct PolicySettings;

struct RouterCounters {
    uint64_t calls { 0 };
    uint64_t retries { 0 };
    uint64_t reroutes { 0 };
    uint64_t succeeded { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };
};

// Caller's side of a call: chooses an endpoint, sends the call, retries within the request's retry tokens, and fails the call
// when its deadline has passed.
class CallRouter {
public:
    CallRouter(const PolicySettings&, EndpointTable&, PeerLinks&, CallExecutor&, std::string ownMember);

    // Calls a service. The completion is called exactly once unless the call is cancelled. Returns the call's id.
    uint64_t start(RequestContext, std::string service, HTTPRequest, TimePoint now, CallCompletion);
    void cancel(uint64_t id);

    void onAnswer(PeerLink&, wire::AnswerT&);
    void onLinkClosed(PeerLink&);
    void tick(TimePoint now);

    size_t pending() const { return m_calls.size(); }
    const RouterCounters& counters() const { return m_counters; }
    DownstreamLevels& levels() { return m_levels; }

private:
    struct PendingCall : RefCounted<PendingCall> {
        uint64_t id { 0 };
        RequestContext context;
        std::string service;
        HTTPRequest request;
        CallCompletion completion;
        TimePoint deadline {};
        RetryTokens tokens;
        uint8_t reroutes { 0 };
        Error uncertainError { ErrorKind::None, {}, {} }; // Of an attempt that may have run; later refusals do not replace it
        std::vector<std::string> triedMembers;            // Members that refused or failed this call
        std::string member;                               // Member that the attempt in progress was sent to
        TimePoint attemptStart {};
        RefPtr<PeerLink> link; // Null while the attempt runs on this daemon's executor
        uint64_t executorCallID { 0 };
        uint64_t attemptID { 0 }; // Responses to earlier attempts are ignored
    };

    void startNextAttempt(const RefPtr<PendingCall>&, TimePoint now);
    void sendLocally(const RefPtr<PendingCall>&, const RequestContext&, TimePoint now);
    bool sendToPeer(const RefPtr<PendingCall>&, const RequestContext&, const std::string& address);
    void onOutcome(const RefPtr<PendingCall>&, uint16_t allocated, CallOutcome, TimePoint now);
    bool mayRetry(PendingCall&, const Error&);
    void complete(const RefPtr<PendingCall>&, Result<HTTPResponse>, float level);
    void endAttempt(PendingCall&);

    const PolicySettings& m_settings;
    EndpointTable& m_endpoints;
    PeerLinks& m_links;
    CallExecutor& m_executor;
    std::string m_ownMember;
    RetryBudget m_retryBudget;
    DownstreamLevels m_levels;
    RouterCounters m_counters;
    std::unordered_map<uint64_t, RefPtr<PendingCall>> m_calls;    // By call id
    std::unordered_map<uint64_t, RefPtr<PendingCall>> m_attempts; // By attempt id, which frames carry as the call id
    std::unordered_map<uint64_t, uint16_t> m_allocatedTokens;     // Sent with each attempt, by attempt id
    uint64_t m_nextID { 1 };
};

} // namespace shallot
