// Index of this file
//   Arrival:    handle, admit, checkRequest, limitRegions, checkCrashSuspicion, authenticate
//   Attempts:   dispatch, send, startAttempt, endAttempt, cancelAttempts
//   Shutdown:   startLeaving, endAll
// What becomes of an attempt is in MeshIngressOutcomes.cpp.

#include "sidecar/MeshIngress.h"

#include "core/Digest.h"
#include "daemon/CallFrames.h"
#include "mesh/CrashSuspects.h"
#include "mesh/MeshSettings.h"
#include "platform/RequestCodec.h"
#include "policy/CrashFingerprints.h"
#include "sidecar/DistributedRateLimiter.h"
#include "sidecar/MeshFrames.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshView.h"
#include "wire/Frames_generated.h"

#include <array>
#include <cmath>

namespace shallot {

namespace {

constexpr auto responseGrace = 40ms;      // The daemon beside the backend server has the same deadline; its response goes first
constexpr auto restartRetryAfter = 1s;    // The next process at this address is usually up by then
constexpr auto startupRetryAfter = 300ms; // No configuration yet or no backend server available; about one announcement interval

} // namespace

MeshIngress::MeshIngress(MeshIngressDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_deadlines([this](uint64_t id) { onDeadline(id); })
    , m_queries([this](uint64_t id) { onQueryDue(id); })
{
    m_limits.maximumUnreadResponseBytes = m_dependencies.settings.maximumUnreadResponseBytes;
}

Result<void> MeshIngress::start(const SocketAddress& address)
{
    return m_server.start(address, m_limits,
        { [this](const RefPtr<StrictHTTPConnection>& connection, HTTPRequest request) {
             handle(connection, std::move(request), MonotonicClock::now());
         },
            [this](StrictHTTPConnection& connection) { onDisconnect(connection); } });
}

void MeshIngress::applyLimits(const CallerLimits& limits)
{
    m_limits.maximumHeaderBytes = limits.headerBytes;
    m_limits.headerTimeout = limits.headerTimeout;
    m_limits.idleTimeout = limits.idleTimeout;
    m_limits.maximumBodyBytes = std::min(limits.bodyBytes, StrictHTTPLimits {}.maximumBodyBytes);
    m_server.setLimits(m_limits);
}

RetryBudgetShare& MeshIngress::retryBudgetFor(const PendingRequest& pending)
{
    const auto origin = pending.parent ? RequestOrigin::BackendServer : RequestOrigin::Caller;
    const auto seed = stableHash(m_dependencies.ownName, m_retryBudgets.size());
    return m_retryBudgets.try_emplace({ pending.call.service, origin }, m_dependencies.settings, origin, seed).first->second;
}

// Arrival

void MeshIngress::handle(const RefPtr<StrictHTTPConnection>& connection, HTTPRequest request, TimePoint now)
{
    auto pending = makeRef<PendingRequest>();
    pending->id = m_nextID++;
    pending->connection = connection;
    pending->arrivedAt = now;
    m_pending[pending->id] = pending;
    m_byConnection[connection.get()] = pending->id;
    if (const auto checked = checkRequest(*pending, request, now); !checked) {
        respond(*pending, tl::unexpected(checked.error()), now);
        return;
    }
    pending->call.request = std::move(request);
    m_deadlines.set(pending->id, pending->deadline + responseGrace);
    admit(pending, now);
}

void MeshIngress::admit(const RefPtr<PendingRequest>& pending, TimePoint now)
{
    const auto* organisation = std::exchange(pending->organisation, nullptr);
    if (!organisation) {
        dispatch(*pending, now);
        return;
    }
    const RatePlan plan { organisation->rate, organisation->burst };
    m_dependencies.rateLimiter.request(*organisation, now, [this, pending, plan](const RateAccount::Decision& decision) {
        const auto& name = pending->call.context.organisation;
        const bool hasToken = decision.admitted && decision.byLedger;
        if (!m_pending.contains(pending->id)) {
            if (hasToken)
                m_dependencies.rateLimiter.returnToken(name);
            return;
        }
        const auto now = MonotonicClock::now();
        pending->hasToken = hasToken;
        if (decision.admitted) {
            dispatch(*pending, now);
            return;
        }
        auto detail = std::string(decision.byLedger ? "ledger" : "local share") + ": over the plan's rate of "
            + std::to_string(std::lround(plan.rate)) + "/s, burst " + std::to_string(std::lround(plan.burst));
        respond(*pending, tl::unexpected(Error { ErrorKind::RateExceeded, std::move(detail), decision.retryAfter }), now);
    });
}

Result<void> MeshIngress::checkRequest(PendingRequest& pending, HTTPRequest& request, TimePoint now)
{
    auto caller = platform::extractCallerMetadata(request);
    if (!caller)
        return tl::unexpected(caller.error());
    pending.attemptID = caller->attemptID;
    auto& view = m_dependencies.view;
    if (!view.isInitialized())
        return tl::unexpected(
            Error { ErrorKind::ConfigurationStale, "configuration and member list are not known yet", startupRetryAfter });
    const auto* route = view.routes()->find(caller->host, request.target);
    if (!route)
        return fail(ErrorKind::RouteUnknown);
    auto& context = pending.call.context;
    if (!route->open) {
        if (auto authenticated = authenticate(pending, caller->key, now); !authenticated)
            return authenticated;
    }
    context.route = route->name;
    context.idempotent = route->idempotent;
    const auto timeLimit = std::min(caller->timeLimit.value_or(route->timeLimit), route->timeLimit);
    if (caller->key.empty())
        pending.parent = m_dependencies.executor.findParent(caller->attemptID, timeLimit, now);
    if ((m_refusesCallers && !pending.parent) || now >= m_endBy)
        return tl::unexpected(Error { ErrorKind::Draining, "this daemon is stopping", restartRetryAfter });
    pending.deadline = std::min(now + timeLimit, pending.parent ? m_endCallsBy : m_endBy);
    context.priority = pending.parent ? nestedCallPriority(pending.parent->priority)
                                      : priorityOfRank(view.routes()->rankOf(*route, pending.organisation));
    context.hops = pending.parent ? static_cast<uint8_t>(pending.parent->hops + 1) : 0;
    if (!pending.parent) {
        pending.targetTime = now + std::min(route->targetLatency, timeLimit);
        pending.call.scheduledRetry = m_scheduledRetries.consume(fingerprintOf(pending, request), now);
    }
    if (auto checked = checkCrashSuspicion(pending, request); !checked)
        return checked;
    pending.maximumEndpoints = route->maximumEndpoints;
    limitRegions(pending, *route);
    pending.call.service = view.routes()->nextService(*route);
    retryBudgetFor(pending).recordRequest(now);
    platform::addCallerHeaders(request, context.organisation, m_dependencies.executor.service());
    return {};
}

// The regions of a root request's organisation apply to all calls that are made on its behalf.
void MeshIngress::limitRegions(PendingRequest& pending, const MeshRoute& route) const
{
    pending.routeRegions = route.allowedRegions;
    const auto* organisation = pending.organisation;
    if (pending.parent && !pending.parent->rootOrganisation.empty())
        organisation = m_dependencies.view.routes()->findOrganisation(pending.parent->rootOrganisation);
    if (!organisation || organisation->allowedRegions.empty())
        return;
    pending.organisationRegions = organisation->allowedRegions;
    pending.call.rootOrganisation = organisation->name;
}

Result<void> MeshIngress::checkCrashSuspicion(PendingRequest& pending, const HTTPRequest& request)
{
    auto& suspects = m_dependencies.crashSuspects;
    if (suspects.isEmpty())
        return {};
    const auto now = WallClock::now();
    const auto fingerprint = fingerprintOf(pending, request);
    if (!suspects.isRefused(fingerprint, now))
        return {};
    suspects.recordRefusal(fingerprint, now);
    return tl::unexpected(Error {
        ErrorKind::CrashSuspect, "backend servers crashed while they ran this request", suspects.refusedFor(fingerprint, now) });
}

uint64_t MeshIngress::fingerprintOf(PendingRequest& pending, const HTTPRequest& request) const
{
    if (!pending.fingerprint)
        pending.fingerprint = requestFingerprint(pending.call.context.organisation, request.method, request.target, request.body);
    return pending.fingerprint;
}

Result<void> MeshIngress::authenticate(PendingRequest& pending, const std::string& key, TimePoint now)
{
    if (key.empty())
        return fail(ErrorKind::KeyMissing);
    // With an outdated configuration a key can neither be accepted nor be called unknown.
    if (!m_dependencies.view.mayAcceptKeys(now))
        return tl::unexpected(Error { ErrorKind::ConfigurationStale, "the configuration may be outdated", startupRetryAfter });
    pending.organisation = m_dependencies.view.routes()->findByKey(key);
    if (!pending.organisation)
        return fail(ErrorKind::KeyUnknown);
    pending.call.context.organisation = pending.organisation->name;
    return {};
}

// Attempts

void MeshIngress::dispatch(PendingRequest& pending, TimePoint now)
{
    const RefPtr<PendingRequest> protect(&pending);
    if (pending.deadline <= now) {
        onDeadline(pending.id);
        return;
    }
    while (true) {
        auto* endpoint = m_dependencies.view.endpoints().choose(pending.call.service, now, pending.triedMembers,
            { .anyZone = pending.reroutes > 0, .reachableOnly = pending.refusal.has_value(), .regions = pending.regions() });
        // No further backend server may get it; one that has refused it may take it now.
        if (!pending.mayReachAnother()) {
            endpoint = m_dependencies.view.endpoints().choose(pending.call.service, now, {},
                { .anyZone = true, .reachableOnly = true, .regions = pending.regions(), .among = pending.reachedMembers });
        }
        if (!endpoint) {
            if (returnToReplaced(pending))
                return;
            const auto reason = m_dependencies.view.endpoints().reasonForNone(pending.call.service, pending.regions());
            const auto none = pending.refusal.value_or(Error { ErrorKind::NoBackendServer,
                reason.empty() ? pending.call.service : pending.call.service + ": " + std::string(reason), startupRetryAfter });
            respond(pending, pending.earlierResponse ? *pending.earlierResponse : tl::unexpected(none), now);
            return;
        }
        pending.triedMembers.push_back(endpoint->member.name);
        if (send(pending, *endpoint, now))
            return;
        m_dependencies.view.endpoints().recordUnreachable(endpoint->member.name, now, now);
    }
}

bool MeshIngress::send(PendingRequest& pending, RemoteEndpoint& endpoint, TimePoint now)
{
    auto& call = pending.call;
    // A request from before the leave may be sent again in it.
    call.context.remaining = std::min(pending.deadline, pending.parent ? m_endCallsBy : m_endBy) - now;
    call.targetLatency = pending.targetTime > now ? pending.targetTime - now : Duration::zero();
    call.repeat = pending.backendsReached > 0 || (pending.parent && pending.parent->isRepeat);
    call.firstSending = !pending.sendings++;
    call.sentAt = now;
    pending.member = endpoint.member.name;
    const auto attempt = makeRef<Attempt>();
    attempt->id = m_nextID++;
    attempt->request = &pending;
    attempt->member = endpoint.member.name;
    attempt->address = endpoint.member.address;
    if (endpoint.member.name == m_dependencies.ownName) {
        startAttempt(attempt, endpoint);
        attempt->executorCallID = m_dependencies.executor.submit(call, now, [this, id = attempt->id](MeshOutcome outcome) {
            if (const auto found = m_attempts.find(id); found != m_attempts.end())
                onOutcome(*found->second, std::move(outcome), MonotonicClock::now());
        });
        return true;
    }
    auto link = m_dependencies.links.linkTo(endpoint.member.address);
    if (!link || !link->send(makeMeshCallFrame(attempt->id, call)))
        return false;
    attempt->link = link;
    m_dependencies.links.addOutstanding(*link);
    startAttempt(attempt, endpoint);
    return true;
}

void MeshIngress::startAttempt(const RefPtr<Attempt>& attempt, RemoteEndpoint& endpoint)
{
    attempt->request->attempt = attempt;
    m_attempts[attempt->id] = attempt;
    m_dependencies.view.endpoints().recordSent(endpoint);
}

void MeshIngress::endAttempt(Attempt& attempt)
{
    const RefPtr<Attempt> protect(&attempt);
    if (!m_attempts.erase(attempt.id))
        return;
    auto& pending = *attempt.request;
    (pending.attempt.get() == &attempt ? pending.attempt : pending.replacedAttempt) = nullptr;
    if (std::exchange(attempt.awaitsState, false))
        m_queries.remove(attempt.id);
    m_dependencies.view.endpoints().recordCompleted(attempt.member);
    if (attempt.link)
        m_dependencies.links.removeOutstanding(*attempt.link);
}

// At the backend server a request that may run only once continues if it has started.
void MeshIngress::cancelAttempts(PendingRequest& pending)
{
    const std::array open { pending.attempt, pending.replacedAttempt };
    // They end first: if a link breaks while a frame is sent, nothing must be dispatched again.
    for (const auto& attempt : open) {
        if (attempt)
            endAttempt(*attempt);
    }
    for (const auto& attempt : open) {
        if (attempt && attempt->link)
            attempt->link->send(makeCancelFrame(attempt->id));
        else if (attempt)
            m_dependencies.executor.cancel(attempt->executorCallID);
    }
}

// Shutdown

void MeshIngress::startLeaving(TimePoint endBy, TimePoint endCallsBy)
{
    m_leaving = true;
    m_endBy = endBy;
    m_endCallsBy = endCallsBy;
}

void MeshIngress::endAll(RequestOrigin origin, TimePoint now)
{
    m_endBy = std::min(m_endBy, now);
    std::vector<RefPtr<PendingRequest>> open;
    for (const auto& [id, pending] : m_pending) {
        if ((origin == RequestOrigin::BackendServer) == pending->parent.has_value())
            open.push_back(pending);
    }
    for (const auto& pending : open) {
        if (pending->hasAttempt())
            respond(*pending, fail(ErrorKind::BackendFailed, "the shutdown time of this daemon is over"), now);
        else
            respond(*pending, pending->earlierResponse ? *pending->earlierResponse : fail(ErrorKind::Draining), now);
    }
}

} // namespace shallot
