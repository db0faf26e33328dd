#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

typedef struct _GSource GSource;

namespace shallot {

// A file descriptor watched by the main loop. The owner embeds it and must end watching before destroying it.
struct SocketWatcher {
    int descriptor { -1 };
    uint32_t events { 0 };                              // Mask of EPOLLIN and EPOLLOUT; 0 while not watched
    void (*onReady)(void* owner, uint32_t) { nullptr }; // Receives the mask of ready events
    void* owner { nullptr };
    bool isBulk { false };     // Part of a long transfer: handled after the others, for a short time in each iteration
    uint32_t bulkEvents { 0 }; // Ready events that wait for that; 0: none
};

// Polls all sockets of the process with one epoll descriptor behind a single GLib source, so that the cost of a main loop
// iteration does not grow with the number of idle connections.
class SocketPoller {
public:
    static SocketPoller& shared();

    // Starts watching, changes the events, or ends watching when `events` is 0.
    void watch(SocketWatcher&, uint32_t events);

private:
    struct ReadySocket {
        SocketWatcher* watcher { nullptr }; // Null if it has been removed meanwhile
        uint32_t events { 0 };
    };

    SocketPoller();
    void dispatch();
    void poll();
    bool handleReady();
    void handleBulk();

    GSource* m_source { nullptr };
    int m_epoll { -1 };
    std::vector<ReadySocket> m_ready; // Found by the last poll; handled in order, possibly over several iterations
    size_t m_nextReady { 0 };
    std::deque<SocketWatcher*> m_bulk; // With ready events, in turn; null if it has been removed meanwhile
};

} // namespace shallot
