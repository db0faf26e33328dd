#include "net/StrictHTTPServer.h"

#include "core/EventLog.h"
#include "net/StreamSocket.h"

#include <numeric>
#include <vector>

namespace shallot {

namespace {

constexpr auto timeoutCheckInterval = std::chrono::milliseconds(500); // Maximum delay of the timeouts, which last seconds
constexpr size_t maximumBufferedBytes = 32 * 1024 * 1024; // Of all request bodies; a fifth of the smallest instance's memory
constexpr size_t maximumRefusedConnections = 200;         // Open until their first request is answered with 503

} // namespace

StrictHTTPServer::~StrictHTTPServer()
{
    m_listener.stop();
    m_handlers = {};
    const auto connections = m_connections;
    for (auto* connection : connections)
        connection->abort();
}

Result<void> StrictHTTPServer::start(const SocketAddress& address, const StrictHTTPLimits& limits, Handlers handlers)
{
    m_address = address.toString();
    m_limits = limits;
    m_handlers = std::move(handlers);
    m_timeoutTimer.startRepeating(timeoutCheckInterval, [this] { enforceTimeouts(); });
    return m_listener.start(address, [this](RefPtr<StreamSocket> socket) { accept(std::move(socket)); });
}

void StrictHTTPServer::accept(RefPtr<StreamSocket> socket)
{
    const bool isRefused = m_connections.size() >= m_limits.maximumConnections;
    if (isRefused)
        EventLog::write("connection-refused", { { "caller", socket->peerHost() }, { "open", m_connections.size() } });
    if (m_connections.size() >= m_limits.maximumConnections + maximumRefusedConnections)
        return;
    auto connection = makeRef<StrictHTTPConnection>(std::move(socket), m_address, m_limits,
        StrictHTTPConnection::Callbacks {
            [this](StrictHTTPConnection& from, HTTPRequest request) {
                if (m_handlers.onRequest)
                    m_handlers.onRequest(RefPtr<StrictHTTPConnection>(&from), std::move(request));
            },
            [this](StrictHTTPConnection& from) {
                if (m_handlers.onDisconnect)
                    m_handlers.onDisconnect(from);
            },
            [this](StrictHTTPConnection& from) {
                if (m_connections.erase(&from))
                    intrusive_ptr_release(&from);
            },
            [this] { return mayBufferMore(); },
        });
    if (isRefused)
        connection->refuse();
    intrusive_ptr_add_ref(connection.get());
    m_connections.insert(connection.get());
    connection->start(MonotonicClock::now());
}

bool StrictHTTPServer::mayBufferMore() const
{
    const auto buffered = std::accumulate(m_connections.begin(), m_connections.end(), size_t { 0 },
        [](size_t sum, const auto* connection) { return sum + connection->bufferedBytes(); });
    return buffered < maximumBufferedBytes;
}

void StrictHTTPServer::enforceTimeouts()
{
    const auto now = MonotonicClock::now();
    const std::vector<StrictHTTPConnection*> connections(m_connections.begin(), m_connections.end());
    for (auto* connection : connections) {
        if (m_connections.contains(connection))
            connection->enforceTimeouts(now);
    }
}

void StrictHTTPServer::startDraining()
{
    m_listener.acceptPendingAndStop();
    const std::vector<StrictHTTPConnection*> connections(m_connections.begin(), m_connections.end());
    for (auto* connection : connections) {
        if (m_connections.contains(connection))
            connection->closeWhenIdle();
    }
}

} // namespace shallot
