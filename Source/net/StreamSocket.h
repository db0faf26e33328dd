#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "core/Time.h"
#include "net/SocketAddress.h"
#include "net/SocketPoller.h"
#include "net/Timer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

class ByteBudget;

// How a connection was closed.
enum class StreamEnd : uint8_t {
    Clean,   // The peer shut down its sending side
    Reset,   // Error, timeout or write buffer overflow
    Refused, // Nobody accepts connections at the address
};

// Non-blocking TCP connection on the main loop with a bounded write buffer.
class StreamSocket : public RefCounted<StreamSocket> {
public:
    struct Callbacks {
        std::function<void(std::span<const uint8_t>)> onData;
        std::function<void()> onConnected;       // Only for outgoing connections
        std::function<void(StreamEnd)> onClosed; // Called once
        // The peer shut down its sending side. Returns whether the connection stays open for sending; unset: it does not.
        std::function<bool()> onPeerFinished;
        std::function<void()> onFlushed; // What the kernel did not take at once has been sent
        bool readsAfterReset { false };  // What arrived before a reset is read before onClosed, also when reading was paused
    };

    // Takes ownership of a connected, non-blocking socket.
    explicit StreamSocket(int descriptor);
    ~StreamSocket();

    // Starts connecting; null when the socket cannot be created, or on an immediate error.
    static RefPtr<StreamSocket> connect(const SocketAddress&);

    void start(Callbacks);
    // Sends what the kernel accepts at once and buffers the rest. False when the connection is closed or finishing, or when the
    // data would overflow the buffer, which closes the connection.
    bool write(std::string_view);
    // Sends the buffered data, also to a peer that has shut down its sending side, then shuts down the own sending side and
    // discards received data until the peer closes.
    void finish();
    // The bytes that wait to be sent are counted in this budget, which must outlive the connection.
    void setBudget(ByteBudget&);
    // When the peer last took some of them, or when the first of them began to wait.
    TimePoint lastSendProgress() const { return m_lastSendProgress; }
    // When the first of them began to wait.
    TimePoint pendingSince() const { return m_pendingSince; }
    // While paused, received data stays in the kernel, so that the peer has to wait. The end of the connection is noticed only
    // if it is a reset and nothing is read after it.
    void setReadPaused(bool);
    // Reads the data in the kernel's receive buffer at once instead of in the next iteration of the main loop.
    void readNow();
    // Closes the connection; onClosed is not called.
    void close();
    // Sets TCP_USER_TIMEOUT: sent data that stays unacknowledged for longer closes the connection.
    void setUserTimeout(Duration);
    bool isOpen() const { return m_watcher.descriptor >= 0; }
    bool canSend() const { return isOpen() && !m_finishing && !m_sendFailed; }
    bool isConnecting() const { return m_connecting; }
    // The peer has shut down its sending side, perhaps behind data that has not been read yet.
    bool hasPeerFinished() const { return m_peerEndArrived; }
    size_t pendingBytes() const { return m_pending.size() - m_pendingOffset; }
    // Pending bytes and those that the peer's kernel has not acknowledged: a socket that is closed meanwhile drops the latter
    // when the peer sends to it.
    size_t unacknowledgedBytes() const;
    // Bytes that have arrived and wait in the kernel.
    size_t unreadBytes() const;
    // Bytes that arrived after finish().
    size_t discardedBytes() const { return m_discardedBytes; }
    // IP address of the peer; empty when unknown.
    std::string peerHost() const;

private:
    void onReady(uint32_t events);
    void readAvailable();
    bool flush();
    std::optional<size_t> sendSome(std::string_view);
    void blockWriting();
    void waitForMemory(int error);
    void onSendFailed();
    void finishConnecting();
    void closeAndNotify(StreamEnd);
    void updateWatch();
    void updateHeldBytes();

    SocketWatcher m_watcher;
    Timer m_memoryTimer;
    Callbacks m_callbacks;
    std::string m_pending;
    size_t m_pendingOffset { 0 };
    size_t m_discardedBytes { 0 };
    ByteBudget* m_budget { nullptr };
    size_t m_heldBytes { 0 }; // Counted in the budget
    TimePoint m_lastSendProgress {};
    TimePoint m_pendingSince {};
    bool m_started { false };
    bool m_connecting { false };
    bool m_writeBlocked { false }; // The kernel's send buffer is full
    bool m_lacksMemory { false };  // The kernel has none for this socket at the moment
    bool m_sendFailed { false };   // The peer has reset the connection; the rest is read
    bool m_finishing { false };
    bool m_readPaused { false };
    bool m_peerEndArrived { false }; // Perhaps behind data that has not been read
    bool m_peerFinished { false };   // Its end has been read
};

} // namespace shallot
