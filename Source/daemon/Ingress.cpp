// Index of this file
//   Arrival:   handle, checkRequest
//   Limits:    admit, hold, releaseHeld, retryHeld, tick
//   Claims:    claim
//   Routing:   route, respond

#include "daemon/Ingress.h"

#include "core/Digest.h"
#include "daemon/APIKeyExtraction.h"
#include "daemon/CallRouter.h"
#include "daemon/ErrorResponse.h"
#include "daemon/Metrics.h"
#include "daemon/RequestDeduplicator.h"
#include "limits/LimitSystem.h"
#include "net/HTTPExchange.h"
#include "policy/CrashFingerprints.h"
#include "policy/PolicySettings.h"

namespace shallot {

namespace {

constexpr size_t maximumHeld = 2000;
constexpr size_t maximumIdempotencyKeyLength = 256;

} // namespace

Ingress::Ingress(IngressDependencies dependencies)
    : m_dependencies(dependencies)
{
}

Ingress::~Ingress()
{
    while (!m_held.empty())
        releaseHeld(m_held.front());
}

Result<void> Ingress::start(const SocketAddress& address, const HTTPServerLimits& limits)
{
    return m_server.start(
        address, limits, [this](const RefPtr<HTTPExchange>& exchange) { handle(exchange, MonotonicClock::now()); });
}

void Ingress::startDraining()
{
    m_server.closeAfterResponses();
    m_server.stopListening();
}

// Arrival

void Ingress::handle(const RefPtr<HTTPExchange>& exchange, TimePoint now)
{
    ++m_inProgress;
    auto pending = makeRef<IngressRequest>();
    pending->exchange = exchange;
    pending->request = exchange->takeRequest();
    pending->arrived = now;
    std::string detail;
    if (const auto refusal = checkRequest(*pending, now, detail); refusal != ErrorKind::None) {
        respond(*pending, fail(refusal, detail), now);
        return;
    }
    exchange->setDisconnectHandler([this, pending] {
        pending->disconnected = true;
        releaseHeld(*pending);
        // A non-idempotent request continues, so that a resend gets its response.
        if (pending->context.idempotent && pending->callID)
            m_dependencies.router.cancel(pending->callID);
        if (pending->context.idempotent || !pending->callID)
            respond(*pending, fail(ErrorKind::Cancelled), MonotonicClock::now());
    });
    if (pending->openRoute)
        claim(pending, now);
    else
        admit(pending, now, true);
}

ErrorKind Ingress::checkRequest(IngressRequest& pending, TimePoint now, std::string& detail)
{
    const auto key = extractAPIKey(pending.request);
    if (!key) {
        detail = key.error().detail;
        return key.error().kind;
    }
    const auto* route = m_dependencies.index.findRoute(pending.exchange->path());
    if (!route) {
        // The detail does not name the path, because it may contain a key.
        return ErrorKind::RouteUnknown;
    }
    auto& context = pending.context;
    if (!route->route.open) {
        if (key->empty())
            return ErrorKind::KeyMissing;
        const auto* organisation = m_dependencies.index.findByKeyDigest(sha256Hex(*key));
        if (!organisation)
            return ErrorKind::KeyUnknown;
        context.organisation = organisation->name;
        if (!organisation->routes.contains(route->name)) {
            detail = "route \"" + route->name + "\"";
            return ErrorKind::RouteForbidden;
        }
    }
    pending.openRoute = route->route.open;
    pending.service = route->route.service;
    pending.deadline = now + std::chrono::milliseconds(route->route.timeoutMs);
    context.id = makeRandomRequestID();
    context.route = route->name;
    context.priority = route->route.priority;
    context.idempotent = route->route.idempotent;
    context.retryTokens = m_dependencies.policy.retryTokens;
    pending.fingerprint
        = requestFingerprint(context.organisation, pending.request.method, pending.request.target, pending.request.body);
    if (!context.idempotent) {
        pending.idempotencyKey = findHeader(pending.request.headers, "Idempotency-Key");
        if (pending.idempotencyKey.empty() || pending.idempotencyKey.size() > maximumIdempotencyKeyLength)
            return ErrorKind::IdempotencyKeyMissing;
    }
    if (m_dependencies.crashes.isRefused(pending.fingerprint, now))
        return ErrorKind::CrashSuspect;
    context.score = m_scores.score(context.priority, context.organisation, context.id, now);
    if (context.score < m_dependencies.router.levels().level(pending.service, now))
        return ErrorKind::Overloaded;
    return ErrorKind::None;
}

// Limits

void Ingress::admit(const RefPtr<IngressRequest>& pending, TimePoint now, bool isNew)
{
    const auto& organisation = pending->context.organisation;
    const auto admission = m_dependencies.limits.admit(organisation, now, isNew);
    if (admission == Admission::Admitted) {
        releaseHeld(*pending);
        claim(pending, now);
        return;
    }
    const bool mayWait = pending->heldSince == TimePoint() ? m_heldCount < maximumHeld
                                                           : now - pending->heldSince < m_dependencies.limitSettings.holdTime;
    if (admission == Admission::Wait && mayWait) {
        hold(pending, now);
        return;
    }
    releaseHeld(*pending);
    if (admission == Admission::NoLender) {
        respond(*pending, fail(ErrorKind::LimitUnavailable), now);
        return;
    }
    Error error { ErrorKind::RateExceeded, {}, m_dependencies.limits.retryAfter(organisation, now) };
    respond(*pending, tl::unexpected(std::move(error)), now);
}

void Ingress::hold(const RefPtr<IngressRequest>& pending, TimePoint now)
{
    if (pending->heldSince != TimePoint())
        return;
    pending->heldSince = now;
    // The list holds a reference, which releaseHeld() releases.
    intrusive_ptr_add_ref(pending.get());
    m_held.push_back(*pending);
    ++m_heldCount;
    const auto& organisation = pending->context.organisation;
    m_dependencies.limits.setWaiting(organisation, ++m_heldByOrganisation[organisation]);
    m_dependencies.limits.exchangeLoans(now);
}

void Ingress::releaseHeld(IngressRequest& pending)
{
    if (!pending.is_linked())
        return;
    pending.unlink();
    --m_heldCount;
    const auto organisation = pending.context.organisation;
    const auto held = m_heldByOrganisation.find(organisation);
    m_dependencies.limits.setWaiting(organisation, --held->second);
    if (!held->second)
        m_heldByOrganisation.erase(held);
    intrusive_ptr_release(&pending);
}

void Ingress::retryHeld(TimePoint now)
{
    std::vector<RefPtr<IngressRequest>> waiting;
    for (auto& pending : m_held)
        waiting.emplace_back(&pending);
    for (const auto& pending : waiting) {
        if (pending->is_linked())
            admit(pending, now, false);
    }
}

void Ingress::tick(TimePoint now)
{
    retryHeld(now);
}

// Claims

void Ingress::claim(const RefPtr<IngressRequest>& pending, TimePoint now)
{
    if (pending->disconnected)
        return;
    if (pending->context.idempotent) {
        route(pending, now);
        return;
    }
    const RequestDeduplicator::Request request { pending->context.organisation, pending->idempotencyKey, pending->fingerprint,
        pending->deadline };
    m_dependencies.claims.claim(request, now, [this, pending](std::optional<Result<HTTPResponse>> cachedResponse) {
        if (cachedResponse)
            respond(*pending, *cachedResponse, MonotonicClock::now());
        else
            route(pending, MonotonicClock::now());
    });
}

// Routing

void Ingress::route(const RefPtr<IngressRequest>& pending, TimePoint now)
{
    pending->context.remaining = pending->deadline - now;
    const auto id = m_dependencies.router.start(
        pending->context, pending->service, std::move(pending->request), now, [this, pending](const CallOutcome& outcome) {
            const auto now = MonotonicClock::now();
            if (!pending->context.idempotent)
                m_dependencies.claims.finish(pending->context.organisation, pending->idempotencyKey, outcome.response, now);
            respond(*pending, outcome.response, now);
        });
    pending->callID = id;
}

void Ingress::respond(IngressRequest& pending, const Result<HTTPResponse>& response, TimePoint now)
{
    if (!pending.exchange)
        return;
    --m_inProgress;
    m_dependencies.metrics.record(
        pending.context.organisation, response ? ErrorKind::None : response.error().kind, now - pending.arrived);
    // The exchange's disconnect handler holds a reference to the request; clearing both breaks the cycle.
    const auto exchange = std::exchange(pending.exchange, nullptr);
    exchange->setDisconnectHandler(nullptr);
    exchange->respond(response ? *response : makeErrorResponse(response.error()));
}

} // namespace shallot
