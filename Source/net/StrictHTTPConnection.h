#pragma once

#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/HTTPMessage.h"
#include "net/HeaderCollector.h"
#include "net/Timer.h"

#include <functional>
#include <http_parser.h>
#include <span>
#include <string>

namespace shallot {

class ByteBudget;
class StreamSocket;
enum class StreamEnd : uint8_t;

// Limits above which a strict HTTP server rejects a request.
struct StrictHTTPLimits {
    size_t maximumHeaderBytes { 16 * 1024 };                // Larger header sections are rejected with status 431
    size_t maximumBodyBytes { 8 * 1024 * 1024 };            // Larger bodies, which are held in memory, with status 413
    Duration headerTimeout { std::chrono::seconds(3) };     // From the first to the last byte of a header section; then 408
    Duration bodyTimeout { std::chrono::seconds(20) };      // From the end of the header section to the end of the body; then 408
    Duration idleTimeout { std::chrono::seconds(15) };      // Without a request; then the connection is closed
    size_t maximumUnreadResponseBytes { 40 * 1024 * 1024 }; // Of all responses; then clients that do not read are cut off
    size_t maximumConnections { 3000 }; // Further ones are rejected with status 503. Peers share the instance's 4,100 descriptors
};

// HTTP/1.1 connection of one client, serving one request at a time. Rejects every message that two parsers could interpret
// differently, and never parses bytes behind a rejected message as a request, which prevents request smuggling.
class StrictHTTPConnection : public RefCounted<StrictHTTPConnection> {
public:
    struct Callbacks {
        std::function<void(StrictHTTPConnection&, HTTPRequest)> onRequest;
        std::function<void(StrictHTTPConnection&)> onDisconnect; // The connection was closed before the response, see cutReason()
        std::function<void(StrictHTTPConnection&)> onClosed;     // Always the last call
        std::function<void(StrictHTTPConnection&)> onUnreadResponse; // The client did not take the whole response at once
        std::function<bool()> mayBufferMore; // Called while a long body arrives; false rejects it. Unset: allowed
    };

    // `listener`: the address that accepted the connection, for log lines.
    StrictHTTPConnection(RefPtr<StreamSocket>, const std::string& listener, const StrictHTTPLimits&, Callbacks);
    ~StrictHTTPConnection();

    void start(TimePoint now);
    // Responds to the request in progress; later calls do nothing. With `close` the connection is closed once the requests that
    // have arrived behind it are answered, too. While the client has much to read it stays open, for a later response or
    // closeWhenIdle() to close.
    void respond(const HTTPResponse&, bool close, TimePoint now);
    // Closes the connection without a response.
    void abort();
    // The same, for a client that does not read its responses while they take the memory of others. It must not be serving.
    void abortUnread(TimePoint now);
    // Bytes of responses that the client has not read.
    size_t unreadResponseBytes() const;
    TimePoint lastReadProgress() const;
    TimePoint unreadSince() const;
    void setResponseBudget(ByteBudget&);
    // Rejects a request whose header section or body is overdue, and closes an idle connection, or one whose client does not read
    // the last response, after its timeout.
    void enforceTimeouts(TimePoint now);
    // Rejects the first request with status 503 and closes the connection.
    void refuse() { m_refused = true; }
    // Closes the connection after the requests received so far have been served and their responses sent. A connection that has
    // not carried a request yet stays open for a short time to receive its first one.
    void closeWhenIdle();
    bool isServing() const { return m_serving; }
    // Bytes held for the request that is being received or served and for pipelined requests.
    size_t bufferedBytes() const { return unparsed().size() + m_request.body.size() + m_currentBodyBytes; }
    const std::string& peerHost() const { return m_peerHost; }
    // Why the server closed the connection before a response, for log lines; null while it has not.
    const char* cutReason() const { return m_cutReason; }

private:
    void onData(std::span<const uint8_t>);
    bool onPeerFinished();
    void onFlushed();
    void onSocketClosed(StreamEnd);
    void readRequests();
    bool readRequest();
    bool readHeaderSection();
    void reject(uint16_t status, const char* reason);
    void dispatchRequest();
    void passRequestOn();
    void beginResponse();
    bool appendBody(std::string_view);
    std::string_view unparsed() const { return std::string_view(m_input).substr(m_parsedBytes); }
    void consume(size_t bytes);
    bool isIdle() const;
    void closeIfIdle(TimePoint now);
    void enforceReading(TimePoint now);
    void enforceLinger(TimePoint now);
    void finishSocket();
    void logCut(const char* reason, size_t unreadBytes) const;
    static const http_parser_settings& parserSettings();
    static StrictHTTPConnection& from(http_parser* parser) { return *static_cast<StrictHTTPConnection*>(parser->data); }

    RefPtr<StreamSocket> m_socket;
    const std::string& m_listener;
    const StrictHTTPLimits& m_limits;
    Callbacks m_callbacks;
    std::string m_peerHost;
    std::string m_input;        // Received bytes
    size_t m_parsedBytes { 0 }; // Of m_input
    Timer m_resumeTimer;        // Until further pipelined requests are read, or the request that waits is passed on
    http_parser m_parser {};
    HTTPRequest m_request;
    TimePoint m_phaseStart {}; // Start of the current phase: idle, header section, body or lingering close
    HeaderCollector m_collector;
    bool m_messageComplete { false };
    size_t m_unsentBytes { 0 };      // Of the last response, at the last check
    size_t m_discardedBytes { 0 };   // That arrived after the last response, at the last check
    TimePoint m_closedAt {};         // When the last response was passed to the socket
    size_t m_currentBodyBytes { 0 }; // Body size of the request being served
    const char* m_cutReason { nullptr };
    const char* m_rejectReason { nullptr }; // Why the body is rejected; null while it is not
    uint16_t m_rejectStatus { 0 };
    bool m_serving { false };
    bool m_checksClient { false }; // The request waits until it is known whether the client is gone
    bool m_wasClientChecked { false };
    bool m_responseBegun { false };  // The protocol version of the next response has been sent
    bool m_reading { false };        // readRequests() is on the call stack
    bool m_inputEnded { false };     // The client sends nothing more
    bool m_waitsForReader { false }; // Further requests wait until the responses have been sent
    bool m_refused { false };        // No request is served
    bool m_keepAlive { true };
    bool m_hasServed { false }; // Has received a complete request
    bool m_draining { false };  // Closes after the next response
    bool m_closing { false };   // The last response has been passed to the socket
};

} // namespace shallot
