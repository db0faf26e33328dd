#pragma once

#include "net/Listener.h"
#include "net/StreamSocket.h"
#include "net/Timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

// A backend server that answers byte by byte as a test says, in place of a stand-in that speaks HTTP properly.
class RawEndpoint {
public:
    // Sees the attempt of one request and the connection to answer on.
    using Script = std::function<void(StreamSocket&, const std::string& attempt)>;

    RawEndpoint(const SocketAddress&, std::string instance, Script);
    ~RawEndpoint();

    void setScript(Script script) { m_script = std::move(script); }
    // Sends the text again and again on that connection until the other side closes it.
    void flood(StreamSocket&, const std::string& text);
    // The next bytes on that connection are a body of `b`s, beginning with what came after the head.
    void expectBody(StreamSocket&, size_t bytes);
    size_t remainingBodyBytes() const { return m_remainingBodyBytes; }
    bool hasUnexpectedBytes() const { return m_hasUnexpectedBytes; }
    // A whole, sealed answer to that attempt.
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
    size_t m_requests { 0 }; // Without health questions
    StreamSocket* m_bodySocket { nullptr };
    size_t m_remainingBodyBytes { 0 }; // Bytes of that body
    size_t m_bytesAfterHead { 0 };     // Bytes that came with the head just read
    bool m_hasUnexpectedBytes { false };
};

} // namespace shallot
