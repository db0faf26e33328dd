#include "net/Listener.h"

#include "core/Log.h"
#include "net/StreamSocket.h"

#include <cerrno>
#include <cstring>
#include <gio/gio.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallot {

namespace {

constexpr int backlog = 1024;
constexpr int acceptsPerIteration = 32;                          // Keeps a burst of new connections from delaying the open ones
constexpr auto shortageInterval = std::chrono::milliseconds(50); // Between two attempts without a free descriptor

} // namespace

Listener::~Listener()
{
    stop();
}

Result<void> Listener::start(const SocketAddress& address, Handler handler)
{
    m_handler = std::move(handler);
    GSocketAddress* local = makeGSocketAddress(address);
    if (!local)
        return fail(ErrorKind::BadRequest, "\"" + address.host + "\" is not an IP address");
    sockaddr_storage native {};
    const auto length = static_cast<socklen_t>(g_socket_address_get_native_size(local));
    const bool converted = g_socket_address_to_native(local, &native, sizeof native, nullptr);
    g_object_unref(local);
    const int descriptor = converted ? ::socket(native.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    const int on = 1;
    if (descriptor >= 0)
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr*>(&native), length)
        || ::listen(descriptor, backlog)) {
        auto result = fail(ErrorKind::Internal, address.toString() + ": " + std::strerror(errno));
        if (descriptor >= 0)
            ::close(descriptor);
        return result;
    }
    m_watcher.descriptor = descriptor;
    m_watcher.owner = this;
    m_watcher.onReady = [](void* owner, uint32_t) { static_cast<Listener*>(owner)->acceptPending(); };
    SocketPoller::shared().watch(m_watcher, EPOLLIN);
    return {};
}

void Listener::acceptPending()
{
    for (int i = 0; i < acceptsPerIteration && acceptOne(); ++i) { }
}

bool Listener::acceptOne()
{
    if (m_watcher.descriptor < 0)
        return false;
    int descriptor = -1;
    do
        descriptor = ::accept4(m_watcher.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    while (descriptor < 0 && (errno == EINTR || errno == ECONNABORTED));
    if (descriptor < 0) {
        if (errno != EAGAIN && errno != EWOULDBLOCK)
            waitForDescriptors(errno);
        return false;
    }
    m_lacksDescriptors = false;
    m_handler(makeRef<StreamSocket>(descriptor));
    return true;
}

// The connections stay in the kernel's queue, which would wake the main loop all the time.
void Listener::waitForDescriptors(int error)
{
    if (!std::exchange(m_lacksDescriptors, true))
        SHALLOT_LOG(WARNING, "net") << "Accepting a connection failed: " << std::strerror(error) << ".";
    SocketPoller::shared().watch(m_watcher, 0);
    m_shortageTimer.startOnce(shortageInterval, [this] {
        SocketPoller::shared().watch(m_watcher, EPOLLIN);
        acceptPending();
    });
}

void Listener::acceptPendingAndStop()
{
    for (int i = 0; i < backlog && acceptOne(); ++i) { }
    stop();
}

void Listener::stop()
{
    if (m_watcher.descriptor < 0)
        return;
    m_shortageTimer.stop();
    SocketPoller::shared().watch(m_watcher, 0);
    ::close(m_watcher.descriptor);
    m_watcher.descriptor = -1;
}

} // namespace shallot
