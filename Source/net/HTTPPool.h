#pragma once

#include "core/Time.h"
#include "net/HTTPConnection.h"
#include "net/SocketAddress.h"
#include "net/Timer.h"

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallot {

// How an exchange uses the connections of a pool.
struct ExchangeOptions {
    HTTPConnection::ResponseMatcher matcher {}; // Unset: each response belongs to the exchange in progress
    Duration maximumIdle { Duration::max() };   // A connection that has been idle for longer is not reused
    // By which the matcher knows the response; read only during the call. A connection on which that request has been sent is not
    // reused. Empty: responses carry no identifier.
    std::string_view requestID {};
    TimePoint mayBeSentAgainUntil {}; // With that identifier
};

// Pool of keep-alive client connections to one server. Does not limit concurrency; its user does.
class HTTPPool {
public:
    using Completion = HTTPConnection::Completion;

    ~HTTPPool();

    void setAddress(const SocketAddress&);
    void setAcceptsCloseDelimited(bool accepts) { m_acceptsCloseDelimited = accepts; }
    // While the responses that are being received hold so many bytes, long ones are received one after the other.
    void setMaximumBufferedBytes(size_t bytes) { m_maximumBufferedBytes = bytes; }
    // Names the bytes of earlier responses that their receiver still holds, which count as well.
    void setBytesHeldElsewhere(std::function<size_t()> bytes) { m_bytesHeldElsewhere = std::move(bytes); }
    // Starts an exchange that `id`, chosen by the user of the pool, identifies in abandon(). Completes at once with Overloaded
    // when the socket cannot be created.
    void send(uint64_t id, const HTTPRequest&, Completion, ExchangeOptions = {});
    // Aborts an exchange: its completion is not called and its connection is closed.
    void abandon(uint64_t id);
    // Closes the connections that were opened before that time; exchanges in progress on them complete with BackendFailed.
    void reset(TimePoint openedBefore = TimePoint::max());
    // Bytes allocated for the bodies of responses that are being received.
    size_t bufferedBytes() const;
    // Connections opened so far.
    uint64_t openedConnections() const { return m_openedConnections; }
    // Exchanges so far that left out an idle connection on which the same request had been sent.
    uint64_t avoidedReuses() const { return m_avoidedReuses; }
    size_t idleConnections() const { return m_idle.size(); }
    size_t openConnections() const { return m_idle.size() + m_busy.size(); }

private:
    RefPtr<HTTPConnection> takeIdleConnection(const ExchangeOptions&, TimePoint now);
    RefPtr<HTTPConnection> openConnection();
    size_t bytesHeldElsewhere() const { return m_bytesHeldElsewhere ? m_bytesHeldElsewhere() : 0; }
    size_t roomForBytes() const;
    bool mayBufferMore(HTTPConnection&, size_t bytes);
    void resumeReading();
    void endExchange(uint64_t id, const HTTPConnection&);
    void onIdle(HTTPConnection&);
    void onClosed(HTTPConnection&);

    SocketAddress m_address;
    bool m_acceptsCloseDelimited { false };
    size_t m_maximumBufferedBytes { 24 * 1024 * 1024 };
    std::function<size_t()> m_bytesHeldElsewhere;
    std::vector<HTTPConnection*>
        m_lackingRoom;   // Busy ones that met the maximum, in that order; all but the first one may be paused
    Timer m_resumeTimer; // Until they are looked at
    struct IdleConnection {
        RefPtr<HTTPConnection> connection;
        TimePoint since;
    };

    std::vector<IdleConnection> m_idle; // Most recently used last
    std::unordered_map<uint64_t, RefPtr<HTTPConnection>> m_busy;
    uint64_t m_openedConnections { 0 };
    uint64_t m_avoidedReuses { 0 };
};

} // namespace shallot
