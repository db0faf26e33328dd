#include "RawEndpoint.h"

#include "platform/Names.h"

#include <algorithm>
#include <glib.h>

namespace shallot {

using namespace std::chrono_literals;

RawEndpoint::RawEndpoint(const SocketAddress& address, std::string instance, Script script)
    : m_instance(std::move(instance))
    , m_script(std::move(script))
{
    const auto started = m_listener.start(address, [this](RefPtr<StreamSocket> socket) {
        if (m_refusesConnections)
            return;
        auto buffer = std::make_shared<std::string>();
        auto* raw = socket.get();
        socket->start({ [this, raw, buffer](std::span<const uint8_t> bytes) {
                           onBytes(*raw, *buffer, { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
                       },
            nullptr, nullptr });
        m_connections.push_back(std::move(socket));
    });
    g_assert(started);
}

RawEndpoint::~RawEndpoint()
{
    for (const auto& connection : m_connections)
        connection->close();
}

void RawEndpoint::onBytes(StreamSocket& socket, std::string& buffer, std::string_view bytes)
{
    if (m_remainingBodyBytes && &socket == m_bodySocket) {
        const auto body = bytes.substr(0, m_remainingBodyBytes);
        m_hasUnexpectedBytes = m_hasUnexpectedBytes || body.find_first_not_of('b') != std::string_view::npos;
        m_remainingBodyBytes -= body.size();
        bytes.remove_prefix(body.size());
        if (bytes.empty())
            return;
    }
    buffer.append(bytes);
    const auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    const auto head = buffer.substr(0, end + 4);
    m_bytesAfterHead = buffer.size() - head.size();
    buffer.clear(); // Other requests of these tests have short bodies, which arrive with the header section
    if (head.starts_with("GET /health")) {
        socket.write("HTTP/1.1 200 OK\r\n" + std::string(platform::header::instance) + ": " + m_instance
            + "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    ++m_requests;
    const auto name = std::string(platform::header::attemptID) + ": ";
    const auto at = head.find(name) + name.size();
    m_script(socket, head.substr(at, head.find("\r\n", at) - at));
}

void RawEndpoint::flood(StreamSocket& socket, const std::string& text)
{
    constexpr size_t maximumPendingBytes = 256 * 1024; // Written before the other side has read them
    auto timer = std::make_unique<Timer>();
    timer->startRepeating(1ms, [connection = RefPtr<StreamSocket>(&socket), text] {
        while (connection->isOpen() && connection->pendingBytes() < maximumPendingBytes && connection->write(text)) { }
    });
    m_floods.push_back(std::move(timer));
}

void RawEndpoint::sendLongBody(StreamSocket& socket, const std::string& attempt, size_t bytes)
{
    constexpr size_t pieceBytes = 64 * 1024;
    const auto head = responseTo(attempt, {});
    socket.write(head.substr(0, head.rfind("Content-Length")) + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
    auto timer = std::make_unique<Timer>();
    timer->startRepeating(1ms, [connection = RefPtr<StreamSocket>(&socket), bytes]() mutable {
        if (!bytes || !connection->isOpen() || connection->pendingBytes())
            return;
        const auto size = bytes < pieceBytes ? bytes : pieceBytes;
        connection->write(std::string(size, 'x'));
        bytes -= size;
    });
    m_floods.push_back(std::move(timer));
}

void RawEndpoint::expectBody(StreamSocket& socket, size_t bytes)
{
    m_bodySocket = &socket;
    m_remainingBodyBytes = bytes - m_bytesAfterHead;
}

std::string RawEndpoint::responseTo(const std::string& attempt, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + std::string(platform::header::attemptID) + ": " + attempt + "\r\n"
        + std::string(platform::header::seal) + ": seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

size_t RawEndpoint::openConnections() const
{
    return static_cast<size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto& connection) { return connection->isOpen(); }));
}

} // namespace shallot
