#pragma once

#include "core/Error.h"
#include "core/RefCounted.h"
#include "net/SocketAddress.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

typedef struct _GSocket GSocket;
typedef struct _GSocketConnection GSocketConnection;
typedef struct _GSource GSource;

namespace shallot {

// A non-blocking TCP connection on the main loop with a bounded write buffer.
class StreamSocket : public RefCounted<StreamSocket> {
public:
    struct Callbacks {
        std::function<void(std::span<const uint8_t>)> onData;
        std::function<void()> onConnected; // Only for outgoing connections
        std::function<void()> onClosed;    // Once; end of stream, error or overfull buffer
    };

    // Takes over a socket; `owner` is the GIO object whose end would close it, if there is one.
    explicit StreamSocket(GSocket*, GSocketConnection* owner = nullptr);
    ~StreamSocket();

    // Starts connecting; null when no socket can be made.
    static RefPtr<StreamSocket> connect(const SocketAddress&);

    void start(Callbacks);
    // Sends at once what the kernel takes and buffers the rest; false once closed or when the buffer would overflow.
    bool write(std::string_view);
    // Ends the connection; onClosed is not called.
    void close();
    bool isOpen() const { return m_socket; }

private:
    bool onReady(unsigned condition);
    void readAvailable();
    bool flush();
    void finishConnecting();
    void closeAndNotify();
    void watchWritable(bool);

    GSocket* m_socket { nullptr };
    GSocketConnection* m_owner { nullptr };
    GSource* m_readSource { nullptr };
    GSource* m_writeSource { nullptr };
    Callbacks m_callbacks;
    std::string m_pending;
    size_t m_pendingOffset { 0 };
    bool m_connecting { false };
};

} // namespace shallot
