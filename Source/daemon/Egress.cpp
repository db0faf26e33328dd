#include "daemon/Egress.h"

#include "daemon/APIKeyExtraction.h"
#include "daemon/CallExecutor.h"
#include "daemon/CallRouter.h"
#include "daemon/ErrorResponse.h"
#include "net/HTTPExchange.h"
#include "policy/PolicySettings.h"

namespace shallot {

Egress::Egress(CallExecutor& executor, CallRouter& router, const ConfigurationIndex& index, const PolicySettings& settings)
    : m_executor(executor)
    , m_router(router)
    , m_index(index)
    , m_settings(settings)
{
}

Result<void> Egress::start(const SocketAddress& address)
{
    return m_server.start(address, {}, [this](const RefPtr<HTTPExchange>& exchange) { handle(exchange); });
}

void Egress::handle(const RefPtr<HTTPExchange>& exchange)
{
    if (exchange->path() == "/shallot/announce" && exchange->request().method == "POST")
        handleAnnouncement(exchange);
    else
        handleNestedCall(exchange);
}

void Egress::handleAnnouncement(const RefPtr<HTTPExchange>& exchange)
{
    const auto announcement = parseAnnouncement(exchange->request().body);
    if (!announcement) {
        exchange->respond(makeErrorResponse(announcement.error()));
        return;
    }
    m_executor.announce(*announcement, MonotonicClock::now());
    exchange->respondJSON(200, "{}");
}

// A call without the token of a running request has no organisation, and only open routes accept it.
void Egress::handleNestedCall(const RefPtr<HTTPExchange>& exchange)
{
    const auto now = MonotonicClock::now();
    const auto callToken = requestIDFromHex(findHeader(exchange->request().headers, "X-Shallot-Token"));
    const auto parent = m_executor.findByCallToken(callToken);
    const auto* route = m_index.findRoute(exchange->path());
    if (!route) {
        exchange->respond(makeErrorResponse({ ErrorKind::RouteUnknown, exchange->path(), {} }));
        return;
    }
    if (!parent && !route->route.open) {
        exchange->respond(makeErrorResponse(
            { ErrorKind::KeyMissing, "the X-Shallot-Token header is missing or belongs to no running request", {} }));
        return;
    }
    HTTPRequest request = exchange->takeRequest();
    if (auto key = extractAPIKey(request); !key) {
        exchange->respond(makeErrorResponse(key.error()));
        return;
    }
    RequestContext context;
    context.route = route->name;
    context.idempotent = route->route.idempotent;
    context.remaining = std::chrono::milliseconds(route->route.timeoutMs);
    uint16_t allocated = 0;
    if (parent) {
        allocated = parent->tokens.allocate();
        context.id = parent->context.id;
        context.organisation = parent->context.organisation;
        context.priority = parent->context.priority;
        context.score = parent->context.score;
        context.remaining = std::min(context.remaining, parent->deadline - now);
        context.hops = static_cast<uint8_t>(parent->context.hops + 1);
        context.retryTokens = allocated;
    } else {
        context.id = makeRandomRequestID();
        context.priority = route->route.priority;
        context.score = context.priority;
        context.retryTokens = m_settings.retryTokens;
    }
    const auto id = m_router.start(
        context, route->route.service, std::move(request), now, [exchange, parent, allocated](CallOutcome outcome) {
            if (parent) {
                parent->tokens.reclaim(allocated, outcome.retryTokens);
                parent->downstreamLevel = std::max(parent->downstreamLevel, outcome.level);
            }
            exchange->setDisconnectHandler(nullptr);
            exchange->respond(outcome.response ? *outcome.response : makeErrorResponse(outcome.response.error()));
        });
    exchange->setDisconnectHandler([this, id] { m_router.cancel(id); });
    if (parent)
        parent->onEnd.emplace_back([this, id] { m_router.cancel(id); });
}

} // namespace shallot
