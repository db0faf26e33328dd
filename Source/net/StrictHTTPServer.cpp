#include "net/StrictHTTPServer.h"

#include "core/EventLog.h"
#include "net/StreamSocket.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace shallot {

namespace {

constexpr auto timeoutCheckInterval = std::chrono::milliseconds(500); // Maximum delay of the timeouts, which last seconds
constexpr size_t maximumBufferedBytes = 32 * 1024 * 1024; // Of all request bodies; a fifth of the smallest instance's memory
constexpr size_t longestResponseBytes = 4 * 1024 * 1024;
constexpr size_t freeShareDivisor = 3;            // Of the budget that is kept free for responses that are being written
constexpr size_t maximumRefusedConnections = 200; // Open until their first request is answered with 503

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
    setLimits(limits);
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
                m_cutRequests += from.cutReason() ? 1 : 0;
                if (m_handlers.onDisconnect)
                    m_handlers.onDisconnect(from);
            },
            [this](StrictHTTPConnection& from) {
                if (m_connections.erase(&from))
                    intrusive_ptr_release(&from);
            },
            [this](StrictHTTPConnection& from) { makeRoom(from); },
            [this] { return mayBufferMore(); },
        });
    connection->setResponseBudget(m_responseBudget);
    if (isRefused)
        connection->refuse();
    intrusive_ptr_add_ref(connection.get());
    m_connections.insert(connection.get());
    connection->start(MonotonicClock::now());
}

void StrictHTTPServer::setLimits(const StrictHTTPLimits& limits)
{
    m_limits = limits;
    m_responseBudget.setMaximum(limits.maximumUnreadResponseBytes);
}

// The client that has gone longest without reading anything; among those, the one whose bytes have cost most so far: one that
// has just begun to read a long response is given time. One whose request is being served would lose its response.
StrictHTTPConnection* StrictHTTPServer::findSlowestReader(const StrictHTTPConnection& writer, TimePoint now) const
{
    const auto rank = [now](const StrictHTTPConnection& connection) {
        constexpr auto progressStep = std::chrono::seconds(1); // Readers that make progress at any time in it are alike
        const auto byteSeconds
            = static_cast<double>(connection.unreadResponseBytes()) * toSeconds(now - connection.unreadSince());
        return std::pair(-(connection.lastReadProgress().time_since_epoch() / progressStep), byteSeconds);
    };
    StrictHTTPConnection* slowest = nullptr;
    for (auto* connection : m_connections) {
        const bool isCandidate = connection != &writer && !connection->isServing() && connection->unreadResponseBytes();
        if (isCandidate && (!slowest || rank(*connection) > rank(*slowest)))
            slowest = connection;
    }
    return slowest;
}

// How much of a response the kernel takes is known once it is written, so there is room for the next one before.
void StrictHTTPServer::makeRoom(const StrictHTTPConnection& writer)
{
    const auto now = MonotonicClock::now();
    while (!m_responseBudget.hasRoomFor(std::max(longestResponseBytes, m_responseBudget.maximum() / freeShareDivisor))) {
        const RefPtr<StrictHTTPConnection> slowest(findSlowestReader(writer, now));
        if (!slowest)
            return;
        ++m_cutOffReaders;
        slowest->abortUnread(now);
    }
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
