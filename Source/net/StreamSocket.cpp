#include "net/StreamSocket.h"

#include <array>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace shallot {

namespace {

constexpr size_t maximumPendingBytes = 32 * 1024 * 1024;
constexpr size_t readChunkBytes = 64 * 1024;
constexpr int maximumReadsPerWake = 16; // Keeps one busy connection from starving the others

void removeSource(GSource*& source)
{
    if (!source)
        return;
    g_source_destroy(source);
    g_source_unref(source);
    source = nullptr;
}

bool wouldBlock(GError* error)
{
    const bool result = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return result;
}

} // namespace

StreamSocket::StreamSocket(GSocket* socket, GSocketConnection* owner)
    : m_socket(socket)
    , m_owner(owner)
{
    g_object_ref(m_socket);
    if (m_owner)
        g_object_ref(m_owner);
    g_socket_set_blocking(m_socket, FALSE);
    g_socket_set_option(m_socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

StreamSocket::~StreamSocket()
{
    close();
}

RefPtr<StreamSocket> StreamSocket::connect(const SocketAddress& address)
{
    GSocketAddress* target = makeGSocketAddress(address);
    if (!target)
        return nullptr;
    GSocket* socket = g_socket_new(g_socket_address_get_family(target), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
    RefPtr<StreamSocket> result;
    if (socket) {
        result = makeRef<StreamSocket>(socket);
        GError* error = nullptr;
        result->m_connecting = !g_socket_connect(socket, target, nullptr, &error);
        const bool failed = error && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
        g_clear_error(&error);
        if (failed)
            result = nullptr;
        g_object_unref(socket);
    }
    g_object_unref(target);
    return result;
}

void StreamSocket::start(Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
    m_readSource = g_socket_create_source(m_socket, G_IO_IN, nullptr);
    g_source_set_callback(m_readSource, G_SOURCE_FUNC(+[](GSocket*, GIOCondition condition, gpointer data) -> gboolean {
        return static_cast<StreamSocket*>(data)->onReady(condition);
    }),
        this, nullptr);
    g_source_attach(m_readSource, nullptr);
    watchWritable(m_connecting || !m_pending.empty());
}

void StreamSocket::watchWritable(bool watch)
{
    if (!watch) {
        removeSource(m_writeSource);
        return;
    }
    if (m_writeSource || !m_readSource)
        return;
    m_writeSource = g_socket_create_source(m_socket, G_IO_OUT, nullptr);
    g_source_set_callback(m_writeSource, G_SOURCE_FUNC(+[](GSocket*, GIOCondition condition, gpointer data) -> gboolean {
        return static_cast<StreamSocket*>(data)->onReady(condition);
    }),
        this, nullptr);
    g_source_attach(m_writeSource, nullptr);
}

bool StreamSocket::onReady(unsigned condition)
{
    const RefPtr<StreamSocket> protect(this);
    if (m_connecting) {
        if (condition & (G_IO_OUT | G_IO_ERR | G_IO_HUP))
            finishConnecting();
        return G_SOURCE_CONTINUE;
    }
    if ((condition & G_IO_OUT) && !flush()) {
        closeAndNotify();
        return G_SOURCE_CONTINUE;
    }
    if (m_socket && (condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)))
        readAvailable();
    return G_SOURCE_CONTINUE;
}

void StreamSocket::finishConnecting()
{
    GError* error = nullptr;
    const bool connected = g_socket_check_connect_result(m_socket, &error);
    g_clear_error(&error);
    if (!connected) {
        closeAndNotify();
        return;
    }
    m_connecting = false;
    if (!flush()) {
        closeAndNotify();
        return;
    }
    if (m_callbacks.onConnected)
        m_callbacks.onConnected();
}

void StreamSocket::readAvailable()
{
    std::array<uint8_t, readChunkBytes> chunk; // NOLINT: filled by the read
    for (int i = 0; i < maximumReadsPerWake && m_socket; ++i) {
        GError* error = nullptr;
        const gssize size = g_socket_receive(m_socket, reinterpret_cast<char*>(chunk.data()), chunk.size(), nullptr, &error);
        if (size < 0) {
            if (!wouldBlock(error))
                closeAndNotify();
            return;
        }
        if (!size) {
            closeAndNotify();
            return;
        }
        m_callbacks.onData({ chunk.data(), static_cast<size_t>(size) });
        if (static_cast<size_t>(size) < chunk.size())
            return;
    }
}

bool StreamSocket::write(std::string_view bytes)
{
    if (!m_socket)
        return false;
    if (m_pending.size() - m_pendingOffset + bytes.size() > maximumPendingBytes) {
        closeAndNotify();
        return false;
    }
    m_pending.append(bytes);
    if (m_connecting)
        return true;
    if (!flush()) {
        closeAndNotify();
        return false;
    }
    return true;
}

bool StreamSocket::flush()
{
    while (m_pendingOffset < m_pending.size()) {
        GError* error = nullptr;
        const gssize sent
            = g_socket_send(m_socket, m_pending.data() + m_pendingOffset, m_pending.size() - m_pendingOffset, nullptr, &error);
        if (sent < 0) {
            if (!wouldBlock(error))
                return false;
            watchWritable(true);
            return true;
        }
        m_pendingOffset += static_cast<size_t>(sent);
    }
    m_pending.clear();
    m_pendingOffset = 0;
    watchWritable(false);
    return true;
}

void StreamSocket::closeAndNotify()
{
    if (!m_socket)
        return;
    const RefPtr<StreamSocket> protect(this);
    const auto onClosed = m_callbacks.onClosed;
    close();
    if (onClosed)
        onClosed();
}

// The callbacks stay until destruction: one of them may be on the stack.
void StreamSocket::close()
{
    removeSource(m_readSource);
    removeSource(m_writeSource);
    if (!m_socket)
        return;
    g_socket_close(m_socket, nullptr);
    g_object_unref(m_socket);
    m_socket = nullptr;
    g_clear_object(&m_owner);
}

} // namespace shallot
