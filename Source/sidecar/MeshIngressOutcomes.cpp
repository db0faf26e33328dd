// Index of this file
//   Outcomes:   onResponse, onGoAway, onLinkClosed, onUnresponsive, attemptsOn, onOutcome, recordFailure, repeat, mayRetry
//   Lost links: awaitState, queryState, onQueryDue, onCallState, replaceAttempt, returnToReplaced, loseAttempt
//   Responses:  retryAfterFor, respond, logCompletion, onDisconnect, onDeadline

#include "sidecar/MeshIngress.h"

#include "core/EventLog.h"
#include "daemon/CallFrames.h"
#include "mesh/CrashSuspects.h"
#include "mesh/MeshSettings.h"
#include "platform/RequestCodec.h"
#include "sidecar/DistributedRateLimiter.h"
#include "sidecar/MeshFrames.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshMetrics.h"
#include "sidecar/MeshView.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr unsigned maximumRejectedLinks = 3; // Then no daemon serves links there; one that lacks sockets has some again by then

} // namespace

// Outcomes

void MeshIngress::onResponse(PeerLink& link, wire::AnswerT& answerFrame)
{
    const auto found = m_attempts.find(answerFrame.id);
    if (found == m_attempts.end() || found->second->link.get() != &link)
        return;
    const auto attempt = found->second;
    onOutcome(*attempt, readMeshOutcome(answerFrame), MonotonicClock::now());
}

std::vector<RefPtr<MeshIngress::Attempt>> MeshIngress::attemptsOn(const PeerLink& link) const
{
    std::vector<RefPtr<Attempt>> found;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt->link.get() == &link)
            found.push_back(attempt);
    }
    return found;
}

bool MeshIngress::onGoAway(PeerLink& link)
{
    bool isAsked = false;
    const auto now = MonotonicClock::now();
    auto report = EndpointReport {};
    report.available = false;
    report.leaving = true;
    for (const auto& attempt : attemptsOn(link)) {
        if (!m_attempts.contains(attempt->id))
            continue;
        // The promise does not cover a call that was sent on another link.
        if (attempt->resumed)
            isAsked = true;
        else
            onOutcome(*attempt, { fail(ErrorKind::Draining, attempt->member + " has ended"), report, false }, now);
    }
    return isAsked;
}

void MeshIngress::onLinkClosed(PeerLink& link)
{
    const auto now = MonotonicClock::now();
    auto report = EndpointReport {};
    report.available = false;
    for (const auto& attempt : attemptsOn(link)) {
        if (!m_attempts.contains(attempt->id))
            continue; // It ended with an earlier one
        const bool wasSent = link.isEstablished() || attempt->awaitsState;
        if (!wasSent)
            onOutcome(*attempt, { fail(ErrorKind::NoBackendServer, "no link to " + attempt->member), report, false }, now);
        else if (link.wasRefused() || (link.wasRejected() && ++attempt->rejectedLinks >= maximumRejectedLinks))
            loseAttempt(*attempt, now);
        else
            awaitState(*attempt, link, now);
    }
}

// A daemon that stands still answers nothing, but its link ends only after a second; its calls can't wait for that.
void MeshIngress::onUnresponsive(PeerLink& link, Duration unansweredFor)
{
    if (unansweredFor < m_dependencies.settings.callQueryTimeout)
        return;
    const auto now = MonotonicClock::now();
    for (const auto& attempt : attemptsOn(link)) {
        if (m_attempts.contains(attempt->id))
            replaceAttempt(*attempt, now);
    }
}

// An attempt outlives its link: it ends with its response, at its deadline, or when its daemon is gone. Only that daemon knows
// whether the call was begun, so it is asked over new links, at once and then at intervals.
void MeshIngress::awaitState(Attempt& attempt, const PeerLink& ended, TimePoint now)
{
    if (std::exchange(attempt.awaitsState, true)) {
        m_queries.set(attempt.id, now + m_dependencies.settings.callQueryInterval);
        return;
    }
    attempt.resumed = true;
    attempt.memberBoot = ended.peerBoot();
    attempt.awaitsStateSince = now;
    attempt.rejectedLinks = 0;
    queryState(attempt, now);
}

void MeshIngress::queryState(Attempt& attempt, TimePoint now)
{
    const auto& settings = m_dependencies.settings;
    const auto link = m_dependencies.links.linkTo(attempt.address);
    if (!link || !link->send(makeCallQueryFrame(attempt.id, attempt.memberBoot))) {
        m_queries.set(attempt.id, now + settings.callQueryInterval);
        return;
    }
    attempt.link = link;
    m_dependencies.links.addOutstanding(*link);
    m_queries.set(attempt.id, now + settings.callQueryTimeout);
}

void MeshIngress::onQueryDue(uint64_t attemptID)
{
    const auto found = m_attempts.find(attemptID);
    if (found == m_attempts.end() || !found->second->awaitsState)
        return;
    const auto attempt = found->second;
    const auto now = MonotonicClock::now();
    if (now >= attempt->awaitsStateSince + m_dependencies.settings.callQueryTimeout)
        replaceAttempt(*attempt, now);
    if (m_attempts.contains(attemptID) && !attempt->link->isOpen())
        queryState(*attempt, now);
}

void MeshIngress::onCallState(PeerLink& link, const wire::CallStateT& message)
{
    const auto found = m_attempts.find(message.id);
    if (found == m_attempts.end() || found->second->link.get() != &link || !found->second->awaitsState)
        return;
    const auto attempt = found->second;
    const auto now = MonotonicClock::now();
    const auto state = static_cast<ServedCallState>(message.state);
    if (state == ServedCallState::InProgress) {
        attempt->awaitsState = false;
        m_queries.remove(attempt->id);
        return;
    }
    if (state != ServedCallState::NotBegun || attempt->request->deadline <= now) {
        loseAttempt(*attempt, now);
        return;
    }
    const auto* endpoint = m_dependencies.view.endpoints().find(attempt->member);
    const auto report = endpoint ? endpoint->report : EndpointReport {};
    onOutcome(*attempt, { fail(ErrorKind::NoBackendServer, "the call did not reach " + attempt->member), report, false }, now);
}

// Sends the request to another backend server as well, if it may run again. The first one may be at work and is answered
// unless the other one answers before, which may refuse the request.
void MeshIngress::replaceAttempt(Attempt& attempt, TimePoint now)
{
    auto& pending = *attempt.request;
    const ChoiceConditions conditions { .anyZone = pending.reroutes > 0, .reachableOnly = true, .regions = pending.regions() };
    if (attempt.soughtOthers || pending.replacedAttempt
        || !m_dependencies.view.endpoints().choose(pending.call.service, now, pending.triedMembers, conditions))
        return;
    attempt.soughtOthers = true; // Each further draw would raise this daemon's part of the retry budget
    const MeshOutcome lost { fail(ErrorKind::BackendFailed, "no link to " + attempt.member), {}, true };
    ++pending.backendsReached;
    if (!mayRetry(pending, lost, now)) {
        --pending.backendsReached;
        return;
    }
    attempt.countsAsReached = true;
    pending.replacedAttempt = std::exchange(pending.attempt, nullptr);
    repeat(pending, lost, now);
}

// What was sent elsewhere has failed; the attempt that it should replace goes on.
bool MeshIngress::returnToReplaced(PendingRequest& pending)
{
    if (!pending.replacedAttempt)
        return false;
    pending.attempt = std::exchange(pending.replacedAttempt, nullptr);
    pending.member = pending.attempt->member;
    return true;
}

void MeshIngress::loseAttempt(Attempt& attempt, TimePoint now)
{
    auto report = EndpointReport {};
    report.available = false;
    onOutcome(attempt, { fail(ErrorKind::BackendFailed, "the link to " + attempt.member + " was lost"), report, true }, now);
}

void MeshIngress::onOutcome(Attempt& attempt, MeshOutcome outcome, TimePoint now)
{
    auto& pending = *attempt.request;
    const RefPtr<PendingRequest> protect(&pending);
    const RefPtr<Attempt> protectAttempt(&attempt);
    endAttempt(attempt);
    auto& endpoints = m_dependencies.view.endpoints();
    endpoints.recordReport(attempt.member, outcome.report, now);
    if (pending.parent)
        m_dependencies.executor.recordPressure(*pending.parent, outcome.report.pressure, now);
    const bool hasReached = outcome.response || outcome.reachedBackend;
    pending.backendsReached += hasReached ? 1 : 0;
    auto& reached = pending.reachedMembers;
    if (hasReached && std::find(reached.begin(), reached.end(), attempt.member) == reached.end())
        reached.push_back(attempt.member);
    pending.backendsReached -= attempt.countsAsReached ? 1 : 0;
    const bool isError = !outcome.response || outcome.response->status >= 500;
    if (!isError) {
        pending.member = attempt.member;
        respond(pending, outcome.response, now);
        return;
    }
    if (!outcome.response && outcome.reachedBackend)
        endpoints.recordFailure(attempt.member, now);
    const bool wasReplaced = pending.attempt != nullptr;
    if (!wasReplaced && mayRetry(pending, outcome, now)) {
        recordFailure(pending, outcome);
        repeat(pending, outcome, now);
        return;
    }
    if (wasReplaced || (!outcome.response && returnToReplaced(pending))) {
        recordFailure(pending, std::move(outcome));
        return;
    }
    const bool mayHaveExecuted = outcome.response || !isNotExecuted(outcome.response.error());
    if (!mayHaveExecuted && pending.earlierResponse)
        respond(pending, *pending.earlierResponse, now);
    else
        respond(pending, outcome.response, now);
}

void MeshIngress::recordFailure(PendingRequest& pending, MeshOutcome outcome)
{
    if (outcome.response || !isNotExecuted(outcome.response.error()))
        pending.earlierResponse = std::move(outcome.response);
    else if (outcome.response.error().kind == ErrorKind::Overloaded)
        pending.refusal = std::move(outcome.response.error());
}

void MeshIngress::repeat(PendingRequest& pending, const MeshOutcome& outcome, TimePoint now)
{
    EventLog::write("request-repeated",
        { { "request", pending.attemptID }, { "member", pending.member }, { "service", pending.call.service },
            { "reason", outcome.response ? "status" : errorInfo(outcome.response.error().kind).name },
            { "arrivals", pending.backendsReached }, { "reroutes", pending.reroutes },
            { "replaces", pending.replacedAttempt != nullptr } });
    dispatch(pending, now);
}

bool MeshIngress::mayRetry(PendingRequest& pending, const MeshOutcome& outcome, TimePoint now)
{
    if (pending.deadline <= now || now >= m_endBy)
        return false;
    const bool mayHaveExecuted = outcome.response || !isNotExecuted(outcome.response.error());
    if (mayHaveExecuted && !pending.call.context.idempotent)
        return false;
    if (!outcome.response) {
        const auto kind = outcome.response.error().kind;
        if (kind == ErrorKind::TimedOut || kind == ErrorKind::Cancelled || kind == ErrorKind::ExpiredInQueue
            || kind == ErrorKind::CrashSuspect || kind == ErrorKind::RetryBudgetExhausted)
            return false;
        if (!outcome.reachedBackend) {
            // If a downstream service is overloaded, other backend servers of this service would refuse as well; a rate limit is
            // one backend server's own.
            const bool downstreamOverloaded = !pending.parent && !outcome.report.rateLimit
                && outcome.report.pressure > m_dependencies.settings.pressureTarget;
            if (pending.reroutes >= m_dependencies.settings.reroutes || (kind == ErrorKind::Overloaded && downstreamOverloaded))
                return false;
            ++pending.reroutes;
            return true;
        }
        auto& suspects = m_dependencies.crashSuspects;
        if (!suspects.isEmpty() && suspects.isSuspected(fingerprintOf(pending, pending.call.request), WallClock::now()))
            return false; // A retry may crash another backend server
    } else if (outcome.response->status == 504) {
        return false;
    }
    // If a run failed because of a nested call, a retry would fail the same way; retries are better spent on the nested call.
    if (outcome.nestedCallFailed)
        return false;
    if (outcome.report.keepsRetryBudget) {
        const bool wasRefused = !outcome.response && outcome.response.error().kind == ErrorKind::BackendRefused;
        return (pending.mayReachAnother() || wasRefused) && pending.sendings < m_dependencies.settings.maximumSendings;
    }
    if (pending.backendsReached >= pending.maximumEndpoints)
        return false;
    return retryBudgetFor(pending).tryTake(m_dependencies.view.memberCount(), now);
}

// Responses

// Retry-After of a refused request: when there will be capacity, but early enough that the response is still useful to the
// caller.
Duration MeshIngress::retryAfterFor(const PendingRequest& pending, Duration capacityAfter) const
{
    const auto& settings = m_dependencies.settings;
    const auto target
        = pending.targetTime > pending.arrivedAt ? pending.targetTime - pending.arrivedAt : settings.retryAfterMaximum;
    const auto latest = fromSeconds(settings.retryAfterShare * toSeconds(target));
    return std::clamp(std::min(capacityAfter, latest), settings.retryAfterMinimum, settings.retryAfterMaximum);
}

void MeshIngress::respond(PendingRequest& pending, Result<HTTPResponse> response, TimePoint now)
{
    const RefPtr<PendingRequest> protect(&pending);
    if (!m_pending.erase(pending.id))
        return;
    if (pending.parent && (!response || response->status >= 500))
        m_dependencies.executor.recordFailedNestedCall(*pending.parent);
    const bool crashSuspect = !response && response.error().kind == ErrorKind::CrashSuspect;
    if (!response && isNotExecuted(response.error()) && !crashSuspect)
        response.error().retryAfter = retryAfterFor(pending, response.error().retryAfter);
    if (pending.hasToken && !response && isNotExecuted(response.error()) && !pending.hasAttempt())
        m_dependencies.rateLimiter.returnToken(pending.call.context.organisation);
    cancelAttempts(pending);
    m_deadlines.remove(pending.id);
    m_byConnection.erase(pending.connection.get());
    const auto& context = pending.call.context;
    const auto kind = response ? ErrorKind::None : response.error().kind;
    m_dependencies.metrics.record(context.route, kind, now - pending.arrivedAt);
    if (!response && response.error().retryAfter > Duration::zero() && !pending.parent && pending.fingerprint && !crashSuspect)
        m_scheduledRetries.add(pending.fingerprint, response.error().retryAfter, now);
    logCompletion(pending, response, now);
    const auto connection = std::exchange(pending.connection, nullptr);
    if (response)
        platform::addAttemptID(*response, pending.attemptID);
    connection->respond(response ? *response : platform::makeErrorResponse(response.error(), pending.attemptID), m_leaving, now);
}

// Most requests are successful nested calls; metrics count them, and only the others are logged.
void MeshIngress::logCompletion(const PendingRequest& pending, const Result<HTTPResponse>& response, TimePoint now) const
{
    const bool succeeded = response && response->status < 500;
    if (pending.parent && succeeded)
        return;
    const auto& context = pending.call.context;
    const auto kind = response ? ErrorKind::None : response.error().kind;
    auto& view = m_dependencies.view;
    EventLog::write("request",
        { { "request", pending.attemptID }, { "route", context.route }, { "organisation", context.organisation },
            { "service", pending.call.service }, { "priority", context.priority }, { "hops", context.hops },
            { "member", pending.member }, { "outcome", response ? "answered" : errorInfo(kind).name },
            { "status", response ? response->status : errorInfo(kind).httpStatus },
            { "detail", response ? std::string_view {} : std::string_view(response.error().detail) },
            { "duration_ms", toSeconds(now - pending.arrivedAt) * 1000 },
            { "retry_after_s", response ? 0.0 : toSeconds(response.error().retryAfter) },
            { "returning", pending.call.scheduledRetry }, { "members_tried", pending.triedMembers.size() },
            { "arrivals", pending.backendsReached }, { "configuration", view.version() },
            { "configuration_age_s", toSeconds(now - view.freshness().confirmedAt) } });
}

void MeshIngress::onDisconnect(StrictHTTPConnection& connection)
{
    const auto found = m_byConnection.find(&connection);
    if (found == m_byConnection.end())
        return;
    const auto pending = m_pending[found->second];
    const auto* cutReason = connection.cutReason();
    respond(*pending, fail(ErrorKind::Cancelled, cutReason ? cutReason : "the caller disconnected"), MonotonicClock::now());
}

void MeshIngress::onDeadline(uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const auto pending = found->second;
    if (pending->hasAttempt())
        respond(*pending, fail(ErrorKind::TimedOut, "no response within the time limit"), MonotonicClock::now());
    else
        respond(*pending, pending->earlierResponse ? *pending->earlierResponse : fail(ErrorKind::ExpiredInQueue),
            MonotonicClock::now());
}

} // namespace shallot
