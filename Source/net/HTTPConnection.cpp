#include "net/HTTPConnection.h"

#include "net/StreamSocket.h"

namespace shallot {

namespace {

constexpr size_t maximumResponseBytes = 4 * 1024 * 1024; // Far above the longest answers of the deployments
constexpr size_t bufferCheckBytes = 64 * 1024;           // From here on the connection asks whether it may hold more
constexpr unsigned maximumMismatchedResponses = 8;       // Late ones before the awaited one; more are a stream without end

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

// "Keep-Alive: timeout=N" less a part for the way there; zero when the header says nothing.
Duration announcedIdleLifetime(const HTTPHeaders& headers)
{
    constexpr std::string_view parameter = "timeout=";
    constexpr double safetyFactor = 0.75;
    const auto value = findHeader(headers, "keep-alive");
    const auto at = value.find(parameter);
    if (at == std::string_view::npos)
        return {};
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
    });
}

HTTPConnection::~HTTPConnection()
{
    m_socket->close();
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
    resetParser();
    // While the socket connects the bytes wait in its buffer; onConnected() marks when they leave.
    m_socket->write(formatRequest(request));
}

void HTTPConnection::resetParser()
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_response = {};
    m_complete = false;
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
            return connection.m_headRequest ? 1 : 0;
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

bool HTTPConnection::appendBody(std::string_view bytes)
{
    const auto size = m_response.body.size() + bytes.size();
    if (size > maximumResponseBytes)
        m_rejectReason = "the answer is too long";
    else if (size > bufferCheckBytes && m_callbacks.mayBufferMore && !m_callbacks.mayBufferMore())
        m_rejectReason = "the answers in progress are too long together";
    if (m_rejectReason)
        return false;
    m_response.body.append(bytes);
    return true;
}

// A whole response stands in m_response.
bool HTTPConnection::matchesRequest()
{
    m_response.status = static_cast<uint16_t>(m_parser.status_code);
    const auto match = m_matcher ? m_matcher(m_response, m_used) : ResponseMatch::Matched;
    if (match == ResponseMatch::Unknown)
        m_rejectReason = "the answer may be that of an earlier request";
    else if (match == ResponseMatch::Mismatched && ++m_mismatchedResponses > maximumMismatchedResponses)
        m_rejectReason = "answers of other requests without end";
    return match == ResponseMatch::Matched;
}

// True once a whole response that belongs to the request stands in m_response.
bool HTTPConnection::execute(std::string_view bytes, size_t& parsed)
{
    parsed = 0;
    while (parsed < bytes.size()) {
        parsed += http_parser_execute(&m_parser, &parserSettings(), bytes.data() + parsed, bytes.size() - parsed);
        if (!m_complete)
            return false;
        if (matchesRequest())
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
        // Bytes that nobody asked for: the stream can no longer be trusted.
        closeAndNotify();
        return;
    }
    m_responseStarted = true;
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
            ErrorKind::BadResponse, std::string("the answer is malformed: ") + http_errno_name(HTTP_PARSER_ERRNO(&m_parser)));
}

void HTTPConnection::completeResponse()
{
    const bool interim = m_parser.status_code < 200;
    if (interim) {
        failExchange(ErrorKind::BadResponse, "an interim answer was not asked for");
        return;
    }
    if (const auto lifetime = announcedIdleLifetime(m_response.headers); lifetime > Duration::zero())
        m_idleLifetime = lifetime;
    m_used = true;
    const bool reusable = isOpen() && http_should_keep_alive(&m_parser);
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

// A body without a length ends with its connection and cannot be told from a truncated one, but by a clean end where the
// server's protocol promises that.
void HTTPConnection::onSocketClosed(StreamEnd end)
{
    const RefPtr<HTTPConnection> protect(this);
    if (!m_connected) {
        failExchange(ErrorKind::NoBackendServer, "the server does not accept connections");
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
        failExchange(ErrorKind::BadResponse, "the answer ended early");
    else
        failExchange(ErrorKind::BackendFailed, "the connection ended without an answer");
}

void HTTPConnection::failExchange(ErrorKind kind, std::string detail)
{
    const RefPtr<HTTPConnection> protect(this);
    m_socket->close();
    if (const auto completion = std::exchange(m_completion, nullptr))
        completion(tl::unexpected(Error { kind, std::move(detail), {}, m_used }));
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
