#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/HTTPMessage.h"
#include "net/HeaderCollector.h"

#include <functional>
#include <http_parser.h>
#include <span>

namespace shallot {

class StreamSocket;
enum class StreamEnd : uint8_t;
struct SocketAddress;

// One keep-alive HTTP/1.1 client connection; carries one exchange at a time.
class HTTPConnection : public RefCounted<HTTPConnection> {
public:
    // The response, or why there is none. NotExecuted kinds are given only when no byte of the request has left.
    using Completion = std::function<void(Result<HTTPResponse>)>;
    // Whose response it is, as far as it tells.
    enum class ResponseMatch : uint8_t {
        Matched,
        Mismatched, // Of another request: it is dropped and the next one is awaited
        Unknown,    // It may be of another request: the exchange fails
    };
    // Judges each response. On a connection that carried other exchanges an answer to one of those may come late.
    using ResponseMatcher = std::function<ResponseMatch(const HTTPResponse&, bool onReusedConnection)>;

    struct Callbacks {
        std::function<bool()> mayBufferMore;           // Asked as a long body arrives; without one it may
        std::function<void(HTTPConnection&)> onIdle;   // May carry the next exchange
        std::function<void(HTTPConnection&)> onClosed; // After the completion, if one was due
    };

    // Null when no socket can be made.
    static RefPtr<HTTPConnection> connect(const SocketAddress&, Callbacks);
    // Whether a body without a length that ends with a cleanly closed connection counts as whole.
    void setAcceptsCloseDelimited(bool accepts) { m_acceptsCloseDelimited = accepts; }
    explicit HTTPConnection(RefPtr<StreamSocket>, Callbacks);
    ~HTTPConnection();

    void send(const HTTPRequest&, Completion, ResponseMatcher = nullptr);
    // Ends the connection without a completion; a late answer can then reach nobody.
    void abandon();
    // Ends the connection; an exchange in progress completes with BackendFailed.
    void terminate();
    bool isOpen() const;
    // Memory of the response that is arriving.
    size_t bufferedBytes() const { return m_response.body.capacity(); }
    // How long the connection may stand idle and still be trusted; shorter than what the server's last answer said.
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
    bool matchesRequest();

    static const http_parser_settings& parserSettings();
    static HTTPConnection& from(http_parser* parser) { return *static_cast<HTTPConnection*>(parser->data); }

    RefPtr<StreamSocket> m_socket;
    Callbacks m_callbacks;
    Completion m_completion;
    ResponseMatcher m_matcher;
    http_parser m_parser {};
    HTTPResponse m_response;
    bool m_connected { false };
    Duration m_idleLifetime { std::chrono::seconds(8) }; // Until a server says; below the usual 10 s of ours
    bool m_acceptsCloseDelimited { false };
    bool m_used { false }; // Has carried a whole exchange
    bool m_responseStarted { false };
    bool m_headRequest { false };
    const char* m_rejectReason { nullptr }; // Why the arriving response is not taken
    unsigned m_mismatchedResponses { 0 };   // Dropped in this exchange
    bool m_complete { false };
    HeaderCollector m_collector;
};

} // namespace shallot
