#pragma once

#include "net/StreamSocket.h"
#include "net/Timer.h"

#include <deque>
#include <string>
#include <vector>

namespace shallot {

// A caller's kept connection that may carry pipelined requests. Connects at once; reads responses with a named length only.
class KeptConnection {
public:
    struct Callbacks {
        // Without an id: bytes that no request waits for.
        std::function<void(const std::string& id, uint16_t status, const std::string& body)> onAnswer;
        std::function<void(const std::vector<std::string>& ids)> onEnd; // The requests that were not answered, maybe none
    };

    KeptConnection(const SocketAddress&, Callbacks);
    ~KeptConnection();

    // Sends the text of requests with these ids, or the first part of it.
    void send(const std::string& text, std::vector<std::string> ids);
    void sendMore(const std::string& text);
    // Shuts down the sending side and goes on to read.
    void finishSending();
    // Once, it stops reading for so long when a part of an answer has arrived; not after finishSending().
    void pauseInAnswer(Duration pause) { m_pause = pause; }
    bool hasPartOfAnswer() const { return !m_pending.empty() && !m_input.empty(); }
    // Whether requests can be sent on it.
    bool isOpen() const { return m_socket && m_socket->isOpen() && !m_sendingFinished; }
    // Requests that are not answered.
    size_t pending() const { return m_pending.size(); }
    const std::deque<std::string>& pendingIDs() const { return m_pending; }

private:
    void onData(std::span<const uint8_t>);
    bool readAnswer();
    void onClosed();

    Callbacks m_callbacks;
    RefPtr<StreamSocket> m_socket;
    std::string m_input;
    Duration m_pause {}; // To come
    Timer m_resume;
    std::deque<std::string> m_pending;
    int m_descriptor { -1 }; // Owned by the socket
    bool m_sendingFinished { false };
    bool m_isHalfClosed { false };
};

} // namespace shallot
