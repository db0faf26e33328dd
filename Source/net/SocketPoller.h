#pragma once

#include <cstdint>
#include <vector>

typedef struct _GSource GSource;

namespace shallot {

// One descriptor that the loop watches. The owner embeds it and removes it before it dies.
struct SocketWatcher {
    int descriptor { -1 };
    uint32_t events { 0 };                              // EPOLLIN, EPOLLOUT; 0 while not watched
    void (*onReady)(void* owner, uint32_t) { nullptr }; // Gets the events that are ready
    void* owner { nullptr };
};

// All sockets of the process behind a single source of the GLib loop, so that a turn of the loop costs the same however
// many connections stand idle.
class SocketPoller {
public:
    static SocketPoller& shared();

    // Starts, changes or (with no events) ends watching.
    void watch(SocketWatcher&, uint32_t events);

private:
    SocketPoller();
    void dispatch();

    GSource* m_source { nullptr };
    int m_epoll { -1 };
    std::vector<SocketWatcher*> m_ready; // Of the turn in progress; null where the watcher was removed meanwhile
};

} // namespace shallot
