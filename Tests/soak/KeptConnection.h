#pragma once

#include "net/StreamSocket.h"

#include <deque>
#include <string>
#include <vector>

namespace shallot {

// A caller's kept connection that may carry pipelined requests. Reads responses with a named length only.
class KeptConnection {
public:
    struct Callbacks {
        std::function<void(const std::string& id, uint16_t status, const std::string& body)> onAnswer;
        std::function<void(const std::vector<std::string>& ids)> onEnd; // The requests that were not answered, maybe none
    };

    KeptConnection(const SocketAddress&, Callbacks);
    ~KeptConnection();

    // Sends the text of requests with these ids at once.
    void send(const std::string& text, std::vector<std::string> ids);
    bool isOpen() const { return m_socket && m_socket->isOpen(); }
    // Requests that are not answered.
    size_t pending() const { return m_pending.size(); }

private:
    void onData(std::span<const uint8_t>);
    bool readAnswer();
    void onClosed();

    Callbacks m_callbacks;
    RefPtr<StreamSocket> m_socket;
    std::string m_input;
    std::deque<std::string> m_pending;
};

} // namespace shallot
