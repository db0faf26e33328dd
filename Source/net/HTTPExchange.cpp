#include "net/HTTPExchange.h"

#include <libsoup/soup.h>

namespace shallot {

HTTPExchange::HTTPExchange(SoupServerMessage* message, std::shared_ptr<const bool> closes)
    : m_message(message)
    , m_closes(std::move(closes))
{
    g_object_ref(m_message);
    m_disconnectedHandler = g_signal_connect(m_message, "disconnected",
        G_CALLBACK(+[](SoupServerMessage*, gpointer data) { static_cast<HTTPExchange*>(data)->onDisconnected(); }), this);
    readRequest();
    soup_server_message_pause(m_message);
}

HTTPExchange::~HTTPExchange()
{
    // No reference is left that could respond.
    if (m_message)
        respondJSON(500, "{\"error\":\"internal\"}");
}

void HTTPExchange::readRequest()
{
    m_request.method = soup_server_message_get_method(m_message);
    GUri* uri = soup_server_message_get_uri(m_message);
    m_path = g_uri_get_path(uri);
    m_request.target = m_path.empty() ? "/" : m_path;
    if (const char* query = g_uri_get_query(uri))
        m_request.target += std::string("?") + query;
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, soup_server_message_get_request_headers(m_message));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value))
        m_request.headers.emplace_back(name, value);
    SoupMessageBody* body = soup_server_message_get_request_body(m_message);
    GBytes* bytes = soup_message_body_flatten(body);
    size_t size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (data)
        m_request.body.assign(data, size);
    g_bytes_unref(bytes);
}

void HTTPExchange::respond(const HTTPResponse& response)
{
    if (!m_message)
        return;
    soup_server_message_set_status(m_message, response.status, nullptr);
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(m_message);
    for (const auto& [name, value] : response.headers) {
        if (!isHopByHopHeader(name) && isSafeHeader(name, value))
            soup_message_headers_append(headers, name.c_str(), value.c_str());
    }
    if (*m_closes)
        soup_message_headers_replace(headers, "Connection", "close");
    soup_message_body_append(
        soup_server_message_get_response_body(m_message), SOUP_MEMORY_COPY, response.body.data(), response.body.size());
    SoupServerMessage* message = m_message;
    g_object_ref(message);
    release();
    soup_server_message_unpause(message);
    g_object_unref(message);
}

void HTTPExchange::respondJSON(uint16_t status, std::string body)
{
    respond({ status, { { "Content-Type", "application/json" } }, std::move(body) });
}

void HTTPExchange::onDisconnected()
{
    const RefPtr<HTTPExchange> protect(this);
    release();
    if (const auto onDisconnect = std::exchange(m_onDisconnect, nullptr))
        onDisconnect();
}

void HTTPExchange::release()
{
    if (!m_message)
        return;
    g_signal_handler_disconnect(m_message, m_disconnectedHandler);
    g_object_unref(m_message);
    m_message = nullptr;
}

} // namespace shallot
