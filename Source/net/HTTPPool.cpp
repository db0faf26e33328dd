#include "net/HTTPPool.h"

#include <numeric>

namespace shallot {

namespace {

constexpr size_t maximumBufferedBytes = 24 * 1024 * 1024; // Of all responses; a sixth of the smallest instance's memory

} // namespace

HTTPPool::~HTTPPool()
{
    const auto busy = std::exchange(m_busy, {});
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

RefPtr<HTTPConnection> HTTPPool::takeConnection(Duration maximumIdle, TimePoint now)
{
    while (!m_idle.empty()) {
        // The last connection was used most recently; all others have been idle for longer.
        if (now - m_idle.back().since > maximumIdle)
            break;
        auto [connection, since] = std::move(m_idle.back());
        m_idle.pop_back();
        connection->readNow(); // Its end may have arrived; what is sent after it may count as run
        if (!connection->isOpen())
            continue;
        if (now - since < connection->idleLifetime())
            return connection;
        connection->abandon();
    }
    auto connection = HTTPConnection::connect(m_address,
        { [this] { return bufferedBytes() < maximumBufferedBytes; }, [this](HTTPConnection& connection) { onIdle(connection); },
            [this](HTTPConnection& connection) { onClosed(connection); } });
    if (connection)
        connection->setAcceptsCloseDelimited(m_acceptsCloseDelimited);
    return connection;
}

size_t HTTPPool::bufferedBytes() const
{
    return std::accumulate(m_busy.begin(), m_busy.end(), size_t { 0 },
        [](size_t sum, const auto& item) { return sum + item.second->bufferedBytes(); });
}

void HTTPPool::send(
    uint64_t id, const HTTPRequest& request, Completion completion, HTTPConnection::ResponseMatcher matcher, Duration maximumIdle)
{
    auto connection = takeConnection(maximumIdle, MonotonicClock::now());
    if (!connection) {
        completion(fail(ErrorKind::Overloaded, "the socket could not be created"));
        return;
    }
    m_busy[id] = connection;
    connection->send(
        request,
        [this, id, connection = connection.get(), completion = std::move(completion)](Result<HTTPResponse> response) {
            const RefPtr<HTTPConnection> protect(connection);
            m_busy.erase(id);
            completion(std::move(response));
        },
        std::move(matcher));
}

void HTTPPool::onIdle(HTTPConnection& connection)
{
    m_idle.push_back({ &connection, MonotonicClock::now() });
}

void HTTPPool::onClosed(HTTPConnection& connection)
{
    std::erase_if(m_idle, [&connection](const auto& item) { return item.connection.get() == &connection; });
    std::erase_if(m_busy, [&connection](const auto& item) { return item.second.get() == &connection; });
}

void HTTPPool::abandon(uint64_t id)
{
    const auto found = m_busy.find(id);
    if (found == m_busy.end())
        return;
    const auto connection = found->second;
    m_busy.erase(found);
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
