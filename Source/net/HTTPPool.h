#pragma once

#include "core/Time.h"
#include "net/HTTPConnection.h"
#include "net/SocketAddress.h"

#include <unordered_map>
#include <vector>

namespace shallot {

// Keep-alive client connections to one server. Concurrency is limited by the caller.
class HTTPPool {
public:
    using Completion = HTTPConnection::Completion;

    ~HTTPPool();

    void setAddress(const SocketAddress&);
    void setAcceptsCloseDelimited(bool accepts) { m_acceptsCloseDelimited = accepts; }
    // Starts the exchange under the caller's id.
    // A connection that stood idle for longer than `maximumIdle` is not trusted with it.
    void send(uint64_t id, const HTTPRequest&, Completion, HTTPConnection::ResponseMatcher = nullptr,
        Duration maximumIdle = Duration::max());
    // Gives up on an exchange; its completion is not called and its connection is closed.
    void abandon(uint64_t id);
    // Closes all connections; exchanges in progress complete with an error.
    void reset();
    // Memory of the answers that are arriving.
    size_t bufferedBytes() const;
    size_t openConnections() const { return m_idle.size() + m_busy.size(); }

private:
    RefPtr<HTTPConnection> takeConnection(Duration maximumIdle, TimePoint now);
    void onIdle(HTTPConnection&);
    void onClosed(HTTPConnection&);

    SocketAddress m_address;
    bool m_acceptsCloseDelimited { false };
    struct IdleConnection {
        RefPtr<HTTPConnection> connection;
        TimePoint since;
    };

    std::vector<IdleConnection> m_idle; // Most recently used last
    std::unordered_map<uint64_t, RefPtr<HTTPConnection>> m_busy;
};

} // namespace shallot
