#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/SocketAddress.h"

#include <functional>
#include <memory>

typedef struct _SoupServer SoupServer;
typedef struct _SoupServerMessage SoupServerMessage;
typedef struct _GSocket GSocket;

namespace shallot {

class HTTPExchange;

// Limits above which an HTTP server rejects requests or connections.
struct HTTPServerLimits {
    size_t maximumBodyBytes { 1024 * 1024 }; // Larger bodies are rejected with status 413
    size_t maximumConnections { 4000 };      // Further connections are closed at once
    std::chrono::seconds idleTimeout { 75 }; // Without a byte in either direction; above the longest time limit
};

// HTTP server on the main loop, based on libsoup.
class HTTPServer {
public:
    using Handler = std::function<void(RefPtr<HTTPExchange>)>;

    HTTPServer() = default;
    ~HTTPServer();
    HTTPServer(const HTTPServer&) = delete;
    HTTPServer& operator=(const HTTPServer&) = delete;

    Result<void> start(const SocketAddress&, const HTTPServerLimits&, Handler);
    // Closes each connection after its next response; new connections are accepted.
    void closeAfterResponses() { *m_closes = true; }
    // Stops accepting connections; open ones continue.
    void stopListening();
    size_t connectionCount() const { return *m_connections; }

private:
    Result<void> listen(const SocketAddress&);
    void countConnection(GSocket*);
    void limitBodySize(SoupServerMessage*);

    SoupServer* m_server { nullptr };
    GSocket* m_listener { nullptr };
    HTTPServerLimits m_limits;
    Handler m_handler;
    std::shared_ptr<size_t> m_connections { std::make_shared<size_t>(0) };
    std::shared_ptr<bool> m_closes { std::make_shared<bool>(false) }; // Shared with exchanges, which may outlive this server
};

} // namespace shallot
