#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/SocketAddress.h"
#include "net/SocketPoller.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

// How a connection ended.
enum class StreamEnd : uint8_t {
    Clean, // The other side finished its stream
    Reset, // Error, time-out or overfull buffer
};

// A non-blocking TCP connection on the main loop with a bounded write buffer.
class StreamSocket : public RefCounted<StreamSocket> {
public:
    struct Callbacks {
        std::function<void(std::span<const uint8_t>)> onData;
        std::function<void()> onConnected;       // Only for outgoing connections
        std::function<void(StreamEnd)> onClosed; // Once
    };

    // Takes over a connected socket.
    explicit StreamSocket(int descriptor);
    ~StreamSocket();

    // Starts connecting; null when no socket can be made.
    static RefPtr<StreamSocket> connect(const SocketAddress&);

    void start(Callbacks);
    // Sends at once what the kernel takes and buffers the rest; false once closed or when the buffer would overflow.
    bool write(std::string_view);
    // Sends what is buffered, ends the own stream and drops what still arrives until the other side closes.
    void finish();
    // Reads what the kernel holds without waiting for the loop.
    void readNow();
    // Ends the connection; onClosed is not called.
    void close();
    // Unacknowledged bytes older than this end the connection.
    void setUserTimeout(Duration);
    bool isOpen() const { return m_watcher.descriptor >= 0; }
    bool isConnecting() const { return m_connecting; }
    size_t pendingBytes() const { return m_pending.size() - m_pendingOffset; }
    // IP number of the other side; empty when unknown.
    std::string peerHost() const;

private:
    void onReady(uint32_t events);
    void readAvailable();
    bool flush();
    void finishConnecting();
    void closeAndNotify(StreamEnd);
    void updateWatch();

    SocketWatcher m_watcher;
    Callbacks m_callbacks;
    std::string m_pending;
    size_t m_pendingOffset { 0 };
    bool m_started { false };
    bool m_connecting { false };
    bool m_writeBlocked { false }; // The kernel's buffer is full
    bool m_finishing { false };
};

} // namespace shallot
