#include "net/HTTPServer.h"

#include "core/ErrorKind.h"
#include "net/HTTPExchange.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace shallot {

namespace {

void refuseTooLarge(SoupServerMessage* message)
{
    const auto& answer = errorAnswer(ErrorKind::TooLarge);
    soup_server_message_set_status(message, static_cast<guint>(answer.httpStatus), nullptr);
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "X-Shallot-Error", std::string(answer.name).c_str());
    soup_message_headers_replace(headers, "X-Shallot-Ran", "no");
    soup_message_headers_replace(headers, "Connection", "close");
}

bool isRefused(SoupServerMessage* message)
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
            static_cast<HTTPServer*>(data)->checkSize(message);
        },
        this, nullptr);
    soup_server_add_handler(
        m_server, nullptr,
        [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
            if (!isRefused(message))
                static_cast<HTTPServer*>(data)->m_handler(makeRef<HTTPExchange>(message));
        },
        this, nullptr);

    GSocketAddress* local = makeGSocketAddress(address);
    if (!local)
        return fail(ErrorKind::BadRequest, "\"" + address.host + "\" is not an IP number");
    m_service = g_socket_service_new();
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(m_service), 1024);
    GError* error = nullptr;
    const bool bound = g_socket_listener_add_address(
        G_SOCKET_LISTENER(m_service), local, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
    g_object_unref(local);
    if (!bound) {
        auto result = fail(ErrorKind::Internal, address.toString() + ": " + error->message);
        g_error_free(error);
        return result;
    }
    g_signal_connect(m_service, "incoming",
        G_CALLBACK(+[](GSocketService*, GSocketConnection* connection, GObject*, gpointer data) -> gboolean {
            static_cast<HTTPServer*>(data)->accept(connection);
            return TRUE;
        }),
        this);
    return {};
}

void HTTPServer::accept(GSocketConnection* connection)
{
    if (m_connections >= m_limits.maximumConnections)
        return;
    GSocket* socket = g_socket_connection_get_socket(connection);
    g_socket_set_timeout(socket, static_cast<guint>(m_limits.idleTimeout.count()));
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    ++m_connections;
    g_object_weak_ref(
        G_OBJECT(connection), [](gpointer data, GObject*) { --static_cast<HTTPServer*>(data)->m_connections; }, this);
    GSocketAddress* local = g_socket_connection_get_local_address(connection, nullptr);
    GSocketAddress* remote = g_socket_connection_get_remote_address(connection, nullptr);
    if (local && remote)
        soup_server_accept_iostream(m_server, G_IO_STREAM(connection), local, remote, nullptr);
    g_clear_object(&local);
    g_clear_object(&remote);
}

// Refuses by the announced length at once, and by the received length for a body that announces none.
void HTTPServer::checkSize(SoupServerMessage* message)
{
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const auto announced = soup_message_headers_get_content_length(headers);
    if (announced > static_cast<goffset>(m_limits.maximumBodyBytes)) {
        refuseTooLarge(message);
        return;
    }
    g_object_set_data(G_OBJECT(message), "maximum-body", GSIZE_TO_POINTER(m_limits.maximumBodyBytes));
    g_signal_connect(message, "got-chunk", G_CALLBACK(+[](SoupServerMessage* message, GBytes*, gpointer) {
        const auto maximum = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), "maximum-body"));
        SoupMessageBody* body = soup_server_message_get_request_body(message);
        if (static_cast<size_t>(body->length) > maximum) {
            soup_message_body_truncate(body);
            soup_message_body_set_accumulate(body, FALSE);
            if (!isRefused(message))
                refuseTooLarge(message);
        }
    }),
        nullptr);
}

void HTTPServer::stopListening()
{
    if (!m_service)
        return;
    g_signal_handlers_disconnect_by_data(m_service, this);
    g_socket_service_stop(m_service);
    g_socket_listener_close(G_SOCKET_LISTENER(m_service));
    g_object_unref(m_service);
    m_service = nullptr;
}

} // namespace shallot
