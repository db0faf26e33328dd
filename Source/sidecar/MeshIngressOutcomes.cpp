// Index of this file
//   Outcomes:   onResponse, receiveBody, onGoAway, onLinkClosed, attemptsOn, onOutcome, mayRetry
//   Lost links: queryAttempt, onCallState, onQueryTimeout, loseAttempt
//   Responses:  retryAfterFor, respond, logCompletion, onDisconnect, onDeadline

#include "sidecar/MeshIngress.h"

#include "core/EventLog.h"
#include "daemon/CallFrames.h"
#include "mesh/CrashSuspects.h"
#include "mesh/MeshSettings.h"
#include "net/BodyStream.h"
#include "platform/RequestCodec.h"
#include "sidecar/BodyRelay.h"
#include "sidecar/DistributedRateLimiter.h"
#include "sidecar/MeshFrames.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshMetrics.h"
#include "sidecar/MeshView.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr unsigned maximumQueries = 3; // On successive new links

} // namespace

// Outcomes

void MeshIngress::onResponse(PeerLink& link, wire::AnswerT& answerFrame)
{
    const auto found = m_attempts.find(answerFrame.id);
    if (found == m_attempts.end() || found->second->link.get() != &link) {
        if (answerFrame.more)
            link.send(makeCancelFrame(answerFrame.id));
        return;
    }
    const auto pending = found->second;
    auto outcome = readMeshOutcome(answerFrame);
    if (outcome.response && answerFrame.more)
        receiveBody(link, answerFrame.id, outcome.response);
    onOutcome(*pending, std::move(outcome), MonotonicClock::now());
}

void MeshIngress::receiveBody(PeerLink& link, uint64_t id, Result<HTTPResponse>& response)
{
    const auto received = response->body.size();
    if (response->bodyLength > 0 && static_cast<uint64_t>(response->bodyLength) > received) {
        response->rest = m_dependencies.bodies.receive(link, id, received);
        return;
    }
    EventLog::write("body-part-invalid", { { "peer", link.peer() }, { "bytes", received }, { "length", response->bodyLength } });
    link.send(makeCancelFrame(id));
    response = fail(ErrorKind::BadResponse, "the length of the body is invalid");
}

std::vector<RefPtr<MeshIngress::PendingRequest>> MeshIngress::attemptsOn(const PeerLink& link) const
{
    std::vector<RefPtr<PendingRequest>> found;
    for (const auto& [attempt, pending] : m_attempts) {
        if (pending->link.get() == &link)
            found.push_back(pending);
    }
    return found;
}

void MeshIngress::onGoAway(PeerLink& link)
{
    const auto now = MonotonicClock::now();
    auto report = EndpointReport {};
    report.available = false;
    report.leaving = true;
    for (const auto& pending : attemptsOn(link)) {
        // The promise does not cover a call that was sent on another link.
        if (pending->awaitsState)
            loseAttempt(*pending, now);
        else
            onOutcome(*pending, { fail(ErrorKind::Draining, pending->member + " has ended"), report, false }, now);
    }
}

void MeshIngress::onLinkClosed(PeerLink& link)
{
    const auto now = MonotonicClock::now();
    auto report = EndpointReport {};
    report.available = false;
    for (const auto& pending : attemptsOn(link)) {
        const bool wasSent = link.isEstablished() || pending->awaitsState;
        if (!wasSent)
            onOutcome(*pending, { fail(ErrorKind::NoBackendServer, "no link to " + pending->member), report, false }, now);
        else if (!queryAttempt(*pending, link, now))
            loseAttempt(*pending, now);
    }
}

// Only the daemon beside the backend server knows whether it has begun the call. It is asked on a new link.
bool MeshIngress::queryAttempt(PendingRequest& pending, const PeerLink& ended, TimePoint now)
{
    // After the deadline it may have forgotten the call.
    if (pending.deadline <= now)
        return false;
    if (!std::exchange(pending.awaitsState, true)) {
        pending.memberBoot = ended.peerBoot();
        pending.queries = 0;
        pending.queryUntil = std::min(now + m_dependencies.settings.callQueryTimeout, pending.deadline);
        m_queryDeadlines.set(pending.id, pending.queryUntil);
    }
    if (now >= pending.queryUntil || ++pending.queries > maximumQueries)
        return false;
    auto link = m_dependencies.links.linkTo(pending.address);
    if (!link || !link->send(makeCallQueryFrame(pending.attempt, pending.memberBoot)))
        return false;
    pending.link = link;
    m_dependencies.links.addOutstanding(*link);
    return true;
}

void MeshIngress::onCallState(PeerLink& link, const wire::CallStateT& message)
{
    const auto found = m_attempts.find(message.id);
    if (found == m_attempts.end() || found->second->link.get() != &link || !found->second->awaitsState)
        return;
    const auto pending = found->second;
    const auto now = MonotonicClock::now();
    const auto state = static_cast<ServedCallState>(message.state);
    if (state == ServedCallState::InProgress) {
        pending->awaitsState = false;
        m_queryDeadlines.remove(pending->id);
        return;
    }
    if (state != ServedCallState::NotBegun || pending->deadline <= now) {
        loseAttempt(*pending, now);
        return;
    }
    const auto* endpoint = m_dependencies.view.endpoints().find(pending->member);
    const auto report = endpoint ? endpoint->report : EndpointReport {};
    onOutcome(*pending, { fail(ErrorKind::NoBackendServer, "the call did not reach " + pending->member), report, false }, now);
}

void MeshIngress::onQueryTimeout(uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || !found->second->awaitsState)
        return;
    const auto pending = found->second;
    const auto link = pending->link;
    const auto attempt = pending->attempt;
    loseAttempt(*pending, MonotonicClock::now());
    // The query may still arrive, and the call would go on.
    if (link)
        link->send(makeCancelFrame(attempt));
}

void MeshIngress::loseAttempt(PendingRequest& pending, TimePoint now)
{
    auto report = EndpointReport {};
    report.available = false;
    onOutcome(pending, { fail(ErrorKind::BackendFailed, "the link to " + pending.member + " was lost"), report, true }, now);
}

void MeshIngress::onOutcome(PendingRequest& pending, MeshOutcome outcome, TimePoint now)
{
    const RefPtr<PendingRequest> protect(&pending);
    endAttempt(pending);
    auto& endpoints = m_dependencies.view.endpoints();
    endpoints.recordReport(pending.member, outcome.report, now);
    if (pending.parent)
        m_dependencies.executor.recordPressure(*pending.parent, outcome.report.pressure, now);
    if (outcome.response || outcome.reachedBackend)
        ++pending.backendsReached;
    const bool isError = !outcome.response || outcome.response->status >= 500;
    if (!isError) {
        respond(pending, outcome.response, now);
        return;
    }
    if (!outcome.response && outcome.reachedBackend)
        endpoints.recordFailure(pending.member, now);
    const bool mayHaveExecuted = outcome.response || !isNotExecuted(outcome.response.error());
    if (mayRetry(pending, outcome, now)) {
        EventLog::write("request-repeated",
            { { "request", pending.attemptID }, { "member", pending.member }, { "service", pending.call.service },
                { "reason", outcome.response ? "status" : errorInfo(outcome.response.error().kind).name },
                { "arrivals", pending.backendsReached }, { "reroutes", pending.reroutes } });
        if (mayHaveExecuted)
            pending.earlierResponse = std::move(outcome.response);
        else if (outcome.response.error().kind == ErrorKind::Overloaded)
            pending.refusal = std::move(outcome.response.error());
        dispatch(pending, now);
        return;
    }
    if (!mayHaveExecuted && pending.earlierResponse)
        respond(pending, *pending.earlierResponse, now);
    else
        respond(pending, outcome.response, now);
}

bool MeshIngress::mayRetry(PendingRequest& pending, const MeshOutcome& outcome, TimePoint now)
{
    // A long answer is not kept for the case that the retry brings none.
    if (pending.deadline <= now || now >= m_endBy || (outcome.response && outcome.response->rest))
        return false;
    const bool mayHaveExecuted = outcome.response || !isNotExecuted(outcome.response.error());
    if (mayHaveExecuted && !pending.call.context.idempotent)
        return false;
    if (!outcome.response) {
        const auto kind = outcome.response.error().kind;
        if (kind == ErrorKind::TimedOut || kind == ErrorKind::Cancelled || kind == ErrorKind::ExpiredInQueue
            || kind == ErrorKind::CrashSuspect)
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
    if (pending.backendsReached >= pending.maximumEndpoints || outcome.nestedCallFailed)
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
    if (!m_pending.erase(pending.id)) {
        if (response && response->rest)
            response->rest->abandon();
        return;
    }
    if (pending.parent && (!response || response->status >= 500))
        m_dependencies.executor.recordFailedNestedCall(*pending.parent);
    const bool crashSuspect = !response && response.error().kind == ErrorKind::CrashSuspect;
    if (!response && isNotExecuted(response.error()) && !crashSuspect)
        response.error().retryAfter = retryAfterFor(pending, response.error().retryAfter);
    if (pending.hasToken && !response && isNotExecuted(response.error()) && !pending.attemptInProgress)
        m_dependencies.rateLimiter.returnToken(pending.call.context.organisation);
    cancelAttempt(pending);
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
    respond(*pending, fail(ErrorKind::Cancelled, "the caller disconnected"), MonotonicClock::now());
}

void MeshIngress::onDeadline(uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const auto pending = found->second;
    if (pending->attemptInProgress)
        respond(*pending, fail(ErrorKind::TimedOut, "no response within the time limit"), MonotonicClock::now());
    else
        respond(*pending, pending->earlierResponse ? *pending->earlierResponse : fail(ErrorKind::ExpiredInQueue),
            MonotonicClock::now());
}

} // namespace shallot
