#include "net/Listener.h"

#include "net/StreamSocket.h"

#include <gio/gio.h>

namespace shallot {

Listener::~Listener()
{
    stop();
}

Result<void> Listener::start(const SocketAddress& address, Handler handler)
{
    m_handler = std::move(handler);
    GSocketAddress* local = makeGSocketAddress(address);
    if (!local)
        return fail(ErrorKind::BadRequest, "\"" + address.host + "\" is not an IP number");
    m_service = g_socket_service_new();
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
            static_cast<Listener*>(data)->m_handler(
                makeRef<StreamSocket>(g_socket_connection_get_socket(connection), connection));
            return TRUE;
        }),
        this);
    g_socket_service_start(m_service);
    return {};
}

void Listener::stop()
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
