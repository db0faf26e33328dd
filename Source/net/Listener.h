#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "net/SocketAddress.h"
#include "net/SocketPoller.h"
#include "net/Timer.h"

#include <functional>

namespace shallot {

class StreamSocket;

// Accepts TCP connections on the main loop.
class Listener {
public:
    using Handler = std::function<void(RefPtr<StreamSocket>)>;

    Listener() = default;
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // BadRequest when the host is not an IP address; Internal with the system's error text when the address cannot be bound.
    Result<void> start(const SocketAddress&, Handler);
    void stop();
    // Passes the connections in the kernel's accept queue to the handler, then stops.
    void acceptPendingAndStop();

private:
    void acceptPending();
    bool acceptOne();
    void waitForDescriptors(int error);

    SocketWatcher m_watcher;
    Handler m_handler;
    Timer m_shortageTimer;             // Until the next attempt
    bool m_lacksDescriptors { false }; // At the last attempt
};

} // namespace shallot
