#pragma once

#include "core/Time.h"
#include "net/HTTPConnection.h"
#include "net/SocketAddress.h"

#include <unordered_map>
#include <vector>

namespace shallot {

// Pool of keep-alive client connections to one server. Does not limit concurrency; its user does.
class HTTPPool {
public:
    using Completion = HTTPConnection::Completion;

    ~HTTPPool();

    void setAddress(const SocketAddress&);
    void setAcceptsCloseDelimited(bool accepts) { m_acceptsCloseDelimited = accepts; }
    // Starts an exchange that `id`, chosen by the user of the pool, identifies in abandon(). A connection that has been idle for
    // longer than `maximumIdle` is not reused. Completes at once with Overloaded when the socket cannot be created. For the budget
    // see HTTPConnection::setBodyBudget(); the exchange of a body that still arrives stays in progress until its end.
    void send(uint64_t id, const HTTPRequest&, Completion, HTTPConnection::ResponseMatcher = nullptr,
        Duration maximumIdle = Duration::max(), ByteBudget* bodyBudget = nullptr);
    // Aborts an exchange: its completion is not called and its connection is closed.
    void abandon(uint64_t id);
    // Closes the connections that were opened before that time; exchanges in progress on them complete with BackendFailed.
    void reset(TimePoint openedBefore = TimePoint::max());
    // Bytes allocated for the bodies of responses that are being received.
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
    std::unordered_map<HTTPConnection*, uint64_t> m_streaming; // Busy ones whose response has been passed on; their exchanges
};

} // namespace shallot
