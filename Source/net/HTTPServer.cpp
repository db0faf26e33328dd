#include "net/HTTPServer.h"

#include "core/ErrorKind.h"
#include "net/HTTPExchange.h"

#include <libsoup/soup.h>

namespace shallot {

namespace {

constexpr int listenBacklog = 1024;
constexpr const char* countedKey = "shallot-counted";

void rejectTooLarge(SoupServerMessage* message)
{
    const auto& info = errorInfo(ErrorKind::TooLarge);
    soup_server_message_set_status(message, static_cast<guint>(info.httpStatus), nullptr);
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "X-Shallot-Error", std::string(info.name).c_str());
    soup_message_headers_replace(headers, "X-Shallot-Ran", "no");
    soup_message_headers_replace(headers, "Connection", "close");
}

bool isRejected(SoupServerMessage* message)
{
    return soup_server_message_get_status(message) != 0;
}

} // namespace

HTTPServer::~HTTPServer()
{
    stopListening();
    if (!m_server)
        return;
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
}

Result<void> HTTPServer::start(const SocketAddress& address, const HTTPServerLimits& limits, Handler handler)
{
    m_limits = limits;
    m_handler = std::move(handler);
    m_server = soup_server_new("raw-paths", TRUE, nullptr);
    soup_server_add_early_handler(
        m_server, nullptr,
        [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
            static_cast<HTTPServer*>(data)->limitBodySize(message);
        },
        this, nullptr);
    soup_server_add_handler(
        m_server, nullptr,
        [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
            const auto* server = static_cast<HTTPServer*>(data);
            if (!isRejected(message))
                server->m_handler(makeRef<HTTPExchange>(message, server->m_closes));
        },
        this, nullptr);

    g_signal_connect(m_server, "request-started", G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer data) {
        static_cast<HTTPServer*>(data)->countConnection(soup_server_message_get_socket(message));
    }),
        this);
    return listen(address);
}

Result<void> HTTPServer::listen(const SocketAddress& address)
{
    GSocketAddress* local = makeGSocketAddress(address);
    if (!local)
        return fail(ErrorKind::BadRequest, "\"" + address.host + "\" is not an IP address");
    GError* error = nullptr;
    m_listener = g_socket_new(g_socket_address_get_family(local), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
    if (m_listener) {
        g_socket_set_listen_backlog(m_listener, listenBacklog);
        const bool listening = g_socket_bind(m_listener, local, TRUE, &error) && g_socket_listen(m_listener, &error)
            && soup_server_listen_socket(m_server, m_listener, static_cast<SoupServerListenOptions>(0), &error);
        if (!listening)
            g_clear_object(&m_listener);
    }
    g_object_unref(local);
    if (m_listener)
        return {};
    auto result = fail(ErrorKind::Internal, address.toString() + ": " + error->message);
    g_error_free(error);
    return result;
}

// Called for each request. libsoup starts the first request of a connection as soon as the connection is accepted.
void HTTPServer::countConnection(GSocket* socket)
{
    if (!socket || g_object_get_data(G_OBJECT(socket), countedKey))
        return;
    g_object_set_data(G_OBJECT(socket), countedKey, this);
    if (*m_connections >= m_limits.maximumConnections) {
        g_socket_close(socket, nullptr);
        return;
    }
    g_socket_set_timeout(socket, static_cast<guint>(m_limits.idleTimeout.count()));
    ++*m_connections;
    // The socket may outlive this server, so the server shares ownership of the count.
    auto* connections = new std::shared_ptr<size_t>(m_connections);
    g_object_weak_ref(
        G_OBJECT(socket),
        [](gpointer data, GObject*) {
            auto* connections = static_cast<std::shared_ptr<size_t>*>(data);
            --**connections;
            delete connections;
        },
        connections);
}

// Rejects a body by its Content-Length at once; a body without one is rejected when the bytes received exceed the limit.
void HTTPServer::limitBodySize(SoupServerMessage* message)
{
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const auto contentLength = soup_message_headers_get_content_length(headers);
    if (contentLength > static_cast<goffset>(m_limits.maximumBodyBytes)) {
        rejectTooLarge(message);
        return;
    }
    g_object_set_data(G_OBJECT(message), "maximum-body", GSIZE_TO_POINTER(m_limits.maximumBodyBytes));
    g_signal_connect(message, "got-chunk", G_CALLBACK(+[](SoupServerMessage* message, GBytes*, gpointer) {
        const auto maximum = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), "maximum-body"));
        SoupMessageBody* body = soup_server_message_get_request_body(message);
        if (static_cast<size_t>(body->length) > maximum) {
            soup_message_body_truncate(body);
            soup_message_body_set_accumulate(body, FALSE);
            if (!isRejected(message))
                rejectTooLarge(message);
        }
    }),
        nullptr);
}

void HTTPServer::stopListening()
{
    if (!m_listener)
        return;
    g_socket_close(m_listener, nullptr);
    g_clear_object(&m_listener);
}

} // namespace shallot
