// Index of this file
//   Validation:   isUnambiguousHeaderSection
//   Parsing:      onData, readRequests, readRequest, readHeaderSection, dispatchRequest, passRequestOn
//   Responses:    respond, reject
//   Closing:      abort, closeWhenIdle, enforceTimeouts, beginResponse, onPeerFinished, onFlushed, onSocketClosed

#include "net/StrictHTTPConnection.h"

#include "core/EventLog.h"
#include "net/StreamSocket.h"

#include <algorithm>
#include <climits>

namespace shallot {

namespace {

constexpr size_t maximumPipelinedBytes = 256 * 1024;    // Received while a request is being served; the rest waits in the kernel
constexpr size_t maximumRequestsPerTurn = 64;           // Of one connection, if they are answered at once
constexpr size_t maximumUnreadBytesAtClose = 64 * 1024; // Of responses; a client reads as much at once
constexpr size_t longBodyBytes = 64 * 1024;             // Of responses; longer ones are not copied to be sent with their headers
constexpr size_t bufferCheckBytes = 64 * 1024;          // Above this size mayBufferMore() is consulted
constexpr auto firstRequestTimeout = std::chrono::milliseconds(500); // While draining; many times the network delay
constexpr std::string_view protocolVersion = "HTTP/1.1 ";            // Begins each response
constexpr auto clientCheckTime = std::chrono::milliseconds(20);      // Several round trips to a client that is near
constexpr auto lingerTimeout = std::chrono::seconds(2); // For the client to read or send on, or to close, after the last response

// http_parser accepts white space before the colon and drops it; other parsers differ, so it must be rejected here.
bool hasValidHeaderNames(std::string_view headerSection)
{
    for (size_t at = headerSection.find("\r\n") + 2; at + 2 < headerSection.size(); at = headerSection.find("\r\n", at) + 2) {
        const auto line = headerSection.substr(at, headerSection.find("\r\n", at) - at);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isSafeHeader(line.substr(0, colon), {}))
            return false;
    }
    return true;
}

// Rejects folded lines, bare CR or LF and NUL bytes, which parsers interpret differently.
bool isUnambiguousHeaderSection(std::string_view headerSection)
{
    for (size_t i = 0; i < headerSection.size(); ++i) {
        const char c = headerSection[i];
        if (c == '\n' && (!i || headerSection[i - 1] != '\r'))
            return false;
        if (c == '\r' && (i + 1 >= headerSection.size() || headerSection[i + 1] != '\n'))
            return false;
        if (c == '\n' && i + 1 < headerSection.size() && (headerSection[i + 1] == ' ' || headerSection[i + 1] == '\t'))
            return false;
        if (!c)
            return false;
    }
    return hasValidHeaderNames(headerSection);
}

struct Framing {
    unsigned hostCount { 0 };
    unsigned lengthCount { 0 };
    unsigned encodingCount { 0 };
    bool chunked { false };
    bool lengthIsNumeric { true };
    bool expectsContinue { false };
};

Framing readFraming(const HTTPHeaders& headers)
{
    Framing framing;
    for (const auto& [name, value] : headers) {
        if (equalsIgnoringCase(name, "host"))
            ++framing.hostCount;
        if (equalsIgnoringCase(name, "content-length")) {
            ++framing.lengthCount;
            const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
            framing.lengthIsNumeric
                = framing.lengthIsNumeric && !value.empty() && std::all_of(value.begin(), value.end(), isDigit);
        }
        if (equalsIgnoringCase(name, "transfer-encoding")) {
            ++framing.encodingCount;
            framing.chunked = equalsIgnoringCase(value, "chunked");
        }
        if (equalsIgnoringCase(name, "expect"))
            framing.expectsContinue = equalsIgnoringCase(value, "100-continue");
    }
    return framing;
}

const char* reasonPhrase(unsigned status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

StrictHTTPConnection::StrictHTTPConnection(
    RefPtr<StreamSocket> socket, const std::string& listener, const StrictHTTPLimits& limits, Callbacks callbacks)
    : m_socket(std::move(socket))
    , m_listener(listener)
    , m_limits(limits)
    , m_callbacks(std::move(callbacks))
    , m_peerHost(m_socket->peerHost())
{
}

StrictHTTPConnection::~StrictHTTPConnection()
{
    m_socket->close();
}

void StrictHTTPConnection::start(TimePoint now)
{
    m_phaseStart = now;
    m_socket->start({
        [this](std::span<const uint8_t> bytes) { onData(bytes); },
        nullptr,
        [this](StreamEnd end) { onSocketClosed(end); },
        [this] { return onPeerFinished(); },
        [this] { onFlushed(); },
    });
}

// Parsing

void StrictHTTPConnection::onData(std::span<const uint8_t> bytes)
{
    const RefPtr<StrictHTTPConnection> protect(this);
    if (m_closing)
        return;
    if (unparsed().empty() && !m_serving && !m_collector.headersComplete)
        m_phaseStart = MonotonicClock::now();
    m_input.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    if (m_serving)
        m_socket->setReadPaused(unparsed().size() > maximumPipelinedBytes);
    else
        readRequests();
}

// Requests that are answered at once come back here; a loop serves them, since the stack would grow with each of them.
void StrictHTTPConnection::readRequests()
{
    if (std::exchange(m_reading, true))
        return;
    size_t count = 0;
    const auto canRead = [this] { return !m_serving && !m_closing && !m_waitsForReader && m_socket->isOpen(); };
    while (canRead() && count < maximumRequestsPerTurn && readRequest())
        ++count;
    m_reading = false;
    if (count == maximumRequestsPerTurn && canRead())
        m_resumeTimer.startOnce(Duration::zero(), [this] {
            const RefPtr<StrictHTTPConnection> protect(this);
            readRequests();
        });
    else if (m_inputEnded && canRead())
        finishSocket(); // The rest is no complete request
    // An incomplete header section, which may be larger, has to arrive.
    const bool waits = m_serving || m_waitsForReader || count == maximumRequestsPerTurn;
    if (m_socket->isOpen() && !m_closing)
        m_socket->setReadPaused(waits && unparsed().size() > maximumPipelinedBytes);
}

const http_parser_settings& StrictHTTPConnection::parserSettings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = [](http_parser* parser, const char* at, size_t length) {
            from(parser).m_request.target.append(at, length);
            return 0;
        };
        result.on_header_field = [](http_parser* parser, const char* at, size_t length) {
            auto& connection = from(parser);
            return connection.m_collector.addName(connection.m_request.headers, { at, length }) ? 0 : 1;
        };
        result.on_header_value = [](http_parser* parser, const char* at, size_t length) {
            auto& connection = from(parser);
            connection.m_collector.addValue(connection.m_request.headers, { at, length });
            return 0;
        };
        result.on_headers_complete = [](http_parser* parser) {
            from(parser).m_collector.headersComplete = true;
            return 0;
        };
        result.on_body = [](http_parser* parser, const char* at, size_t length) {
            return from(parser).appendBody({ at, length }) ? 0 : 1;
        };
        result.on_message_complete = [](http_parser* parser) {
            from(parser).m_messageComplete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return result;
    }();
    return settings;
}

bool StrictHTTPConnection::readHeaderSection()
{
    // RFC 9112 asks servers to ignore one empty line before the request line.
    if (unparsed().starts_with("\r\n"))
        consume(2);
    const auto input = unparsed();
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos || end > m_limits.maximumHeaderBytes) {
        if (input.size() > m_limits.maximumHeaderBytes)
            reject(431, "the header section is too large");
        else if (input.find("\n\n") != std::string::npos || input.find("\n\r\n") != std::string::npos)
            reject(400, "the lines of the header section must end with CRLF");
        return false;
    }
    const std::string headerSection(input.substr(0, end + 4));
    consume(end + 4);
    if (!isUnambiguousHeaderSection(headerSection)) {
        reject(400, "the header section is ambiguous");
        return false;
    }
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    m_request = {};
    m_request.target.clear();
    m_collector = {};
    m_messageComplete = false;
    const size_t parsed = http_parser_execute(&m_parser, &parserSettings(), headerSection.data(), headerSection.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (!m_collector.headersComplete || (error != HPE_OK && error != HPE_PAUSED) || parsed + 1 < headerSection.size()) {
        m_collector.headersComplete = false;
        reject(400, "the header section is malformed");
        return false;
    }
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    m_keepAlive = http_should_keep_alive(&m_parser) != 0;
    const auto framing = readFraming(m_request.headers);
    if (framing.hostCount != 1 || framing.lengthCount > 1 || !framing.lengthIsNumeric || framing.encodingCount > 1
        || (framing.lengthCount && framing.encodingCount) || m_parser.upgrade || m_request.target.empty()) {
        reject(400, "the header section is ambiguous");
        return false;
    }
    if (framing.encodingCount && !framing.chunked) {
        reject(501, "the transfer coding is not supported");
        return false;
    }
    if (framing.lengthCount && m_parser.content_length != ULLONG_MAX && m_parser.content_length > m_limits.maximumBodyBytes) {
        reject(413, "the body is too large");
        return false;
    }
    if (m_refused) {
        reject(503, "too many connections");
        return false;
    }
    if (framing.expectsContinue && !m_messageComplete)
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    m_phaseStart = MonotonicClock::now();
    return true;
}

// Returns whether a request was complete and has been dispatched.
bool StrictHTTPConnection::readRequest()
{
    if (!m_collector.headersComplete && !readHeaderSection())
        return false;
    if (!m_messageComplete && !unparsed().empty()) {
        const auto input = unparsed();
        const size_t parsed = http_parser_execute(&m_parser, &parserSettings(), input.data(), input.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        if (error != HPE_OK && error != HPE_PAUSED) {
            reject(m_rejectReason ? m_rejectStatus : 400, m_rejectReason ? m_rejectReason : "the body is malformed");
            return false;
        }
        consume(parsed);
    }
    if (!m_messageComplete)
        return false;
    dispatchRequest();
    return true;
}

// Moves the rest only when half of the buffer is parsed, so that many small requests are not copied for each of them.
void StrictHTTPConnection::consume(size_t bytes)
{
    m_parsedBytes += bytes;
    if (m_parsedBytes * 2 < m_input.size())
        return;
    m_input.erase(0, m_parsedBytes);
    m_parsedBytes = 0;
}

bool StrictHTTPConnection::appendBody(std::string_view bytes)
{
    const auto size = m_request.body.size() + bytes.size();
    if (size > m_limits.maximumBodyBytes) {
        m_rejectReason = "the body is too large";
        m_rejectStatus = 413;
        return false;
    }
    if (size > bufferCheckBytes && m_callbacks.mayBufferMore && !m_callbacks.mayBufferMore()) {
        m_rejectReason = "too many large bodies at once";
        m_rejectStatus = 503;
        return false;
    }
    m_request.body.append(bytes);
    return true;
}

void StrictHTTPConnection::dispatchRequest()
{
    m_hasServed = true;
    m_collector.headersComplete = false;
    m_messageComplete = false;
    m_serving = true;
    if (!m_socket->hasPeerFinished() || std::exchange(m_wasClientChecked, true)) {
        passRequestOn();
        return;
    }
    // Of a client that gave up before its request was read, the end of the connection arrives with the request.
    m_checksClient = true;
    m_resumeTimer.startOnce(clientCheckTime, [this] {
        const RefPtr<StrictHTTPConnection> protect(this);
        m_checksClient = false;
        passRequestOn();
    });
    beginResponse();
}

void StrictHTTPConnection::passRequestOn()
{
    m_currentBodyBytes = m_request.body.size();
    m_callbacks.onRequest(*this, std::move(m_request));
}

// Responses

void StrictHTTPConnection::respond(const HTTPResponse& response, bool close, TimePoint now)
{
    if (!m_serving || !m_socket->isOpen())
        return;
    const RefPtr<StrictHTTPConnection> protect(this);
    close = close || m_draining || m_inputEnded;
    // A request in the kernel's receive buffer was sent before the client could know of the close.
    if (close && m_keepAlive && unparsed().empty()) {
        m_socket->setReadPaused(false); // The requests that filled the buffer may all have been answered in this turn
        m_socket->readNow();
    }
    if (!m_serving || !m_socket->isOpen())
        return;
    // A client may send further requests until it has read that the connection closes, and they would have no response.
    const bool isReadSoon = m_inputEnded || m_socket->unacknowledgedBytes() + response.body.size() <= maximumUnreadBytesAtClose;
    close = !m_keepAlive || (close && unparsed().empty() && isReadSoon);
    m_serving = false;
    m_currentBodyBytes = 0;
    m_phaseStart = now;
    std::string text;
    const bool isLong = response.body.size() > longBodyBytes;
    text.reserve(256 + (isLong ? 0 : response.body.size()));
    if (!std::exchange(m_responseBegun, false))
        text += protocolVersion;
    text += std::to_string(response.status) + " " + reasonPhrase(response.status) + "\r\n";
    for (const auto& [name, value] : response.headers) {
        if (isHopByHopHeader(name) || !isSafeHeader(name, value))
            continue;
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    const bool bodiless = response.status == 204 || response.status == 304;
    if (!bodiless)
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (close)
        text += "Connection: close\r\n";
    text += "\r\n";
    const bool sendsBody = !bodiless && m_parser.method != HTTP_HEAD;
    if (sendsBody && !isLong)
        text += response.body;
    m_parser.method = HTTP_GET; // Until the next header section is parsed; it may be rejected before
    m_socket->write(text);
    if (sendsBody && isLong)
        m_socket->write(response.body);
    if (m_socket->pendingBytes() && m_callbacks.onUnreadResponse)
        m_callbacks.onUnreadResponse(*this);
    if (close) {
        if (!unparsed().empty())
            logCut("closed after a response", unparsed().size());
        finishSocket();
    } else {
        m_waitsForReader = m_socket->pendingBytes() > 0;
        readRequests();
    }
}

void StrictHTTPConnection::reject(uint16_t status, const char* reason)
{
    m_input.clear();
    m_parsedBytes = 0;
    m_request = {};
    m_collector.headersComplete = false;
    m_serving = true;
    m_keepAlive = false;
    respond({ status, { { "Content-Type", "text/plain" } }, std::string(reason) + "\n" }, true, MonotonicClock::now());
}

// Closing

// Requests that end without an answer are rare and always worth a line.
void StrictHTTPConnection::logCut(const char* reason, size_t unreadBytes) const
{
    EventLog::write("connection-cut",
        { { "caller", m_peerHost }, { "listener", m_listener }, { "reason", reason }, { "serving", m_serving },
            { "unread_bytes", unreadBytes }, { "unsent_bytes", m_socket->pendingBytes() }, { "draining", m_draining } });
}

void StrictHTTPConnection::abort()
{
    const auto unread = unparsed().size() + m_socket->unreadBytes();
    if (m_socket->isOpen() && (m_serving || unread || m_socket->pendingBytes()))
        logCut("aborted", unread);
    m_cutReason = "the connection was aborted";
    m_socket->close();
    onSocketClosed(StreamEnd::Reset);
}

void StrictHTTPConnection::abortUnread(TimePoint now)
{
    EventLog::write("connection-unread",
        { { "caller", m_peerHost }, { "listener", m_listener }, { "held_bytes", m_socket->pendingBytes() },
            { "without_progress_s", toSeconds(now - m_socket->lastSendProgress()) } });
    m_cutReason = "its caller did not read";
    m_socket->close();
    onSocketClosed(StreamEnd::Reset);
}

size_t StrictHTTPConnection::unreadResponseBytes() const
{
    return m_socket->pendingBytes();
}

TimePoint StrictHTTPConnection::lastReadProgress() const
{
    return m_socket->lastSendProgress();
}

TimePoint StrictHTTPConnection::unreadSince() const
{
    return m_socket->pendingSince();
}

void StrictHTTPConnection::setResponseBudget(ByteBudget& budget)
{
    m_socket->setBudget(budget);
}

void StrictHTTPConnection::closeWhenIdle()
{
    const RefPtr<StrictHTTPConnection> protect(this);
    m_draining = true;
    const auto now = MonotonicClock::now();
    if (!m_hasServed)
        m_phaseStart = now;
    // A request in the kernel's receive buffer was sent before the client could know that the server is draining.
    m_socket->readNow();
    if (m_hasServed)
        closeIfIdle(now);
}

bool StrictHTTPConnection::isIdle() const
{
    return !m_closing && !m_serving && !m_collector.headersComplete && unparsed().empty() && m_socket->isOpen()
        && !m_socket->pendingBytes();
}

void StrictHTTPConnection::closeIfIdle(TimePoint now)
{
    if (isIdle())
        m_socket->readNow();
    if (!isIdle())
        return;
    const bool isReading = m_socket->unacknowledgedBytes() > maximumUnreadBytesAtClose;
    if (m_draining && isReading && now - m_phaseStart <= m_limits.idleTimeout)
        return; // Until the next check of the timeouts
    // The client has read the last response by then. A request that crosses the close must not be read: it would have no answer,
    // and the reset by the kernel tells the client so.
    if (!m_hasServed || now - m_phaseStart >= lingerTimeout) {
        onSocketClosed(StreamEnd::Clean);
        return;
    }
    m_phaseStart = now;
    finishSocket();
}

void StrictHTTPConnection::finishSocket()
{
    m_closing = true;
    m_closedAt = m_phaseStart;
    m_resumeTimer.stop();
    m_socket->finish();
}

void StrictHTTPConnection::enforceTimeouts(TimePoint now)
{
    if (m_serving || !m_socket->isOpen())
        return;
    const RefPtr<StrictHTTPConnection> protect(this);
    if (m_closing) {
        enforceLinger(now);
        return;
    }
    const bool awaitsRequest = !m_collector.headersComplete && unparsed().empty();
    if (m_socket->pendingBytes() && (awaitsRequest || m_waitsForReader)) {
        enforceReading(now);
        return;
    }
    const auto age = now - m_phaseStart;
    if (m_collector.headersComplete) {
        if (age > m_limits.bodyTimeout)
            reject(408, "the body was not received in time");
    } else if (!unparsed().empty()) {
        if (age > m_limits.headerTimeout)
            reject(408, "the header section was not received in time");
    } else if (age > (m_draining ? std::min<Duration>(firstRequestTimeout, m_limits.idleTimeout) : m_limits.idleTimeout)) {
        closeIfIdle(now);
    }
}

// Requests behind responses that the client does not read are not late themselves, and a connection is not idle before.
void StrictHTTPConnection::enforceReading(TimePoint now)
{
    if (m_socket->pendingBytes() != std::exchange(m_unsentBytes, m_socket->pendingBytes()))
        m_phaseStart = now;
    if (now - m_phaseStart > m_limits.idleTimeout)
        abort();
}

// A client that is still reading the last response is given time, however slow it is, also when it pauses for no longer than it
// may be idle, and one that is still sending as long as a body may take: a close before it is done would be a reset, which may
// overtake the response.
void StrictHTTPConnection::enforceLinger(TimePoint now)
{
    const auto unread = m_socket->unacknowledgedBytes();
    const bool hasRead = unread != std::exchange(m_unsentBytes, unread);
    const bool hasSent = m_socket->discardedBytes() != std::exchange(m_discardedBytes, m_socket->discardedBytes());
    if (hasRead || (hasSent && now - m_closedAt < m_limits.bodyTimeout))
        m_phaseStart = now;
    if (now - m_phaseStart > (unread ? std::max<Duration>(lingerTimeout, m_limits.idleTimeout) : lingerTimeout))
        abort();
}

// Whether the client has closed the connection or only its sending side shows when something is sent to it: the first bytes of
// the response, whatever it will be, make one that is gone reset the connection.
void StrictHTTPConnection::beginResponse()
{
    if (!std::exchange(m_responseBegun, true))
        m_socket->write(protocolVersion);
}

bool StrictHTTPConnection::onPeerFinished()
{
    const RefPtr<StrictHTTPConnection> protect(this);
    m_inputEnded = true;
    if (!m_serving && unparsed().empty()) {
        if (!m_socket->pendingBytes())
            return false;
        finishSocket();
        return true;
    }
    if (!m_serving && !m_reading)
        readRequests();
    if (m_serving)
        beginResponse();
    return true;
}

void StrictHTTPConnection::onFlushed()
{
    const RefPtr<StrictHTTPConnection> protect(this);
    if (std::exchange(m_waitsForReader, false)) {
        m_phaseStart = MonotonicClock::now(); // What waited is not late
        readRequests();
    }
    if (!isIdle())
        return;
    m_phaseStart = MonotonicClock::now();
    if (m_draining && m_hasServed)
        closeIfIdle(m_phaseStart);
}

void StrictHTTPConnection::onSocketClosed(StreamEnd)
{
    const RefPtr<StrictHTTPConnection> protect(this);
    m_socket->close();
    if (m_socket->discardedBytes())
        logCut("sent after the close", m_socket->discardedBytes());
    m_resumeTimer.stop();
    const bool passedOn = !std::exchange(m_checksClient, false);
    if (std::exchange(m_serving, false) && passedOn && m_callbacks.onDisconnect)
        m_callbacks.onDisconnect(*this);
    if (const auto onClosed = std::exchange(m_callbacks.onClosed, nullptr))
        onClosed(*this);
}

} // namespace shallot
