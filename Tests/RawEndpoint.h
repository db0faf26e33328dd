#pragma once

#include "net/Listener.h"
#include "net/StreamSocket.h"
#include "net/Timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

// A backend server whose responses are written byte by byte by the test; other stand-ins speak correct HTTP.
class RawEndpoint {
public:
    // Called with the attempt id of a request and the connection to respond on.
    using Script = std::function<void(StreamSocket&, const std::string& attempt)>;

    RawEndpoint(const SocketAddress&, std::string instance, Script);
    ~RawEndpoint();

    void setScript(Script script) { m_script = std::move(script); }
    // Closes new connections at once, as a backend server with too many of them; the open ones stay.
    void refuseConnections() { m_refusesConnections = true; }
    // Sends the text repeatedly on that connection until the other side closes it.
    void flood(StreamSocket&, const std::string& text);
    // Writes a sealed response whose body is that many `x`s, as the other side reads it.
    void sendLongBody(StreamSocket&, const std::string& attempt, size_t bytes);
    // Expects a body of `b`s as the next bytes on that connection, including those that arrived after the header section.
    void expectBody(StreamSocket&, size_t bytes);
    size_t remainingBodyBytes() const { return m_remainingBodyBytes; }
    bool hasUnexpectedBytes() const { return m_hasUnexpectedBytes; }
    // A complete response with a seal to that attempt.
    static std::string responseTo(const std::string& attempt, const std::string& body);

    size_t requestCount() const { return m_requests; }
    size_t connectionCount() const { return m_connections.size(); }
    // Connections that the other side has not closed.
    size_t openConnections() const;
    const std::vector<RefPtr<StreamSocket>>& connections() const { return m_connections; }

private:
    void onBytes(StreamSocket&, std::string& buffer, std::string_view bytes);

    std::string m_instance;
    Script m_script;
    Listener m_listener;
    std::vector<RefPtr<StreamSocket>> m_connections;
    std::vector<std::unique_ptr<Timer>> m_floods;
    size_t m_requests { 0 }; // Without health probes
    StreamSocket* m_bodySocket { nullptr };
    size_t m_remainingBodyBytes { 0 }; // Of the expected body
    size_t m_bytesAfterHead { 0 };     // Bytes that arrived together with the last header section
    bool m_hasUnexpectedBytes { false };
    bool m_refusesConnections { false };
};

} // namespace shallot
