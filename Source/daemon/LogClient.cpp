#include "daemon/LogClient.h"

#include "core/JSON.h"

namespace shallot {

namespace {

constexpr auto requestTimeout = std::chrono::seconds(1);
constexpr int recordsPerPage = 500;

Result<LogPage> parsePage(const HTTPResponse& response)
{
    const auto root = parseJSONObject(response.body);
    JsonObject* object = root ? json_node_get_object(root.get()) : nullptr;
    JsonArray* records = jsonArray(object, "records");
    if (response.status != 200 || !records)
        return fail(
            ErrorKind::LogUnavailable, "the log service returned no records, HTTP status " + std::to_string(response.status));
    LogPage page;
    page.first = jsonInteger<uint64_t>(object, "first");
    page.next = jsonInteger<uint64_t>(object, "next");
    for (unsigned i = 0; i < json_array_get_length(records); ++i) {
        JsonObject* item = jsonObjectAt(records, i);
        page.records.push_back(
            { jsonInteger<uint64_t>(item, "offset"), jsonInteger<int64_t>(item, "timeMs"), jsonString(item, "bytes") });
    }
    return page;
}

} // namespace

LogClient::LogClient(const SocketAddress& address)
    : m_host(address.toString())
{
    m_pool.setAddress(address);
}

void LogClient::send(HTTPRequest request, TimePoint now, Completion completion)
{
    if (m_blocked) {
        completion(fail(ErrorKind::LogUnavailable, "requests to the log service are blocked by fault injection"));
        return;
    }
    const uint64_t id = m_nextID++;
    request.headers.emplace_back("Host", m_host);
    m_pending[id] = { now + requestTimeout, std::move(completion) };
    m_pool.send(id, request, [this, id](Result<HTTPResponse> response) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        const auto completion = std::move(found->second.completion);
        m_pending.erase(found);
        completion(std::move(response));
    });
}

void LogClient::append(std::string bytes, TimePoint now, AppendCompletion completion)
{
    send({ "POST", "/append", {}, std::move(bytes) }, now, [completion = std::move(completion)](Result<HTTPResponse> response) {
        if (!response)
            completion(tl::unexpected(response.error()));
        else if (response->status != 200)
            completion(fail(ErrorKind::LogUnavailable,
                "the log service did not store the append, HTTP status " + std::to_string(response->status)));
        else
            completion({});
    });
}

void LogClient::read(uint64_t from, TimePoint now, ReadCompletion completion)
{
    const auto target = "/records?from=" + std::to_string(from) + "&max=" + std::to_string(recordsPerPage);
    send({ "GET", target, {}, {} }, now, [completion = std::move(completion)](Result<HTTPResponse> response) {
        if (response)
            completion(parsePage(*response));
        else
            completion(tl::unexpected(response.error()));
    });
}

void LogClient::tick(TimePoint now)
{
    std::vector<uint64_t> overdue;
    for (const auto& [id, pending] : m_pending) {
        if (pending.deadline <= now)
            overdue.push_back(id);
    }
    for (const auto id : overdue) {
        m_pool.abandon(id);
        const auto completion = std::move(m_pending.at(id).completion);
        m_pending.erase(id);
        completion(fail(ErrorKind::LogUnavailable, "the log service did not respond within 1 s"));
    }
}

} // namespace shallot
