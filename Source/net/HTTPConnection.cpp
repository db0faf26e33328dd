#include "net/HTTPConnection.h"

#include "net/StreamSocket.h"

#include <optional>

namespace shallot {

namespace {

constexpr size_t maximumResponseBytes = 4 * 1024 * 1024; // Far above the longest responses of the deployments
constexpr size_t longBodyBytes = 64 * 1024;              // For which mayBufferMore() is consulted before it grows
constexpr size_t growthBytes = 64 * 1024;                // Least growth of its memory: what one read of the socket brings
constexpr unsigned maximumMismatchedResponses = 8;       // Late responses dropped in one exchange before it fails
constexpr unsigned maximumInterimResponses = 64;         // Skipped in one exchange before it fails
constexpr size_t maximumInterimBytes = 64 * 1024;        // Of all of them

std::string formatRequest(const HTTPRequest& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD";
    if (mayHaveBody || !request.body.empty())
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

// Timeout of "Keep-Alive: timeout=N", reduced so that a request still arrives before the server closes the connection. None when
// the header has no timeout.
std::optional<Duration> announcedIdleLifetime(const HTTPHeaders& headers)
{
    constexpr std::string_view parameter = "timeout=";
    constexpr double safetyFactor = 0.75;
    const auto value = findHeader(headers, "keep-alive");
    const auto at = value.find(parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    return fromSeconds(safetyFactor * std::strtod(std::string(value.substr(at + parameter.size())).c_str(), nullptr));
}

} // namespace

RefPtr<HTTPConnection> HTTPConnection::connect(const SocketAddress& address, Callbacks callbacks)
{
    auto socket = StreamSocket::connect(address);
    return socket ? makeRef<HTTPConnection>(std::move(socket), std::move(callbacks)) : nullptr;
}

HTTPConnection::HTTPConnection(RefPtr<StreamSocket> socket, Callbacks callbacks)
    : m_socket(std::move(socket))
    , m_callbacks(std::move(callbacks))
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_socket->start({
        [this](std::span<const uint8_t> bytes) { onData(bytes); },
        [this] { onConnected(); },
        [this](StreamEnd end) { onSocketClosed(end); },
        nullptr,
        nullptr,
        true,
    });
}

HTTPConnection::~HTTPConnection()
{
    m_socket->close();
}

void HTTPConnection::readNow()
{
    m_socket->readNow();
}

bool HTTPConnection::isOpen() const
{
    return m_socket->isOpen();
}

void HTTPConnection::send(const HTTPRequest& request, Completion completion, ResponseMatcher matcher)
{
    const RefPtr<HTTPConnection> protect(this);
    m_completion = std::move(completion);
    m_matcher = std::move(matcher);
    m_headRequest = request.method == "HEAD";
    m_responseStarted = false;
    m_rejectReason = nullptr;
    m_mismatchedResponses = 0;
    m_interimResponses = 0;
    m_interimBytes = 0;
    resetParser();
    // While the socket is connecting, the bytes stay in its write buffer and are sent after onConnected().
    m_socket->write(formatRequest(request));
}

void HTTPConnection::resetParser()
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_response = {};
    m_complete = false;
    m_messageBytes = 0;
    m_statusLine.reset();
    m_collector = {};
}

void HTTPConnection::onConnected()
{
    m_connected = true;
}

const http_parser_settings& HTTPConnection::parserSettings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_header_field = [](http_parser* parser, const char* at, size_t length) {
            auto& connection = from(parser);
            return connection.m_collector.addName(connection.m_response.headers, { at, length }) ? 0 : 1;
        };
        result.on_header_value = [](http_parser* parser, const char* at, size_t length) {
            auto& connection = from(parser);
            connection.m_collector.addValue(connection.m_response.headers, { at, length });
            return 0;
        };
        result.on_headers_complete = [](http_parser* parser) {
            auto& connection = from(parser);
            connection.m_collector.headersComplete = true;
            return connection.hasNoBody() ? 1 : 0;
        };
        result.on_body = [](http_parser* parser, const char* at, size_t length) {
            return from(parser).appendBody({ at, length }) ? 0 : 1;
        };
        result.on_message_complete = [](http_parser* parser) {
            from(parser).m_complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return result;
    }();
    return settings;
}

// RFC 9112, 6.3: whatever the length in the header section, which is that of another representation.
bool HTTPConnection::hasNoBody() const
{
    const auto status = m_parser.status_code;
    return m_headRequest || isInterim() || status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

bool HTTPConnection::appendBody(std::string_view bytes)
{
    const auto size = m_response.body.size() + bytes.size();
    if (size > maximumResponseBytes) {
        m_rejectReason = "the response is too large";
        return false;
    }
    if (size >= longBodyBytes && size > m_response.body.capacity())
        growBody(size);
    m_response.body.append(bytes);
    return true;
}

// A string doubles its memory when it grows, also by reserve().
void HTTPConnection::growBody(size_t neededBytes)
{
    const bool namesLength = !(m_parser.flags & F_CHUNKED) && m_parser.content_length <= maximumResponseBytes;
    const auto expectedGrowth = namesLength ? static_cast<size_t>(m_parser.content_length) // What remains
                                            : std::max(growthBytes, neededBytes / 4);
    auto capacity = std::min(neededBytes + expectedGrowth, maximumResponseBytes);
    if (m_callbacks.mayBufferMore && !m_callbacks.mayBufferMore(*this, capacity - m_response.body.capacity())) {
        m_socket->setReadPaused(true);
        capacity = std::min(neededBytes + growthBytes, maximumResponseBytes);
    }
    std::string grown;
    grown.reserve(capacity);
    grown.append(m_response.body);
    m_response.body = std::move(grown);
}

void HTTPConnection::resumeReading()
{
    m_socket->setReadPaused(false);
}

// Requires a complete response in m_response.
bool HTTPConnection::matchesRequest()
{
    m_response.status = static_cast<uint16_t>(m_parser.status_code);
    const auto match = m_matcher ? m_matcher(m_response, m_used) : ResponseMatch::Matched;
    if (match == ResponseMatch::Unknown)
        m_rejectReason = "the response may belong to an earlier request";
    else if (match == ResponseMatch::Mismatched && ++m_mismatchedResponses > maximumMismatchedResponses)
        m_rejectReason = "too many responses belong to other requests";
    return match == ResponseMatch::Matched;
}

// RFC 9110, 15.2: any number of interim responses may precede the final one. Requires a complete one in the parser.
void HTTPConnection::skipInterim()
{
    m_interimBytes += m_messageBytes;
    if (m_parser.status_code < HTTP_STATUS_CONTINUE || m_parser.status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
        m_rejectReason = "the status does not belong to a response to this request";
    else if (++m_interimResponses > maximumInterimResponses || m_interimBytes > maximumInterimBytes)
        m_rejectReason = "too many interim responses";
    m_responseStarted = false;
}

// Returns true once m_response holds a complete response that belongs to the request. `parsed` receives the bytes consumed.
bool HTTPConnection::execute(std::string_view bytes, size_t& parsed)
{
    parsed = 0;
    while (parsed < bytes.size()) {
        m_responseStarted = true;
        if (!m_statusLine.accept(bytes.substr(parsed))) {
            m_rejectReason = "the response does not begin with a status line";
            return false;
        }
        const auto length = http_parser_execute(&m_parser, &parserSettings(), bytes.data() + parsed, bytes.size() - parsed);
        parsed += length;
        m_messageBytes += length;
        if (!m_complete)
            return false;
        if (isInterim())
            skipInterim();
        else if (matchesRequest())
            return true;
        if (m_rejectReason)
            return false;
        resetParser();
    }
    return false;
}

void HTTPConnection::onData(std::span<const uint8_t> bytes)
{
    const RefPtr<HTTPConnection> protect(this);
    if (!m_completion) {
        // Data without a request in progress: the stream is out of step, so the connection cannot be reused.
        closeAndNotify();
        return;
    }
    size_t parsed = 0;
    if (execute({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }, parsed)) {
        const bool trailingBytes = parsed < bytes.size();
        if (trailingBytes)
            m_socket->close();
        completeResponse();
        return;
    }
    if (m_rejectReason)
        failExchange(ErrorKind::BadResponse, m_rejectReason);
    else if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK)
        failExchange(
            ErrorKind::BadResponse, std::string("the response is malformed: ") + http_errno_name(HTTP_PARSER_ERRNO(&m_parser)));
}

void HTTPConnection::completeResponse()
{
    m_idleLifetime = announcedIdleLifetime(m_response.headers).value_or(m_idleLifetime);
    m_used = true;
    m_socket->setReadPaused(false);
    const bool reusable = m_socket->canSend() && http_should_keep_alive(&m_parser);
    const auto completion = std::exchange(m_completion, nullptr);
    m_matcher = nullptr;
    if (!reusable)
        m_socket->close();
    completion(std::move(m_response));
    if (!reusable) {
        closeAndNotify();
        return;
    }
    if (m_callbacks.onIdle)
        m_callbacks.onIdle(*this);
}

// A body without a length ends with its connection and cannot be distinguished from a truncated one. Only where the server's
// protocol guarantees it does a clean close mark a complete body.
void HTTPConnection::onSocketClosed(StreamEnd end)
{
    const RefPtr<HTTPConnection> protect(this);
    if (!m_connected) {
        if (end == StreamEnd::Refused)
            failExchange(ErrorKind::NoBackendServer, "the server does not accept connections");
        else
            failExchange(ErrorKind::BackendRefused, "the connection could not be established");
        return;
    }
    if (m_acceptsCloseDelimited && m_completion && m_responseStarted && end == StreamEnd::Clean) {
        http_parser_execute(&m_parser, &parserSettings(), nullptr, 0);
        if (m_complete && matchesRequest()) {
            completeResponse();
            return;
        }
    }
    if (m_responseStarted)
        failExchange(ErrorKind::BadResponse, "the response was truncated");
    else
        failExchange(ErrorKind::BackendFailed, "the connection was closed without a response");
}

void HTTPConnection::failExchange(ErrorKind kind, std::string detail)
{
    const RefPtr<HTTPConnection> protect(this);
    m_socket->close();
    if (const auto completion = std::exchange(m_completion, nullptr))
        completion(tl::unexpected(Error { kind, std::move(detail), {}, m_used && !m_interimResponses }));
    closeAndNotify();
}

void HTTPConnection::closeAndNotify()
{
    const RefPtr<HTTPConnection> protect(this);
    m_socket->close();
    if (const auto onClosed = std::exchange(m_callbacks.onClosed, nullptr))
        onClosed(*this);
}

void HTTPConnection::terminate()
{
    failExchange(ErrorKind::BackendFailed, "the backend server was replaced");
}

void HTTPConnection::abandon()
{
    m_completion = nullptr;
    closeAndNotify();
}

} // namespace shallot
