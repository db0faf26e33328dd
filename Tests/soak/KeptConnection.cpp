#include "KeptConnection.h"

#include <arpa/inet.h>
#include <charconv>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallot {

namespace {

int connectNow(const SocketAddress& address)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor >= 0 && !::connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native)) {
        fcntl(descriptor, F_SETFL, O_NONBLOCK);
        return descriptor;
    }
    if (descriptor >= 0)
        ::close(descriptor);
    return -1;
}

} // namespace

KeptConnection::KeptConnection(const SocketAddress& address, Callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_descriptor(connectNow(address))
{
    if (m_descriptor < 0)
        return;
    m_socket = makeRef<StreamSocket>(m_descriptor);
    m_socket->start({ [this](std::span<const uint8_t> bytes) { onData(bytes); }, nullptr, [this](StreamEnd) { onClosed(); } });
}

KeptConnection::~KeptConnection()
{
    if (m_socket)
        m_socket->close();
}

void KeptConnection::send(const std::string& text, std::vector<std::string> ids)
{
    // A connection that the other side has just closed carries nothing.
    if (!isOpen())
        return;
    m_pending.insert(m_pending.end(), ids.begin(), ids.end());
    m_socket->write(text);
}

void KeptConnection::sendMore(const std::string& text)
{
    if (isOpen())
        m_socket->write(text);
}

void KeptConnection::finishSending()
{
    if (!isOpen() || m_socket->pendingBytes())
        return;
    m_sendingFinished = m_isHalfClosed = true;
    m_resume.stop();
    m_socket->setReadPaused(false);
    ::shutdown(m_descriptor, SHUT_WR);
}

void KeptConnection::onData(std::span<const uint8_t> bytes)
{
    m_input.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    while (!m_pending.empty() && readAnswer()) { }
    if (m_pending.empty() && !m_input.empty())
        m_callbacks.onAnswer({}, 0, m_input);
    // A paused socket whose sides are both closed drops what the kernel has received.
    if (m_isHalfClosed || !hasPartOfAnswer() || m_pause == Duration::zero() || !m_socket->isOpen())
        return;
    m_socket->setReadPaused(true);
    m_resume.startOnce(std::exchange(m_pause, Duration::zero()), [this] { m_socket->setReadPaused(false); });
}

bool KeptConnection::readAnswer()
{
    const auto end = m_input.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    size_t length = 0;
    if (const auto at = m_input.find("Content-Length: "); at < end)
        std::from_chars(m_input.data() + at + 16, m_input.data() + end, length);
    if (m_input.size() < end + 4 + length)
        return false;
    uint16_t status = 0;
    std::from_chars(m_input.data() + 9, m_input.data() + 12, status);
    if (status < 200) {
        m_input.erase(0, end + 4);
        return true;
    }
    if (m_input.find("Connection: close\r\n") < end + 2)
        m_sendingFinished = true;
    const auto body = m_input.substr(end + 4, length);
    m_input.erase(0, end + 4 + length);
    const auto id = m_pending.front();
    m_pending.pop_front();
    m_callbacks.onAnswer(id, status, body);
    return true;
}

void KeptConnection::onClosed()
{
    const std::vector<std::string> ids(m_pending.begin(), m_pending.end());
    m_pending.clear();
    m_callbacks.onEnd(ids);
}

} // namespace shallot
