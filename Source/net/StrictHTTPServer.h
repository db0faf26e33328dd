#pragma once

#include "net/Listener.h"
#include "net/StrictHTTPConnection.h"
#include "net/Timer.h"

#include <functional>
#include <unordered_set>

namespace shallot {

// HTTP/1.1 server for the callers' leg: strict parsing, and an idle connection costs no processor time.
class StrictHTTPServer {
public:
    struct Handlers {
        std::function<void(RefPtr<StrictHTTPConnection>, HTTPRequest)> onRequest;
        std::function<void(StrictHTTPConnection&)> onDisconnect; // The caller left before its answer
    };

    StrictHTTPServer() = default;
    ~StrictHTTPServer();
    StrictHTTPServer(const StrictHTTPServer&) = delete;
    StrictHTTPServer& operator=(const StrictHTTPServer&) = delete;

    Result<void> start(const SocketAddress&, const StrictHTTPLimits&, Handlers);
    void setLimits(const StrictHTTPLimits& limits) { m_limits = limits; }
    // Takes no new connections. Requests that the kernel has taken are answered, and each connection ends with its next answer or
    // when it is idle.
    void startDraining();
    size_t connectionCount() const { return m_connections.size(); }

private:
    void accept(RefPtr<StreamSocket>);
    void enforceTimeouts();
    bool mayBufferMore() const;

    Listener m_listener;
    StrictHTTPLimits m_limits;
    Handlers m_handlers;
    Timer m_timeoutTimer;
    std::unordered_set<StrictHTTPConnection*> m_connections; // Each holds one reference
};

} // namespace shallot
