#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/HTTPMessage.h"
#include "net/HeaderCollector.h"
#include "net/RecentRequests.h"
#include "net/StatusLineCheck.h"

#include <functional>
#include <http_parser.h>
#include <span>

namespace shallot {

class StreamSocket;
enum class StreamEnd : uint8_t;
struct SocketAddress;

// One keep-alive HTTP/1.1 client connection. Carries one exchange at a time, without pipelining.
class HTTPConnection : public RefCounted<HTTPConnection> {
public:
    // Receives the response or the error. An error kind with ExecutionState::NotExecuted is reported only if no byte of the
    // request was sent.
    using Completion = std::function<void(Result<HTTPResponse>)>;
    // Whether a response belongs to the request of the current exchange.
    enum class ResponseMatch : uint8_t {
        Matched,
        Mismatched, // Belongs to another request: it is dropped and the next response is awaited
        Unknown,    // May belong to another request: the exchange fails
    };
    // Called with each response. A connection that carried earlier exchanges may deliver a late response to one of them.
    using ResponseMatcher = std::function<ResponseMatch(const HTTPResponse&, bool onReusedConnection)>;

    struct Callbacks {
        // Called before a long body takes so many more bytes; false stops reading until resumeReading(). Unset: allowed
        std::function<bool(HTTPConnection&, size_t bytes)> mayBufferMore;
        std::function<void(HTTPConnection&)> onIdle;   // The connection can carry the next exchange
        std::function<void(HTTPConnection&)> onClosed; // Called once, after the completion if an exchange was in progress
    };

    // Null when the socket cannot be created.
    static RefPtr<HTTPConnection> connect(const SocketAddress&, Callbacks);
    // Whether a body without a length is accepted as complete when the server closes the connection cleanly.
    void setAcceptsCloseDelimited(bool accepts) { m_acceptsCloseDelimited = accepts; }
    explicit HTTPConnection(RefPtr<StreamSocket>, Callbacks);
    ~HTTPConnection();

    void send(const HTTPRequest&, Completion, ResponseMatcher = nullptr);
    // Closes the connection without calling the completion, so that a late response is never delivered.
    void abandon();
    // Closes the connection; an exchange in progress completes with BackendFailed.
    void terminate();
    // Handles what has arrived while no exchange is in progress, which ends the connection.
    void readNow();
    bool isOpen() const;
    // Reads on after mayBufferMore() has returned false.
    void resumeReading();
    // Kept by the user of the connection.
    RecentRequests& recentRequests() { return m_recentRequests; }
    TimePoint openedAt() const { return m_openedAt; }
    // Bytes allocated for the body of the response that is being received.
    size_t bufferedBytes() const { return m_response.body.capacity(); }
    // How long the connection may stay idle and still be reused; shorter than the timeout in the server's last response.
    Duration idleLifetime() const { return m_idleLifetime; }

private:
    void onData(std::span<const uint8_t>);
    void onConnected();
    void onSocketClosed(StreamEnd);
    void resetParser();
    bool execute(std::string_view bytes, size_t& parsed);
    void completeResponse();
    void failExchange(ErrorKind, std::string detail);
    void closeAndNotify();
    bool appendBody(std::string_view);
    void growBody(size_t neededBytes);
    bool matchesRequest();
    bool isInterim() const { return m_parser.status_code < HTTP_STATUS_OK; }
    void skipInterim();
    bool hasNoBody() const;

    static const http_parser_settings& parserSettings();
    static HTTPConnection& from(http_parser* parser) { return *static_cast<HTTPConnection*>(parser->data); }

    RefPtr<StreamSocket> m_socket;
    Callbacks m_callbacks;
    Completion m_completion;
    ResponseMatcher m_matcher;
    http_parser m_parser {};
    StatusLineCheck m_statusLine;
    HTTPResponse m_response;
    TimePoint m_openedAt { MonotonicClock::now() };
    bool m_connected { false };
    Duration m_idleLifetime { std::chrono::seconds(8) }; // Until announced; below the usual 10 s of our servers
    bool m_acceptsCloseDelimited { false };
    bool m_used { false }; // Has completed an exchange
    bool m_responseStarted { false };
    bool m_headRequest { false };
    const char* m_rejectReason { nullptr }; // Why the response is rejected; null while it is not
    unsigned m_mismatchedResponses { 0 };   // Dropped during the current exchange
    unsigned m_interimResponses { 0 };      // Skipped during the current exchange
    size_t m_interimBytes { 0 };
    size_t m_messageBytes { 0 }; // Parsed of the current response
    bool m_complete { false };
    HeaderCollector m_collector;
    RecentRequests m_recentRequests;
};

} // namespace shallot
