#include "net/HTTPPool.h"

#include <algorithm>
#include <numeric>

namespace shallot {

namespace {

constexpr auto resumeInterval = std::chrono::milliseconds(10); // Between two looks at the held bytes, while connections lack room
constexpr size_t bytesPerRead = 64 * 1024;                     // Of a connection that reads on, until it asks again

} // namespace

HTTPPool::~HTTPPool()
{
    const auto busy = std::exchange(m_busy, {});
    m_lackingRoom.clear();
    for (const auto& [id, connection] : busy)
        connection->abandon();
    reset();
}

void HTTPPool::setAddress(const SocketAddress& address)
{
    if (address.toString() == m_address.toString())
        return;
    reset();
    m_address = address;
}

// A late copy of a response would be taken for the response to the same request if that were sent again on its connection.
RefPtr<HTTPConnection> HTTPPool::takeIdleConnection(const ExchangeOptions& options, TimePoint now)
{
    bool avoidsReuse = false;
    for (size_t i = m_idle.size(); i-- > 0;) {
        // Those before it have been idle for longer.
        if (now - m_idle[i].since > options.maximumIdle)
            break;
        if (!options.requestID.empty() && m_idle[i].connection->recentRequests().contains(options.requestID, now)) {
            avoidsReuse = true;
            continue;
        }
        const auto [connection, since] = std::move(m_idle[i]);
        m_idle.erase(m_idle.begin() + static_cast<ptrdiff_t>(i));
        connection->readNow(); // Its end may have arrived; what is sent after it may count as run
        if (!connection->isOpen())
            continue;
        if (now - since < connection->idleLifetime()) {
            m_avoidedReuses += avoidsReuse ? 1 : 0;
            return connection;
        }
        connection->abandon();
    }
    if (!avoidsReuse)
        return nullptr;
    // The server may accept no further connection, so the new one takes the place of the least recently used one.
    ++m_avoidedReuses;
    const auto replaced = m_idle.front().connection;
    replaced->abandon();
    return nullptr;
}

RefPtr<HTTPConnection> HTTPPool::openConnection()
{
    auto connection = HTTPConnection::connect(m_address,
        { [this](HTTPConnection& connection, size_t bytes) { return mayBufferMore(connection, bytes); },
            [this](HTTPConnection& connection) { onIdle(connection); },
            [this](HTTPConnection& connection) { onClosed(connection); } });
    if (!connection)
        return nullptr;
    ++m_openedConnections;
    connection->setAcceptsCloseDelimited(m_acceptsCloseDelimited);
    return connection;
}

size_t HTTPPool::bufferedBytes() const
{
    return std::accumulate(m_busy.begin(), m_busy.end(), size_t { 0 },
        [](size_t sum, const auto& item) { return sum + item.second->bufferedBytes(); });
}

// Bytes that may be received before the maximum is met.
size_t HTTPPool::roomForBytes() const
{
    const auto held = bufferedBytes() + bytesHeldElsewhere();
    return m_maximumBufferedBytes - std::min(held, m_maximumBufferedBytes);
}

// The first one that lacked room reads on unless all of it is held elsewhere, so that they do not wait for each other.
bool HTTPPool::mayBufferMore(HTTPConnection& connection, size_t bytes)
{
    if (roomForBytes() >= bytes)
        return true;
    if (m_lackingRoom.empty())
        m_resumeTimer.startRepeating(resumeInterval, [this] { resumeReading(); });
    if (std::find(m_lackingRoom.begin(), m_lackingRoom.end(), &connection) == m_lackingRoom.end())
        m_lackingRoom.push_back(&connection);
    return m_lackingRoom.front() == &connection && bytesHeldElsewhere() < m_maximumBufferedBytes;
}

void HTTPPool::resumeReading()
{
    if (bytesHeldElsewhere() >= m_maximumBufferedBytes)
        return;
    auto room = roomForBytes();
    for (auto* connection : m_lackingRoom) {
        if (connection != m_lackingRoom.front() && room < bytesPerRead)
            return;
        connection->resumeReading();
        room -= std::min(room, bytesPerRead);
    }
}

void HTTPPool::endExchange(uint64_t id, const HTTPConnection& connection)
{
    m_busy.erase(id);
    if (!std::erase(m_lackingRoom, &connection))
        return;
    if (m_lackingRoom.empty())
        m_resumeTimer.stop();
    else
        resumeReading();
}

void HTTPPool::send(uint64_t id, const HTTPRequest& request, Completion completion, ExchangeOptions options)
{
    const auto now = MonotonicClock::now();
    auto connection = takeIdleConnection(options, now);
    if (!connection)
        connection = openConnection();
    if (!connection) {
        completion(fail(ErrorKind::Overloaded, "the socket could not be created"));
        return;
    }
    if (!options.requestID.empty())
        connection->recentRequests().record(options.requestID, options.mayBeSentAgainUntil, now);
    m_busy[id] = connection;
    connection->send(
        request,
        [this, id, connection = connection.get(), completion = std::move(completion)](Result<HTTPResponse> response) {
            const RefPtr<HTTPConnection> protect(connection);
            endExchange(id, *protect);
            completion(std::move(response));
        },
        std::move(options.matcher));
}

void HTTPPool::onIdle(HTTPConnection& connection)
{
    m_idle.push_back({ &connection, MonotonicClock::now() });
}

void HTTPPool::onClosed(HTTPConnection& connection)
{
    std::erase_if(m_idle, [&connection](const auto& item) { return item.connection.get() == &connection; });
    std::erase_if(m_busy, [&connection](const auto& item) { return item.second.get() == &connection; });
    std::erase(m_lackingRoom, &connection);
}

void HTTPPool::abandon(uint64_t id)
{
    const auto found = m_busy.find(id);
    if (found == m_busy.end())
        return;
    const auto connection = found->second;
    endExchange(id, *connection);
    connection->abandon();
}

void HTTPPool::reset(TimePoint openedBefore)
{
    // Completions may start exchanges, so all connections are taken out before the first of them ends.
    const auto take = [openedBefore](auto& items, auto connectionOf) {
        std::vector<RefPtr<HTTPConnection>> taken;
        std::erase_if(items, [&](const auto& item) {
            const auto& connection = connectionOf(item);
            const bool ends = connection->openedAt() < openedBefore;
            if (ends)
                taken.push_back(connection);
            return ends;
        });
        return taken;
    };
    const auto idle = take(
        m_idle, [](const auto& item) -> const auto& { return item.connection; });
    const auto busy = take(
        m_busy, [](const auto& item) -> const auto& { return item.second; });
    for (const auto& connection : idle)
        connection->abandon();
    for (const auto& connection : busy)
        connection->terminate();
}

} // namespace shallot
