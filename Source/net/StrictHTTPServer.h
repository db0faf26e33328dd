#pragma once

#include "net/ByteBudget.h"
#include "net/Listener.h"
#include "net/StrictHTTPConnection.h"
#include "net/Timer.h"

#include <functional>
#include <string>
#include <unordered_set>

namespace shallot {

// HTTP/1.1 server for the callers of the mesh. Parses strictly; an idle connection causes no wake-ups of its own.
class StrictHTTPServer {
public:
    struct Handlers {
        std::function<void(RefPtr<StrictHTTPConnection>, HTTPRequest)> onRequest;
        std::function<void(StrictHTTPConnection&)> onDisconnect; // The connection was closed before the response
    };

    StrictHTTPServer() = default;
    ~StrictHTTPServer();
    StrictHTTPServer(const StrictHTTPServer&) = delete;
    StrictHTTPServer& operator=(const StrictHTTPServer&) = delete;

    Result<void> start(const SocketAddress&, const StrictHTTPLimits&, Handlers);
    void setLimits(const StrictHTTPLimits&);
    // Stops accepting connections. Requests that the kernel has already received are served, and each connection is closed after
    // its next response or when it is idle.
    void startDraining();
    size_t connectionCount() const { return m_connections.size(); }
    // Bytes of responses that wait for clients to read them, and the clients that were cut off for them.
    size_t unreadResponseBytes() const { return m_responseBudget.held(); }
    uint64_t cutOffReaders() const { return m_cutOffReaders; }
    // Requests whose connection this server closed before their response.
    uint64_t cutRequests() const { return m_cutRequests; }

private:
    void accept(RefPtr<StreamSocket>);
    void enforceTimeouts();
    bool mayBufferMore() const;
    void makeRoom(const StrictHTTPConnection& writer);
    StrictHTTPConnection* findSlowestReader(const StrictHTTPConnection& writer, TimePoint now) const;

    Listener m_listener;
    std::string m_address;
    StrictHTTPLimits m_limits;
    Handlers m_handlers;
    ByteBudget m_responseBudget { StrictHTTPLimits {}.maximumUnreadResponseBytes };
    uint64_t m_cutOffReaders { 0 };
    uint64_t m_cutRequests { 0 };
    Timer m_timeoutTimer;
    std::unordered_set<StrictHTTPConnection*> m_connections; // The set holds one reference to each
};

} // namespace shallot
