// Index of this file
//   Arrival:   handle, identify
//   Limits:    admit, hold, unhold, retryHeld, tick
//   Claims:    claim
//   Routing:   route, answer

#include "daemon/Ingress.h"

#include "core/Digest.h"
#include "daemon/CallRouter.h"
#include "daemon/ClaimKeeper.h"
#include "daemon/ErrorResponse.h"
#include "daemon/KeyScrubber.h"
#include "daemon/Metrics.h"
#include "limits/LimitSystem.h"
#include "net/HTTPExchange.h"
#include "policy/CrashFingerprints.h"
#include "policy/PolicySettings.h"

namespace shallot {

namespace {

constexpr size_t maximumHeld = 2000;
constexpr size_t maximumIdempotencyKeyLength = 256;

} // namespace

Ingress::Ingress(IngressParts parts)
    : m_parts(parts)
{
}

Ingress::~Ingress()
{
    while (!m_held.empty())
        unhold(m_held.front());
}

Result<void> Ingress::start(const SocketAddress& address, const HTTPServerLimits& limits)
{
    return m_server.start(
        address, limits, [this](const RefPtr<HTTPExchange>& exchange) { handle(exchange, MonotonicClock::now()); });
}

void Ingress::startLeaving()
{
    m_leaving = true;
    m_server.stopListening();
}

// Arrival

void Ingress::handle(const RefPtr<HTTPExchange>& exchange, TimePoint now)
{
    ++m_inProgress;
    auto visit = makeRef<Visit>();
    visit->exchange = exchange;
    visit->request = exchange->takeRequest();
    visit->arrived = now;
    std::string detail;
    if (const auto refusal = identify(*visit, now, detail); refusal != ErrorKind::None) {
        answer(*visit, fail(refusal, detail), now);
        return;
    }
    exchange->setDisconnectHandler([this, visit] {
        visit->gone = true;
        unhold(*visit);
        // What must run at most once goes on, so that a resend finds its answer.
        if (visit->context.idempotent && visit->callID)
            m_parts.router.cancel(visit->callID);
        if (visit->context.idempotent || !visit->callID)
            answer(*visit, fail(ErrorKind::Cancelled), MonotonicClock::now());
    });
    if (visit->open)
        claim(visit, now);
    else
        admit(visit, now, true);
}

ErrorKind Ingress::identify(Visit& visit, TimePoint now, std::string& detail)
{
    const auto key = takeKey(visit.request);
    if (!key) {
        detail = key.error().detail;
        return key.error().kind;
    }
    const auto* route = m_parts.index.findRoute(visit.exchange->path());
    if (!route) {
        // The path is not repeated: a key may stand in it.
        return ErrorKind::RouteUnknown;
    }
    auto& context = visit.context;
    if (!route->route.open) {
        if (key->empty())
            return ErrorKind::KeyMissing;
        const auto* organisation = m_parts.index.findByKeyDigest(sha256Hex(*key));
        if (!organisation)
            return ErrorKind::KeyUnknown;
        context.organisation = organisation->name;
        if (!organisation->routes.contains(route->name)) {
            detail = "route \"" + route->name + "\"";
            return ErrorKind::RouteForbidden;
        }
    }
    visit.open = route->route.open;
    visit.service = route->route.service;
    visit.deadline = now + std::chrono::milliseconds(route->route.timeoutMs);
    context.id = makeRandomRequestID();
    context.route = route->name;
    context.priority = route->route.priority;
    context.idempotent = route->route.idempotent;
    context.retryTokens = m_parts.policy.retryTokens;
    visit.fingerprint = requestFingerprint(context.organisation, visit.request.method, visit.request.target, visit.request.body);
    if (!context.idempotent) {
        visit.idempotencyKey = findHeader(visit.request.headers, "Idempotency-Key");
        if (visit.idempotencyKey.empty() || visit.idempotencyKey.size() > maximumIdempotencyKeyLength)
            return ErrorKind::IdempotencyKeyMissing;
    }
    if (m_parts.crashes.isRefused(visit.fingerprint, now))
        return ErrorKind::CrashSuspect;
    context.score = m_scores.score(context.priority, context.organisation, context.id, now);
    if (context.score < m_parts.router.levels().level(visit.service, now))
        return ErrorKind::Overloaded;
    return ErrorKind::None;
}

// Limits

void Ingress::admit(const RefPtr<Visit>& visit, TimePoint now, bool isNew)
{
    const auto& organisation = visit->context.organisation;
    const auto admission = m_parts.limits.admit(organisation, now, isNew);
    if (admission == Admission::Admitted) {
        unhold(*visit);
        claim(visit, now);
        return;
    }
    const bool mayWait
        = visit->heldSince == TimePoint() ? m_heldCount < maximumHeld : now - visit->heldSince < m_parts.limitSettings.holdTime;
    if (admission == Admission::Wait && mayWait) {
        hold(visit, now);
        return;
    }
    unhold(*visit);
    if (admission == Admission::NoLender) {
        answer(*visit, fail(ErrorKind::LimitUnavailable), now);
        return;
    }
    Error error { ErrorKind::RateExceeded, {}, m_parts.limits.retryAfter(organisation, now) };
    answer(*visit, tl::unexpected(std::move(error)), now);
}

void Ingress::hold(const RefPtr<Visit>& visit, TimePoint now)
{
    if (visit->heldSince != TimePoint())
        return;
    visit->heldSince = now;
    // The list holds a reference; unhold() gives it back.
    intrusive_ptr_add_ref(visit.get());
    m_held.push_back(*visit);
    ++m_heldCount;
    const auto& organisation = visit->context.organisation;
    m_parts.limits.setWaiting(organisation, ++m_heldByOrganisation[organisation]);
    m_parts.limits.exchangeLoans(now);
}

void Ingress::unhold(Visit& visit)
{
    if (!visit.is_linked())
        return;
    visit.unlink();
    --m_heldCount;
    const auto organisation = visit.context.organisation;
    const auto held = m_heldByOrganisation.find(organisation);
    m_parts.limits.setWaiting(organisation, --held->second);
    if (!held->second)
        m_heldByOrganisation.erase(held);
    intrusive_ptr_release(&visit);
}

void Ingress::retryHeld(TimePoint now)
{
    std::vector<RefPtr<Visit>> waiting;
    for (auto& visit : m_held)
        waiting.emplace_back(&visit);
    for (const auto& visit : waiting) {
        if (visit->is_linked())
            admit(visit, now, false);
    }
}

void Ingress::tick(TimePoint now)
{
    retryHeld(now);
}

// Claims

void Ingress::claim(const RefPtr<Visit>& visit, TimePoint now)
{
    if (visit->gone)
        return;
    if (visit->context.idempotent) {
        route(visit, now);
        return;
    }
    const ClaimKeeper::Request request { visit->context.organisation, visit->idempotencyKey, visit->fingerprint,
        visit->deadline };
    m_parts.claims.claim(request, now, [this, visit](std::optional<Result<HTTPResponse>> kept) {
        if (kept)
            answer(*visit, *kept, MonotonicClock::now());
        else
            route(visit, MonotonicClock::now());
    });
}

// Routing

void Ingress::route(const RefPtr<Visit>& visit, TimePoint now)
{
    visit->context.remaining = visit->deadline - now;
    const auto id = m_parts.router.start(
        visit->context, visit->service, std::move(visit->request), now, [this, visit](const CallOutcome& outcome) {
            const auto now = MonotonicClock::now();
            if (!visit->context.idempotent)
                m_parts.claims.finish(visit->context.organisation, visit->idempotencyKey, outcome.response, now);
            answer(*visit, outcome.response, now);
        });
    visit->callID = id;
}

void Ingress::answer(Visit& visit, const Result<HTTPResponse>& response, TimePoint now)
{
    if (!visit.exchange)
        return;
    --m_inProgress;
    m_parts.metrics.record(visit.context.organisation, response ? ErrorKind::None : response.error().kind, now - visit.arrived);
    // The exchange's handler holds the visit; dropping both ends the cycle.
    const auto exchange = std::exchange(visit.exchange, nullptr);
    exchange->setDisconnectHandler(nullptr);
    exchange->respond(response ? *response : makeErrorResponse(response.error()), m_leaving);
}

} // namespace shallot
