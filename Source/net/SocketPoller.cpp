#include "net/SocketPoller.h"

#include "core/Log.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <glib-unix.h>
#include <sys/epoll.h>

namespace shallot {

namespace {

constexpr int eventsPerIteration = 64; // Further ready sockets wait for the next iteration, after the timers

struct PollerSource {
    GSource source;
    SocketPoller* poller;
};

} // namespace

SocketPoller& SocketPoller::shared()
{
    static auto* poller = new SocketPoller; // Never destroyed: sockets of static objects may outlive it
    return *poller;
}

SocketPoller::SocketPoller()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    static GSourceFuncs functions {};
    functions.dispatch = [](GSource*, GSourceFunc callback, gpointer data) { return callback(data); };
    m_source = g_source_new(&functions, sizeof(PollerSource));
    g_source_add_unix_fd(m_source, m_epoll, G_IO_IN);
    g_source_set_callback(
        m_source,
        [](gpointer data) -> gboolean {
            static_cast<SocketPoller*>(data)->dispatch();
            return G_SOURCE_CONTINUE;
        },
        this, nullptr);
    g_source_attach(m_source, nullptr);
}

void SocketPoller::watch(SocketWatcher& watcher, uint32_t events)
{
    if (watcher.events == events)
        return;
    epoll_event event {};
    event.events = events;
    event.data.ptr = &watcher;
    const int operation = !events ? EPOLL_CTL_DEL : watcher.events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    if (epoll_ctl(m_epoll, operation, watcher.descriptor, &event))
        SHALLOT_LOG(ERROR, "net") << "Watching a socket failed: " << std::strerror(errno) << ".";
    watcher.events = events;
    if (!events)
        std::replace(m_ready.begin(), m_ready.end(), &watcher, static_cast<SocketWatcher*>(nullptr));
}

void SocketPoller::dispatch()
{
    std::array<epoll_event, eventsPerIteration> events; // NOLINT: filled by epoll_wait
    const int count = epoll_wait(m_epoll, events.data(), eventsPerIteration, 0);
    m_ready.clear();
    for (int i = 0; i < count; ++i)
        m_ready.push_back(static_cast<SocketWatcher*>(events[static_cast<size_t>(i)].data.ptr));
    for (size_t i = 0; i < m_ready.size(); ++i) {
        if (auto* watcher = m_ready[i])
            watcher->onReady(watcher->owner, events[i].events);
    }
    m_ready.clear();
}

} // namespace shallot
