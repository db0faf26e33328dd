// Index of this file
//   Arrival:   handle, admit, identify, authenticate
//   Attempts:  place, send, endAttempt, withdrawAttempt
//   Outcomes:  onAnswer, onLinkClosed, onOutcome, mayTryAgain
//   Ends:      returnTime, answer, logEnd, onDisconnect, onDue

#include "sidecar/MeshIngress.h"

#include "core/Digest.h"
#include "core/EventLog.h"
#include "daemon/CallFrames.h"
#include "mesh/MeshSettings.h"
#include "platform/RequestCodec.h"
#include "policy/CrashFingerprints.h"
#include "sidecar/DistributedRateLimiter.h"
#include "sidecar/MeshFrames.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshMetrics.h"
#include "sidecar/MeshView.h"
#include "wire/Frames_generated.h"

#include <cmath>

namespace shallot {

namespace {

constexpr auto answerGrace = 40ms; // The daemon beside the backend server ends calls at the same deadline; its word goes first
constexpr auto startRetryAfter = 300ms; // While nothing is known yet, or no backend server is there: about one announcement

bool isNotRun(const Error& error)
{
    return errorInfo(error.kind).execution == ExecutionState::NotExecuted;
}

} // namespace

MeshIngress::MeshIngress(MeshIngressParts parts)
    : m_parts(std::move(parts))
    , m_deadlines([this](uint64_t id) { onDue(id); })
{
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

RetryBudgetShare& MeshIngress::allowanceFor(const Visit& visit)
{
    const auto origin = visit.parent ? RequestOrigin::BackendServer : RequestOrigin::Caller;
    const auto seed = stableHash(m_parts.ownName, m_allowances.size());
    return m_allowances.try_emplace({ visit.call.service, origin }, m_parts.settings, origin, seed).first->second;
}

// Arrival

void MeshIngress::handle(const RefPtr<StrictHTTPConnection>& connection, HTTPRequest request, TimePoint now)
{
    auto visit = makeRef<Visit>();
    visit->id = m_nextID++;
    visit->connection = connection;
    visit->arrived = now;
    m_visits[visit->id] = visit;
    m_byConnection[connection.get()] = visit->id;
    if (const auto identified = identify(*visit, request, now); !identified) {
        answer(*visit, tl::unexpected(identified.error()), now);
        return;
    }
    visit->call.request = std::move(request);
    m_deadlines.set(visit->id, visit->deadline + answerGrace);
    admit(visit, now);
}

void MeshIngress::admit(const RefPtr<Visit>& visit, TimePoint now)
{
    const auto* organisation = std::exchange(visit->organisation, nullptr);
    if (!organisation) {
        place(*visit, now);
        return;
    }
    const RatePlan plan { organisation->rate, organisation->burst };
    m_parts.rates.request(*organisation, now, [this, visit, plan](const RateAccount::Decision& verdict) {
        const auto& name = visit->call.context.organisation;
        const bool hasToken = verdict.admitted && verdict.byLedger;
        if (!m_visits.contains(visit->id)) {
            if (hasToken)
                m_parts.rates.giveBack(name);
            return;
        }
        const auto now = MonotonicClock::now();
        visit->hasToken = hasToken;
        if (verdict.admitted) {
            place(*visit, now);
            return;
        }
        auto detail = std::string(verdict.byLedger ? "ledger" : "own part") + " of a plan of "
            + std::to_string(std::lround(plan.rate)) + "/s, burst " + std::to_string(std::lround(plan.burst));
        answer(*visit, tl::unexpected(Error { ErrorKind::RateExceeded, std::move(detail), verdict.retryAfter }), now);
    });
}

Result<void> MeshIngress::identify(Visit& visit, HTTPRequest& request, TimePoint now)
{
    auto caller = platform::takeCallerRequest(request);
    if (!caller)
        return tl::unexpected(caller.error());
    visit.attemptID = caller->attemptID;
    auto& beliefs = m_parts.beliefs;
    if (!beliefs.isComplete())
        return tl::unexpected(Error { ErrorKind::ConfigurationStale, "no configuration is known yet", startRetryAfter });
    const auto* route = beliefs.routes()->find(caller->host, request.target);
    if (!route)
        return fail(ErrorKind::RouteUnknown);
    auto& context = visit.call.context;
    if (!route->open) {
        if (auto authenticated = authenticate(visit, caller->key, now); !authenticated)
            return authenticated;
    }
    context.route = route->name;
    context.idempotent = route->idempotent;
    const auto patience = std::min(caller->patience.value_or(route->timeLimit), route->timeLimit);
    visit.deadline = now + patience;
    if (caller->key.empty())
        visit.parent = m_parts.executor.findParent(caller->attemptID, patience, now);
    context.priority = visit.parent ? nestedCallPriority(visit.parent->priority)
                                    : priorityOfRank(beliefs.routes()->rankOf(*route, visit.organisation));
    context.hops = visit.parent ? static_cast<uint8_t>(visit.parent->hops + 1) : 0;
    if (!visit.parent) {
        visit.target = now + std::min(route->targetLatency, patience);
        visit.fingerprint = requestFingerprint(context.organisation, request.method, request.target, request.body);
        visit.call.scheduledRetry = m_returns.consume(visit.fingerprint, now);
    }
    visit.maximumEndpoints = route->maximumEndpoints;
    visit.call.service = beliefs.routes()->nextService(*route);
    allowanceFor(visit).recordRequest(now);
    platform::addOrigin(request, context.organisation, m_parts.executor.service());
    return {};
}

Result<void> MeshIngress::authenticate(Visit& visit, const std::string& key, TimePoint now)
{
    if (key.empty())
        return fail(ErrorKind::KeyMissing);
    // An outdated configuration may neither honour a key nor call it unknown.
    if (!m_parts.beliefs.mayHonourKeys(now))
        return tl::unexpected(Error { ErrorKind::ConfigurationStale, "the configuration may be outdated", startRetryAfter });
    visit.organisation = m_parts.beliefs.routes()->findByKey(key);
    if (!visit.organisation)
        return fail(ErrorKind::KeyUnknown);
    visit.call.context.organisation = visit.organisation->name;
    return {};
}

// Attempts

void MeshIngress::place(Visit& visit, TimePoint now)
{
    const RefPtr<Visit> protect(&visit);
    while (true) {
        auto* endpoint = m_parts.beliefs.endpoints().choose(visit.call.service, now, visit.tried, visit.reroutes > 0);
        if (!endpoint) {
            answer(visit,
                visit.earlier ? *visit.earlier
                              : tl::unexpected(Error { ErrorKind::NoBackendServer, visit.call.service, startRetryAfter }),
                now);
            return;
        }
        visit.tried.push_back(endpoint->member.name);
        if (send(visit, *endpoint, now))
            return;
        m_parts.beliefs.endpoints().recordUnreachable(endpoint->member.name, now, now);
    }
}

bool MeshIngress::send(Visit& visit, RemoteEndpoint& endpoint, TimePoint now)
{
    auto& call = visit.call;
    call.context.remaining = visit.deadline - now;
    call.targetLatency = visit.target > now ? visit.target - now : Duration::zero();
    visit.attempt = m_nextID++;
    visit.member = endpoint.member.name;
    visit.wentOut = true;
    const auto attempt = visit.attempt;
    if (endpoint.member.name == m_parts.ownName) {
        visit.link = nullptr;
        m_attempts[attempt] = &visit;
        m_parts.beliefs.endpoints().recordSent(endpoint);
        const RefPtr<Visit> protect(&visit);
        const auto executorID = m_parts.executor.submit(call, now, [this, visit = protect, attempt](MeshOutcome outcome) {
            if (visit->attempt != attempt || !visit->wentOut)
                return;
            onOutcome(*visit, std::move(outcome), MonotonicClock::now());
        });
        if (visit.attempt == attempt)
            visit.executorID = executorID;
        return true;
    }
    auto link = m_parts.links.linkTo(endpoint.member.address);
    if (!link || !link->send(makeMeshCallFrame(attempt, call))) {
        visit.wentOut = false;
        return false;
    }
    visit.link = link;
    m_attempts[attempt] = &visit;
    m_parts.links.addOutstanding(*link);
    m_parts.beliefs.endpoints().recordSent(endpoint);
    return true;
}

void MeshIngress::endAttempt(Visit& visit)
{
    if (!std::exchange(visit.wentOut, false))
        return;
    m_attempts.erase(visit.attempt);
    m_parts.beliefs.endpoints().recordCompleted(visit.member);
    if (visit.link)
        m_parts.links.removeOutstanding(*visit.link);
}

// Takes back the attempt in progress: a request that may run only once goes on if it has begun.
void MeshIngress::withdrawAttempt(Visit& visit)
{
    if (!visit.wentOut)
        return;
    // The attempt ends first: a link that breaks with this frame must not find it among those to place elsewhere.
    endAttempt(visit);
    if (visit.link)
        visit.link->send(makeCancelFrame(visit.attempt));
    else
        m_parts.executor.cancel(visit.executorID);
}

// Outcomes

void MeshIngress::onAnswer(PeerLink& link, wire::AnswerT& answerFrame)
{
    const auto found = m_attempts.find(answerFrame.id);
    if (found == m_attempts.end() || found->second->link.get() != &link)
        return;
    const auto visit = found->second;
    onOutcome(*visit, readMeshOutcome(answerFrame), MonotonicClock::now());
}

void MeshIngress::onLinkClosed(PeerLink& link)
{
    std::vector<RefPtr<Visit>> lost;
    for (const auto& [attempt, visit] : m_attempts) {
        if (visit->link.get() == &link)
            lost.push_back(visit);
    }
    const auto now = MonotonicClock::now();
    for (const auto& visit : lost) {
        const bool left = link.isEstablished();
        const auto kind = left ? ErrorKind::BackendFailed : ErrorKind::NoBackendServer;
        auto report = EndpointReport {};
        report.available = false;
        onOutcome(*visit, { fail(kind, "the link to " + visit->member + " was lost"), report, left }, now);
    }
}

void MeshIngress::onOutcome(Visit& visit, MeshOutcome outcome, TimePoint now)
{
    const RefPtr<Visit> protect(&visit);
    endAttempt(visit);
    auto& endpoints = m_parts.beliefs.endpoints();
    endpoints.recordReport(visit.member, outcome.report, now);
    if (visit.parent)
        m_parts.executor.recordPressure(*visit.parent, outcome.report.pressure, now);
    if (outcome.response || outcome.reachedBackend)
        ++visit.arrivals;
    const bool isError = !outcome.response || outcome.response->status >= 500;
    if (!isError) {
        answer(visit, outcome.response, now);
        return;
    }
    if (!outcome.response && outcome.reachedBackend)
        endpoints.recordFailure(visit.member, now);
    const bool mayHaveRun = outcome.response || !isNotRun(outcome.response.error());
    if (mayTryAgain(visit, outcome, now)) {
        EventLog::write("request-repeated",
            { { "request", visit.attemptID }, { "member", visit.member }, { "service", visit.call.service },
                { "reason", outcome.response ? "status" : errorInfo(outcome.response.error().kind).name },
                { "arrivals", visit.arrivals }, { "reroutes", visit.reroutes } });
        if (mayHaveRun)
            visit.earlier = std::move(outcome.response);
        place(visit, now);
        return;
    }
    if (!mayHaveRun && visit.earlier)
        answer(visit, *visit.earlier, now);
    else
        answer(visit, outcome.response, now);
}

bool MeshIngress::mayTryAgain(Visit& visit, const MeshOutcome& outcome, TimePoint now)
{
    if (visit.deadline <= now)
        return false;
    const bool mayHaveRun = outcome.response || !isNotRun(outcome.response.error());
    if (mayHaveRun && !visit.call.context.idempotent)
        return false;
    if (!outcome.response) {
        const auto kind = outcome.response.error().kind;
        if (kind == ErrorKind::TimedOut || kind == ErrorKind::Cancelled || kind == ErrorKind::ExpiredInQueue)
            return false;
        if (!outcome.reachedBackend) {
            // Where a service below is overloaded, the other backend servers of this one refuse as well.
            const bool belowOverloaded = !visit.parent && outcome.report.pressure > m_parts.settings.pressureTarget;
            if (visit.reroutes >= m_parts.settings.reroutes || (kind == ErrorKind::Overloaded && belowOverloaded))
                return false;
            ++visit.reroutes;
            return true;
        }
    } else if (outcome.response->status == 504) {
        return false;
    }
    // A run that failed with one of its calls meets the same trouble again; the repeats are of more use to the calls.
    if (visit.arrivals >= visit.maximumEndpoints || outcome.nestedCallFailed)
        return false;
    return allowanceFor(visit).tryTake(m_parts.beliefs.memberCount(), now);
}

// Ends

// When a refused request should come back: when there is room, but early enough to be worth something to its caller.
Duration MeshIngress::returnTime(const Visit& visit, Duration roomAfter) const
{
    const auto& settings = m_parts.settings;
    const auto target = visit.target > visit.arrived ? visit.target - visit.arrived : settings.retryAfterMaximum;
    const auto latest = fromSeconds(settings.retryAfterShare * toSeconds(target));
    return std::clamp(std::min(roomAfter, latest), settings.retryAfterMinimum, settings.retryAfterMaximum);
}

void MeshIngress::answer(Visit& visit, Result<HTTPResponse> response, TimePoint now)
{
    const RefPtr<Visit> protect(&visit);
    if (!m_visits.erase(visit.id))
        return;
    if (visit.parent && (!response || response->status >= 500))
        m_parts.executor.recordFailedCall(*visit.parent);
    if (!response && isNotRun(response.error()))
        response.error().retryAfter = returnTime(visit, response.error().retryAfter);
    if (visit.hasToken && !response && isNotRun(response.error()) && !visit.wentOut)
        m_parts.rates.giveBack(visit.call.context.organisation);
    withdrawAttempt(visit);
    m_deadlines.remove(visit.id);
    m_byConnection.erase(visit.connection.get());
    const auto& context = visit.call.context;
    const auto kind = response ? ErrorKind::None : response.error().kind;
    m_parts.metrics.record(context.route, kind, now - visit.arrived);
    if (!response && response.error().retryAfter > Duration::zero() && visit.fingerprint)
        m_returns.add(visit.fingerprint, response.error().retryAfter, now);
    logEnd(visit, response, now);
    const auto connection = std::exchange(visit.connection, nullptr);
    if (response)
        platform::addAttemptID(*response, visit.attemptID);
    connection->respond(response ? *response : platform::makeFailure(response.error(), visit.attemptID), m_leaving, now);
}

// Inner calls that went well are the bulk of all; metrics count them, and only the others get a line.
void MeshIngress::logEnd(const Visit& visit, const Result<HTTPResponse>& response, TimePoint now) const
{
    const bool good = response && response->status < 500;
    if (visit.parent && good)
        return;
    const auto& context = visit.call.context;
    const auto kind = response ? ErrorKind::None : response.error().kind;
    auto& beliefs = m_parts.beliefs;
    EventLog::write("request",
        { { "request", visit.attemptID }, { "route", context.route }, { "organisation", context.organisation },
            { "service", visit.call.service }, { "priority", context.priority }, { "hops", context.hops },
            { "member", visit.member }, { "outcome", response ? "answered" : errorInfo(kind).name },
            { "status", response ? response->status : errorInfo(kind).httpStatus },
            { "detail", response ? std::string_view {} : std::string_view(response.error().detail) },
            { "duration_ms", toSeconds(now - visit.arrived) * 1000 },
            { "retry_after_s", response ? 0.0 : toSeconds(response.error().retryAfter) },
            { "returning", visit.call.scheduledRetry }, { "members_tried", visit.tried.size() }, { "arrivals", visit.arrivals },
            { "configuration", beliefs.version() }, { "configuration_age_s", toSeconds(now - beliefs.proof().confirmedAt) } });
}

void MeshIngress::onDisconnect(StrictHTTPConnection& connection)
{
    const auto found = m_byConnection.find(&connection);
    if (found == m_byConnection.end())
        return;
    const auto visit = m_visits[found->second];
    answer(*visit, fail(ErrorKind::Cancelled, "the caller left"), MonotonicClock::now());
}

void MeshIngress::onDue(uint64_t id)
{
    const auto found = m_visits.find(id);
    if (found == m_visits.end())
        return;
    const auto visit = found->second;
    if (visit->wentOut)
        answer(*visit, fail(ErrorKind::TimedOut, "no answer in time"), MonotonicClock::now());
    else
        answer(*visit, visit->earlier ? *visit->earlier : fail(ErrorKind::ExpiredInQueue), MonotonicClock::now());
}

} // namespace shallot
