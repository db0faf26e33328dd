#include "daemon/AdminAPI.h"

#include "config/ConfigurationJSON.h"
#include "core/Digest.h"
#include "core/JSON.h"
#include "core/Log.h"
#include "daemon/ErrorResponse.h"
#include "daemon/Metrics.h"
#include "log/AppendQueue.h"
#include "log/FleetState.h"
#include "membership/GossipTable.h"
#include "net/HTTPExchange.h"

namespace shallot {

namespace {

constexpr auto editTimeout = std::chrono::seconds(5);

int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

AdminAPI::AdminAPI(AdminDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

Result<void> AdminAPI::start(const SocketAddress& address)
{
    HTTPServerLimits limits;
    limits.maximumConnections = 100;
    limits.maximumBodyBytes = 4 * 1024 * 1024;
    return m_server.start(address, limits, [this](const RefPtr<HTTPExchange>& exchange) { handle(exchange); });
}

// Name of the operator whose credential the request carries; empty without a valid credential.
std::string AdminAPI::operatorName(const HTTPExchange& exchange) const
{
    constexpr std::string_view bearer = "Bearer ";
    const auto header = findHeader(exchange.request().headers, "Authorization");
    if (!header.starts_with(bearer))
        return {};
    const auto digest = sha256Hex(header.substr(bearer.size()));
    std::string name;
    for (const auto& entry : m_dependencies.operators) {
        const auto colon = entry.find(':');
        if (equalConstantTime(digest, std::string_view(entry).substr(colon + 1)))
            name = entry.substr(0, colon);
    }
    return name;
}

void AdminAPI::handle(const RefPtr<HTTPExchange>& exchange)
{
    const auto& path = exchange->path();
    const bool isPost = exchange->request().method == "POST";
    if (path == "/status")
        exchange->respondJSON(200, m_dependencies.status());
    else if (path == "/metrics")
        exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_dependencies.metrics.format() });
    else if (path == "/members")
        exchange->respondJSON(200, formatMembers());
    else if (path == "/faults" && isPost && m_dependencies.setFaults)
        handleFaults(exchange);
    else if (const auto author = operatorName(*exchange); author.empty())
        exchange->respond(makeErrorResponse({ ErrorKind::OperatorUnknown, {}, {} }));
    else if (path == "/edits" && isPost)
        handleEdit(exchange, author);
    else
        handleRead(exchange);
}

void AdminAPI::handleRead(const RefPtr<HTTPExchange>& exchange)
{
    if (exchange->path() == "/configuration") {
        JSONWriter writer;
        writer.beginObject().add("revision", m_dependencies.fleetState.configuration().revision()).beginObject("configuration");
        writeConfiguration(writer, m_dependencies.fleetState.configuration().configuration());
        writer.endObject().endObject();
        exchange->respondJSON(200, writer.finish(true));
    } else if (exchange->path() == "/history") {
        exchange->respondJSON(200, formatHistory());
    } else {
        exchange->respond(makeErrorResponse({ ErrorKind::RouteUnknown, exchange->path(), {} }));
    }
}

void AdminAPI::handleEdit(const RefPtr<HTTPExchange>& exchange, const std::string& author)
{
    const auto root = parseJSONObject(exchange->request().body);
    auto edit = root ? readEdit(json_node_get_object(root.get()))
                     : fail(ErrorKind::EditInvalid, "the body of the edit is not a JSON object");
    if (!edit) {
        exchange->respond(makeErrorResponse(edit.error()));
        return;
    }
    edit->author = author;
    edit->wallClockMs = wallClockMs();
    if (auto checked = m_dependencies.fleetState.configuration().check(*edit); !checked) {
        exchange->respond(makeErrorResponse(checked.error()));
        return;
    }
    SHALLOT_LOG(INFO, "admin") << "Operator " << author << " submitted an edit of " << edit->changes.size()
                               << " items based on revision " << edit->base << ".";
    // Reports "accepted" only after the edit was applied from the log, which decides between concurrent edits.
    m_dependencies.appends.push(
        EditEntry { *edit }, MonotonicClock::now() + editTimeout, [exchange](const Result<uint64_t>& result) {
            if (!result) {
                exchange->respond(makeErrorResponse(result.error()));
                return;
            }
            JSONWriter writer;
            writer.beginObject().add("accepted", true).add("revision", *result).endObject();
            exchange->respondJSON(200, writer.finish());
        });
}

void AdminAPI::handleFaults(const RefPtr<HTTPExchange>& exchange)
{
    const auto root = parseJSONObject(exchange->request().body);
    const auto blocked = root ? jsonStrings(json_node_get_object(root.get()), "blocked") : std::vector<std::string>();
    m_dependencies.setFaults({ blocked.begin(), blocked.end() });
    exchange->respondJSON(200, "{}");
}

std::string AdminAPI::formatHistory() const
{
    JSONWriter writer;
    writer.beginObject();
    m_dependencies.fleetState.configuration().writeHistory(writer);
    writer.endObject();
    return writer.finish(true);
}

std::string AdminAPI::formatMembers() const
{
    JSONWriter writer;
    writer.beginObject().beginArray("members");
    for (const auto* member : m_dependencies.gossip.members()) {
        writer.beginObject().add("member", member->member).add("zone", member->zone).add("address", member->address);
        writer.add("service", member->service).add("slots", member->slots).add("status", toString(member->status)).endObject();
    }
    writer.endArray().endObject();
    return writer.finish(true);
}

} // namespace shallot
