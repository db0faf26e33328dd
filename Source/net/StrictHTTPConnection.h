#pragma once

#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/HTTPMessage.h"
#include "net/HeaderCollector.h"

#include <functional>
#include <http_parser.h>
#include <span>
#include <string>

namespace shallot {

class StreamSocket;
enum class StreamEnd : uint8_t;

// What one strict HTTP server accepts before it refuses.
struct StrictHTTPLimits {
    size_t maximumHeaderBytes { 16 * 1024 };            // Larger heads get 431
    size_t maximumBodyBytes { 8 * 1024 * 1024 };        // Larger bodies get 413; bodies are held in memory
    Duration headerTimeout { std::chrono::seconds(3) }; // From the first byte of a head to its last; then 408
    Duration bodyTimeout { std::chrono::seconds(20) };  // From the end of the head to the last byte of the body
    Duration idleTimeout { std::chrono::seconds(15) };  // Without a request
};

// One caller's HTTP/1.1 connection, one request at a time. Whatever two parsers could read in two ways is refused, and
// bytes behind a refused message are never read as a request.
class StrictHTTPConnection : public RefCounted<StrictHTTPConnection> {
public:
    struct Callbacks {
        std::function<void(StrictHTTPConnection&, HTTPRequest)> onRequest;
        std::function<void(StrictHTTPConnection&)> onDisconnect; // While a request waits for its answer
        std::function<void(StrictHTTPConnection&)> onClosed;     // Always the last call
        std::function<bool()> mayBufferMore;                     // Asked as a long body arrives; without one it may
    };

    StrictHTTPConnection(RefPtr<StreamSocket>, const StrictHTTPLimits&, Callbacks);
    ~StrictHTTPConnection();

    void start(TimePoint now);
    // Answers the request in progress; later calls do nothing.
    void respond(const HTTPResponse&, bool close, TimePoint now);
    // Ends the connection without an answer.
    void abort();
    // Closes connections whose head, body or next request is overdue, or that have nothing more to say.
    void enforceTimeouts(TimePoint now);
    // Closes once what has arrived so far is answered, at once if that is nothing. A connection that has not carried a request
    // yet gets a moment to send one.
    void closeWhenIdle();
    bool isServing() const { return m_serving; }
    // Of the request that arrives or is served, and of those behind it.
    size_t bufferedBytes() const { return m_input.size() + m_request.body.size() + m_currentBodyBytes; }
    const std::string& peerHost() const { return m_peerHost; }

private:
    void onData(std::span<const uint8_t>);
    void onSocketClosed(StreamEnd);
    void readRequests();
    bool readHeaderSection();
    void readBody();
    void reject(uint16_t status, const char* reason);
    void dispatchRequest();
    bool appendBody(std::string_view);
    void closeIfIdle(TimePoint now);
    static const http_parser_settings& parserSettings();
    static StrictHTTPConnection& from(http_parser* parser) { return *static_cast<StrictHTTPConnection*>(parser->data); }

    RefPtr<StreamSocket> m_socket;
    const StrictHTTPLimits& m_limits;
    Callbacks m_callbacks;
    std::string m_peerHost;
    std::string m_input; // Bytes not parsed yet
    http_parser m_parser {};
    HTTPRequest m_request;
    TimePoint m_phaseStart {}; // When the present phase began
    HeaderCollector m_collector;
    bool m_messageComplete { false };
    size_t m_currentBodyBytes { 0 };        // Body of the request in progress
    const char* m_rejectReason { nullptr }; // Why the body that arrives is not taken
    uint16_t m_rejectStatus { 0 };
    bool m_serving { false };
    bool m_keepAlive { true };
    bool m_hasServed { false }; // Has carried a request
    bool m_draining { false };  // Ends with the next answer
    bool m_closing { false };   // The last answer is on its way
};

} // namespace shallot
