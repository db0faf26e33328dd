#pragma once

#include "net/Listener.h"
#include "net/Timer.h"

#include <memory>
#include <vector>

namespace shallot {

// Loopback proxy in front of one address that injects faults into the connections through it.
class FaultProxy {
public:
    enum class Fault : uint8_t {
        None,
        DropToTarget,   // Bytes to the target are dropped
        DropFromTarget, // Bytes from the target are dropped
        Delayed,        // Received bytes are forwarded after 50 ms
        Reset,          // Open and new connections are closed
    };

    FaultProxy(const SocketAddress& own, const SocketAddress& target);
    ~FaultProxy();

    // Takes effect on open connections as well; dropped bytes never arrive.
    void setFault(Fault);

private:
    struct Pair {
        RefPtr<StreamSocket> caller;
        RefPtr<StreamSocket> target;
        std::vector<std::unique_ptr<Timer>> delays;
    };

    void accept(RefPtr<StreamSocket>);
    void forward(Pair&, bool towardsTarget, std::string bytes);
    static void close(Pair&);

    SocketAddress m_target;
    Listener m_listener;
    std::vector<std::unique_ptr<Pair>> m_pairs;
    Fault m_fault { Fault::None };
};

} // namespace shallot
