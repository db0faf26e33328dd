#include "daemon/CallRouter.h"

#include "daemon/CallExecutor.h"
#include "daemon/CallFrames.h"
#include "net/PeerLinks.h"
#include "policy/PolicySettings.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

// The callee enforces the time limit too; its answer gets this much longer to arrive.
constexpr auto answerGrace = 5ms;

bool isNotRun(const Error& error)
{
    return errorInfo(error.kind).execution == ExecutionState::NotExecuted;
}

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
        tryNext(call, now);
    return call->id;
}

void CallRouter::tryNext(const RefPtr<PendingCall>& call, TimePoint now)
{
    if (call->deadline <= now) {
        complete(call, fail(ErrorKind::ExpiredInQueue), 0);
        return;
    }
    auto* endpoint = m_endpoints.choose(call->service, now, call->tried);
    if (!endpoint) {
        complete(call, fail(ErrorKind::NoBackendServer, "service \"" + call->service + "\""), 0);
        return;
    }
    call->member = endpoint->member;
    call->attempt = m_nextID++;
    call->attemptStart = now;
    RequestContext context = call->context;
    context.remaining = call->deadline - now;
    // The callee gets all tokens; they come back with its answer, and one that is lost takes them along.
    context.retryTokens = call->tokens.remaining();
    call->tokens = RetryTokens(0);
    m_attempts[call->attempt] = call;
    m_allocatedTokens[call->attempt] = context.retryTokens;
    m_endpoints.recordStart(call->member);
    if (call->member == m_ownMember) {
        sendLocally(call, context, now);
        return;
    }
    if (sendToPeer(call, context, endpoint->address))
        return;
    const auto allocated = context.retryTokens;
    stopAttempt(*call);
    m_endpoints.recordFailure(call->member, now);
    onOutcome(call, allocated, { fail(ErrorKind::NoBackendServer, "no link to " + call->member), allocated, 0 }, now);
}

void CallRouter::sendLocally(const RefPtr<PendingCall>& call, const RequestContext& context, TimePoint now)
{
    call->link = nullptr;
    const auto attempt = call->attempt;
    const auto executorID
        = m_executor.submit(context, call->service, call->request, now, [this, call, attempt](CallOutcome outcome) {
              if (call->attempt != attempt || !m_attempts.contains(attempt))
                  return;
              const auto allocated = m_allocatedTokens[attempt];
              stopAttempt(*call);
              onOutcome(call, allocated, std::move(outcome), MonotonicClock::now());
          });
    if (call->attempt == attempt)
        call->executorID = executorID;
}

bool CallRouter::sendToPeer(const RefPtr<PendingCall>& call, const RequestContext& context, const std::string& address)
{
    call->executorID = 0;
    call->link = m_links.linkTo(address);
    return call->link && call->link->send(makeCallFrame(call->attempt, context, call->service, call->request));
}

void CallRouter::stopAttempt(PendingCall& call)
{
    if (!m_attempts.erase(call.attempt))
        return;
    m_allocatedTokens.erase(call.attempt);
    m_endpoints.recordEnd(call.member, MonotonicClock::now() - call.attemptStart);
}

void CallRouter::onAnswer(PeerLink& link, wire::AnswerT& answer)
{
    const auto found = m_attempts.find(answer.id);
    // An answer to an attempt that was given up, or from a peer that was not asked, reaches nobody.
    if (found == m_attempts.end() || found->second->link.get() != &link)
        return;
    const auto call = found->second;
    const auto allocated = m_allocatedTokens[answer.id];
    stopAttempt(*call);
    onOutcome(call, allocated, readOutcome(answer), MonotonicClock::now());
}

void CallRouter::onLinkClosed(PeerLink& link)
{
    std::vector<RefPtr<PendingCall>> lost;
    for (const auto& [attempt, call] : m_attempts) {
        if (call->link.get() == &link)
            lost.push_back(call);
    }
    const auto now = MonotonicClock::now();
    for (const auto& call : lost) {
        const auto allocated = m_allocatedTokens[call->attempt];
        stopAttempt(*call);
        m_endpoints.recordFailure(call->member, now);
        // Before the handshake ended nothing had left, so "not run" is certain and no token is lost.
        if (!link.isEstablished())
            onOutcome(call, allocated, { fail(ErrorKind::NoBackendServer, "no link to " + call->member), allocated, 0 }, now);
        else
            onOutcome(
                call, allocated, { fail(ErrorKind::BackendFailed, "the link to " + call->member + " was lost"), 0, 0 }, now);
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
    if (!isNotRun(error))
        call->unknownFate = error;
    if (isNotRun(error))
        m_endpoints.recordRefusal(call->member, now);
    else
        m_endpoints.recordFailure(call->member, now);
    call->tried.push_back(call->member);
    if (mayTryAgain(*call, error)) {
        tryNext(call, now);
        return;
    }
    complete(call, std::move(outcome.response), outcome.level);
}

bool CallRouter::mayTryAgain(PendingCall& call, const Error& error)
{
    const auto& answer = errorInfo(error.kind);
    if (!answer.retryable)
        return false;
    if (answer.execution == ExecutionState::NotExecuted) {
        // An overloaded service is not helped by asking its other members for the same class.
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
        if (isNotRun(error) && call->unknownFate.kind != ErrorKind::None)
            error = call->unknownFate;
        const bool notRun = isNotRun(error);
        ++(notRun ? m_counters.refused : m_counters.failed);
        if (!notRun && !call->context.idempotent)
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
    if (!m_attempts.contains(call->attempt))
        return;
    if (call->link)
        call->link->send(makeCancelFrame(call->attempt));
    else
        m_executor.cancel(call->executorID);
    stopAttempt(*call);
}

void CallRouter::tick(TimePoint now)
{
    std::vector<RefPtr<PendingCall>> late;
    for (const auto& [id, call] : m_calls) {
        if (call->deadline + answerGrace <= now)
            late.push_back(call);
    }
    for (const auto& call : late) {
        if (m_attempts.contains(call->attempt) && call->link)
            call->link->send(makeCancelFrame(call->attempt));
        else if (m_attempts.contains(call->attempt))
            m_executor.cancel(call->executorID);
        stopAttempt(*call);
        complete(call, fail(ErrorKind::TimedOut, "no answer in time"), 0);
    }
}

} // namespace shallot
