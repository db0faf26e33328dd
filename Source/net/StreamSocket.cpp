#include "net/StreamSocket.h"

#include "core/EventLog.h"
#include "net/ByteBudget.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <gio/gio.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace shallot {

namespace {

constexpr size_t maximumPendingBytes = 32 * 1024 * 1024;
constexpr size_t compactedBytes = 256 * 1024; // That were sent, after which the rest is moved to a smaller buffer
constexpr size_t readChunkBytes = 64 * 1024;
constexpr auto memoryInterval = std::chrono::milliseconds(20); // Between two attempts while the kernel has no memory for a socket
constexpr int maximumReadsPerEvent = 1;                        // A busy connection starves neither the others nor the timers

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

bool lacksMemory()
{
    return errno == ENOBUFS || errno == ENOMEM;
}

} // namespace

StreamSocket::StreamSocket(int descriptor)
{
    m_watcher.descriptor = descriptor;
    m_watcher.owner = this;
    m_watcher.onReady = [](void* owner, uint32_t events) { static_cast<StreamSocket*>(owner)->onReady(events); };
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
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
    sockaddr_storage native {};
    const auto length = g_socket_address_get_native_size(target);
    const bool converted = g_socket_address_to_native(target, &native, sizeof native, nullptr);
    g_object_unref(target);
    const int descriptor = converted ? ::socket(native.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (descriptor < 0)
        return nullptr;
    auto result = makeRef<StreamSocket>(descriptor);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&native), static_cast<socklen_t>(length))) {
        if (errno != EINPROGRESS)
            return nullptr;
        result->m_connecting = true;
    }
    return result;
}

void StreamSocket::setUserTimeout(Duration timeout)
{
    const auto milliseconds = static_cast<unsigned>(timeout.count() / 1000);
    if (isOpen())
        setsockopt(m_watcher.descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

size_t StreamSocket::unacknowledgedBytes() const
{
    int queued = 0;
    const bool known = isOpen() && !ioctl(m_watcher.descriptor, SIOCOUTQ, &queued);
    return pendingBytes() + (known ? static_cast<size_t>(queued) : 0);
}

size_t StreamSocket::unreadBytes() const
{
    int queued = 0;
    const bool known = isOpen() && !ioctl(m_watcher.descriptor, SIOCINQ, &queued);
    return known ? static_cast<size_t>(queued) : 0;
}

std::string StreamSocket::peerHost() const
{
    sockaddr_storage native {};
    socklen_t length = sizeof native;
    if (!isOpen() || getpeername(m_watcher.descriptor, reinterpret_cast<sockaddr*>(&native), &length))
        return {};
    GSocketAddress* address = g_socket_address_new_from_native(&native, length);
    if (!address)
        return {};
    char* text = g_inet_address_to_string(g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
    std::string result(text);
    g_free(text);
    g_object_unref(address);
    return result;
}

void StreamSocket::start(Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
    m_started = true;
    updateWatch();
}

void StreamSocket::updateWatch()
{
    if (!isOpen() || !m_started)
        return;
    const bool reads = !m_connecting && !m_readPaused && !m_peerFinished && !m_lacksMemory;
    const uint32_t readable = reads ? static_cast<uint32_t>(EPOLLIN) | static_cast<uint32_t>(EPOLLRDHUP) : 0U;
    const uint32_t writable = m_connecting || (m_writeBlocked && !m_lacksMemory) ? static_cast<uint32_t>(EPOLLOUT) : 0U;
    SocketPoller::shared().watch(m_watcher, readable | writable | static_cast<uint32_t>(EPOLLERR));
}

void StreamSocket::setReadPaused(bool paused)
{
    if (std::exchange(m_readPaused, paused) != paused)
        updateWatch();
}

void StreamSocket::onReady(uint32_t events)
{
    const RefPtr<StreamSocket> protect(this);
    if (m_connecting) {
        finishConnecting();
        return;
    }
    if ((events & EPOLLOUT) && !flush()) {
        onSendFailed();
        return;
    }
    if ((events & EPOLLOUT) && !pendingBytes() && m_callbacks.onFlushed)
        m_callbacks.onFlushed();
    if (!isOpen())
        return;
    m_peerEndArrived = m_peerEndArrived || (events & EPOLLRDHUP);
    const bool hasEnded = (m_readPaused || m_peerFinished) && (events & (EPOLLHUP | EPOLLERR));
    if (hasEnded && m_readPaused && m_callbacks.readsAfterReset)
        SocketPoller::shared().watch(m_watcher, 0); // Until reading goes on; epoll always reports the end
    else if (hasEnded)
        closeAndNotify(StreamEnd::Reset);
    else if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        readAvailable();
}

void StreamSocket::finishConnecting()
{
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(m_watcher.descriptor, SOL_SOCKET, SO_ERROR, &error, &length) || error) {
        closeAndNotify(error == ECONNREFUSED ? StreamEnd::Refused : StreamEnd::Reset);
        return;
    }
    m_connecting = false;
    if (m_callbacks.onConnected)
        m_callbacks.onConnected();
    if (!isOpen())
        return;
    if (flush())
        updateWatch();
    else
        onSendFailed();
}

// The peer may have answered before it reset the connection; what has arrived stays readable.
void StreamSocket::onSendFailed()
{
    const bool isReset = errno == EPIPE || errno == ECONNRESET;
    if (!isReset || !m_callbacks.readsAfterReset) {
        closeAndNotify(StreamEnd::Reset);
        return;
    }
    m_sendFailed = true;
    m_pending = {};
    m_pendingOffset = 0;
    updateHeldBytes();
    m_writeBlocked = false;
    updateWatch();
}

void StreamSocket::readNow()
{
    const RefPtr<StreamSocket> protect(this);
    if (isOpen() && m_started && !m_connecting && !m_readPaused && !m_peerFinished)
        readAvailable();
}

void StreamSocket::readAvailable()
{
    static std::array<uint8_t, readChunkBytes> chunk; // Shared by all sockets, which are read on one thread
    for (int i = 0; i < maximumReadsPerEvent && isOpen() && !m_readPaused; ++i) {
        const ssize_t size = ::recv(m_watcher.descriptor, chunk.data(), chunk.size(), 0);
        if (size < 0) {
            if (lacksMemory())
                waitForMemory(errno);
            else if (!wouldBlock())
                closeAndNotify(StreamEnd::Reset);
            return;
        }
        if (!size && m_sendFailed) { // The error was reported to the sender
            closeAndNotify(StreamEnd::Reset);
            return;
        }
        if (!size) {
            m_peerFinished = m_finishing ? pendingBytes() != 0 : m_callbacks.onPeerFinished && m_callbacks.onPeerFinished();
            if (m_peerFinished)
                updateWatch();
            else
                closeAndNotify(StreamEnd::Clean);
            return;
        }
        if (m_finishing)
            m_discardedBytes += static_cast<size_t>(size);
        else
            m_callbacks.onData({ chunk.data(), static_cast<size_t>(size) });
        if (static_cast<size_t>(size) < chunk.size())
            return;
    }
}

bool StreamSocket::write(std::string_view bytes)
{
    if (!canSend())
        return false;
    if (pendingBytes() + bytes.size() > maximumPendingBytes) {
        closeAndNotify(StreamEnd::Reset);
        return false;
    }
    if (!pendingBytes())
        m_pendingSince = m_lastSendProgress = MonotonicClock::now();
    // What the kernel takes at once is not copied.
    if (!m_connecting && !pendingBytes()) {
        const auto sent = sendSome(bytes);
        if (!sent) {
            onSendFailed();
            return false;
        }
        bytes.remove_prefix(*sent);
        if (bytes.empty())
            return true;
        blockWriting();
    }
    m_pending.append(bytes);
    updateHeldBytes();
    return true;
}

// Returns how many bytes the kernel has taken; none if the connection has failed.
std::optional<size_t> StreamSocket::sendSome(std::string_view bytes)
{
    size_t total = 0;
    while (total < bytes.size()) {
        const ssize_t sent = ::send(m_watcher.descriptor, bytes.data() + total, bytes.size() - total, MSG_NOSIGNAL);
        if (sent < 0 && lacksMemory())
            waitForMemory(errno);
        else if (sent < 0 && !wouldBlock())
            return std::nullopt;
        if (sent < 0)
            break;
        total += static_cast<size_t>(sent);
        m_lastSendProgress = MonotonicClock::now();
    }
    return total;
}

void StreamSocket::blockWriting()
{
    m_writeBlocked = true;
    updateWatch();
}

// epoll would report the socket all the time.
void StreamSocket::waitForMemory(int error)
{
    if (std::exchange(m_lacksMemory, true))
        return;
    EventLog::write("socket-memory", { { "peer", peerHost() }, { "detail", std::strerror(error) } });
    m_memoryTimer.startOnce(memoryInterval, [this] {
        m_lacksMemory = false;
        updateWatch();
    });
    updateWatch();
}

void StreamSocket::setBudget(ByteBudget& budget)
{
    m_budget = &budget;
    updateHeldBytes();
}

void StreamSocket::updateHeldBytes()
{
    const auto held = m_pending.empty() ? 0 : m_pending.capacity();
    if (m_budget)
        m_budget->change(std::exchange(m_heldBytes, held), held);
}

bool StreamSocket::flush()
{
    const auto sent = sendSome(std::string_view(m_pending).substr(m_pendingOffset));
    if (!sent)
        return false;
    m_pendingOffset += *sent;
    if (pendingBytes()) {
        blockWriting();
        // A peer that reads slowly would otherwise hold what it has read.
        if (m_pendingOffset >= compactedBytes && m_pendingOffset >= m_pending.size() / 4) {
            m_pending = m_pending.substr(std::exchange(m_pendingOffset, 0));
            updateHeldBytes();
        }
        return true;
    }
    m_pending = {};
    m_pendingOffset = 0;
    updateHeldBytes();
    m_writeBlocked = false;
    updateWatch();
    if (m_finishing)
        ::shutdown(m_watcher.descriptor, SHUT_WR);
    return true;
}

void StreamSocket::finish()
{
    if (!isOpen() || m_finishing)
        return;
    m_finishing = true;
    setReadPaused(false); // Unread data would turn the close into a reset
    if (!m_connecting && !m_writeBlocked && !flush())
        closeAndNotify(StreamEnd::Reset);
}

void StreamSocket::closeAndNotify(StreamEnd end)
{
    if (!isOpen())
        return;
    const RefPtr<StreamSocket> protect(this);
    const auto onClosed = m_callbacks.onClosed;
    close();
    if (onClosed)
        onClosed(end);
}

// Does not clear the callbacks, because one of them may be on the call stack.
void StreamSocket::close()
{
    if (!isOpen())
        return;
    m_memoryTimer.stop();
    SocketPoller::shared().watch(m_watcher, 0);
    ::close(m_watcher.descriptor);
    m_watcher.descriptor = -1;
    m_pending = {};
    m_pendingOffset = 0;
    updateHeldBytes();
}

} // namespace shallot
