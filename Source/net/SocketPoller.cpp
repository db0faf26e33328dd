#include "net/SocketPoller.h"

#include "core/Log.h"
#include "core/Time.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <utility>

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr int eventsPerIteration = 256;        // Further ready sockets wait for the next iteration, after the timers
constexpr auto maximumTimePerIteration = 10ms; // After the socket that exceeds it, timers are next
constexpr auto bulkTimePerIteration = 100us;   // For long transfers; a request that arrives meanwhile waits that long at each hop

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
    if (events)
        return;
    for (auto& ready : m_ready) {
        if (ready.watcher == &watcher)
            ready.watcher = nullptr;
    }
    if (std::exchange(watcher.bulkEvents, 0))
        std::replace(m_bulk.begin(), m_bulk.end(), &watcher, static_cast<SocketWatcher*>(nullptr));
}

void SocketPoller::poll()
{
    std::array<epoll_event, eventsPerIteration> events; // NOLINT: filled by epoll_wait
    const int count = epoll_wait(m_epoll, events.data(), eventsPerIteration, 0);
    m_ready.clear();
    m_nextReady = 0;
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<size_t>(i)];
        auto* watcher = static_cast<SocketWatcher*>(event.data.ptr);
        if (!watcher->isBulk)
            m_ready.push_back({ watcher, event.events });
        else if (!std::exchange(watcher->bulkEvents, watcher->bulkEvents | event.events))
            m_bulk.push_back(watcher);
    }
}

// Sockets that are left when the time is used up come first in the next iteration, so that each gets its turn.
void SocketPoller::dispatch()
{
    if (m_nextReady >= m_ready.size())
        poll();
    if (handleReady())
        handleBulk();
}

// Returns false when the time is used up.
bool SocketPoller::handleReady()
{
    const auto end = MonotonicClock::now() + maximumTimePerIteration;
    while (m_nextReady < m_ready.size()) {
        const auto ready = m_ready[m_nextReady++];
        if (!ready.watcher)
            continue;
        ready.watcher->onReady(ready.watcher->owner, ready.events);
        if (MonotonicClock::now() >= end)
            return false;
    }
    return true;
}

// Each one that has got its turn queues behind the others with the next poll.
void SocketPoller::handleBulk()
{
    const auto end = MonotonicClock::now() + bulkTimePerIteration;
    while (!m_bulk.empty()) {
        auto* watcher = m_bulk.front();
        m_bulk.pop_front();
        if (!watcher)
            continue;
        watcher->onReady(watcher->owner, std::exchange(watcher->bulkEvents, 0));
        if (MonotonicClock::now() >= end)
            return;
    }
}

} // namespace shallot
