#include "daemon/CallRouter.h"

#include "daemon/CallExecutor.h"
#include "daemon/CallFrames.h"
#include "net/PeerLinks.h"
#include "policy/PolicySettings.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

// The callee enforces the time limit too; its response gets this much longer to arrive.
constexpr auto responseGrace = 5ms;

} // namespace

CallRouter::CallRouter(
    const PolicySettings& settings, EndpointTable& endpoints, PeerLinks& links, CallExecutor& executor, std::string ownMember)
    : m_settings(settings)
    , m_endpoints(endpoints)
    , m_links(links)
    , m_executor(executor)
    , m_ownMember(std::move(ownMember))
    , m_retryBudget(settings.retryDepositPerSuccess, settings.retryBalanceMaximum)
    , m_levels(settings.levelLifetime)
{
}

uint64_t CallRouter::start(
    RequestContext context, std::string service, HTTPRequest request, TimePoint now, CallCompletion completion)
{
    ++m_counters.calls;
    auto call = makeRef<PendingCall>();
    call->id = m_nextID++;
    call->deadline = now + context.remaining;
    call->tokens = RetryTokens(context.retryTokens);
    call->context = std::move(context);
    call->service = std::move(service);
    call->request = std::move(request);
    call->completion = std::move(completion);
    m_calls[call->id] = call;
    if (call->context.hops > maximumHops)
        complete(call, fail(ErrorKind::TooManyHops), 0);
    else
        startNextAttempt(call, now);
    return call->id;
}

void CallRouter::startNextAttempt(const RefPtr<PendingCall>& call, TimePoint now)
{
    if (call->deadline <= now) {
        complete(call, fail(ErrorKind::ExpiredInQueue), 0);
        return;
    }
    auto* endpoint = m_endpoints.choose(call->service, now, call->triedMembers);
    if (!endpoint) {
        complete(call, fail(ErrorKind::NoBackendServer, "no endpoint left for service \"" + call->service + "\""), 0);
        return;
    }
    call->member = endpoint->member;
    call->attemptID = m_nextID++;
    call->attemptStart = now;
    RequestContext context = call->context;
    context.remaining = call->deadline - now;
    // The callee gets all retry tokens and returns the unused ones with its response. A lost response loses them, so that tokens
    // are never spent twice.
    context.retryTokens = call->tokens.remaining();
    call->tokens = RetryTokens(0);
    m_attempts[call->attemptID] = call;
    m_allocatedTokens[call->attemptID] = context.retryTokens;
    m_endpoints.recordStart(call->member);
    if (call->member == m_ownMember) {
        sendLocally(call, context, now);
        return;
    }
    if (sendToPeer(call, context, endpoint->address))
        return;
    const auto allocated = context.retryTokens;
    endAttempt(*call);
    m_endpoints.recordFailure(call->member, now);
    onOutcome(
        call, allocated, { fail(ErrorKind::NoBackendServer, "no connection to member " + call->member), allocated, 0 }, now);
}

void CallRouter::sendLocally(const RefPtr<PendingCall>& call, const RequestContext& context, TimePoint now)
{
    call->link = nullptr;
    const auto attemptID = call->attemptID;
    const auto executorCallID
        = m_executor.submit(context, call->service, call->request, now, [this, call, attemptID](CallOutcome outcome) {
              if (call->attemptID != attemptID || !m_attempts.contains(attemptID))
                  return;
              const auto allocated = m_allocatedTokens[attemptID];
              endAttempt(*call);
              onOutcome(call, allocated, std::move(outcome), MonotonicClock::now());
          });
    if (call->attemptID == attemptID)
        call->executorCallID = executorCallID;
}

bool CallRouter::sendToPeer(const RefPtr<PendingCall>& call, const RequestContext& context, const std::string& address)
{
    call->executorCallID = 0;
    call->link = m_links.linkTo(address);
    return call->link && call->link->send(makeCallFrame(call->attemptID, context, call->service, call->request));
}

void CallRouter::endAttempt(PendingCall& call)
{
    if (!m_attempts.erase(call.attemptID))
        return;
    m_allocatedTokens.erase(call.attemptID);
    m_endpoints.recordEnd(call.member, MonotonicClock::now() - call.attemptStart);
}

void CallRouter::onAnswer(PeerLink& link, wire::AnswerT& answer)
{
    const auto found = m_attempts.find(answer.id);
    // A response to an abandoned attempt, or from another peer than the one called, is dropped.
    if (found == m_attempts.end() || found->second->link.get() != &link)
        return;
    const auto call = found->second;
    const auto allocated = m_allocatedTokens[answer.id];
    endAttempt(*call);
    onOutcome(call, allocated, readOutcome(answer), MonotonicClock::now());
}

void CallRouter::onLinkClosed(PeerLink& link)
{
    std::vector<RefPtr<PendingCall>> lost;
    for (const auto& [attemptID, call] : m_attempts) {
        if (call->link.get() == &link)
            lost.push_back(call);
    }
    const auto now = MonotonicClock::now();
    for (const auto& call : lost) {
        const auto allocated = m_allocatedTokens[call->attemptID];
        endAttempt(*call);
        m_endpoints.recordFailure(call->member, now);
        // Nothing is sent before the handshake ends, so the call was certainly not executed and keeps its retry tokens.
        if (!link.isEstablished())
            onOutcome(call, allocated,
                { fail(ErrorKind::NoBackendServer, "no connection to member " + call->member), allocated, 0 }, now);
        else
            onOutcome(call, allocated,
                { fail(ErrorKind::BackendFailed, "the connection to member " + call->member + " was lost before its response"), 0,
                    0 },
                now);
    }
}

void CallRouter::onOutcome(const RefPtr<PendingCall>& call, uint16_t allocated, CallOutcome outcome, TimePoint now)
{
    call->tokens.reclaim(allocated, outcome.retryTokens);
    m_levels.record(call->service, outcome.level, now);
    if (outcome.response) {
        ++m_counters.succeeded;
        m_retryBudget.recordSuccess();
        complete(call, std::move(outcome.response), outcome.level);
        return;
    }
    const auto& error = outcome.response.error();
    if (!isNotExecuted(error))
        call->uncertainError = error;
    if (isNotExecuted(error))
        m_endpoints.recordRefusal(call->member, now);
    else
        m_endpoints.recordFailure(call->member, now);
    call->triedMembers.push_back(call->member);
    if (mayRetry(*call, error)) {
        startNextAttempt(call, now);
        return;
    }
    complete(call, std::move(outcome.response), outcome.level);
}

bool CallRouter::mayRetry(PendingCall& call, const Error& error)
{
    const auto& info = errorInfo(error.kind);
    if (!info.retryable)
        return false;
    if (info.execution == ExecutionState::NotExecuted) {
        // The other endpoints of an overloaded service shed the same class, so more reroutes would not help.
        if (error.kind == ErrorKind::ExpiredInQueue || call.reroutes >= m_settings.rerouteMaximum)
            return false;
        ++call.reroutes;
        ++m_counters.reroutes;
        return true;
    }
    if (!call.context.idempotent || !call.tokens.remaining() || !m_retryBudget.tryTake())
        return false;
    call.tokens.tryTake();
    ++m_counters.retries;
    return true;
}

void CallRouter::complete(const RefPtr<PendingCall>& call, Result<HTTPResponse> response, float level)
{
    m_calls.erase(call->id);
    if (!response) {
        auto& error = response.error();
        if (isNotExecuted(error) && call->uncertainError.kind != ErrorKind::None)
            error = call->uncertainError;
        const bool notExecuted = isNotExecuted(error);
        ++(notExecuted ? m_counters.refused : m_counters.failed);
        if (!notExecuted && !call->context.idempotent)
            error.kind = ErrorKind::OutcomeUnknown;
    }
    if (const auto completion = std::exchange(call->completion, nullptr))
        completion({ std::move(response), call->tokens.remaining(), level });
}

void CallRouter::cancel(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto call = found->second;
    m_calls.erase(found);
    call->completion = nullptr;
    if (!m_attempts.contains(call->attemptID))
        return;
    if (call->link)
        call->link->send(makeCancelFrame(call->attemptID));
    else
        m_executor.cancel(call->executorCallID);
    endAttempt(*call);
}

void CallRouter::tick(TimePoint now)
{
    std::vector<RefPtr<PendingCall>> overdue;
    for (const auto& [id, call] : m_calls) {
        if (call->deadline + responseGrace <= now)
            overdue.push_back(call);
    }
    for (const auto& call : overdue) {
        if (m_attempts.contains(call->attemptID) && call->link)
            call->link->send(makeCancelFrame(call->attemptID));
        else if (m_attempts.contains(call->attemptID))
            m_executor.cancel(call->executorCallID);
        endAttempt(*call);
        complete(call, fail(ErrorKind::TimedOut, "no response before the deadline"), 0);
    }
}

} // namespace shallot
