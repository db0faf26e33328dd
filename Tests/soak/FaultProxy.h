#pragma once

#include "net/Listener.h"
#include "net/Timer.h"

#include <memory>
#include <vector>

namespace shallot {

// A loopback proxy in front of one address that harms the connections through it.
class FaultProxy {
public:
    enum class Harm : uint8_t {
        None,
        SilentForth, // Bytes towards the target are swallowed
        SilentBack,  // Bytes from the target are swallowed
        Delayed,     // Each piece waits 50 ms
        Reset,       // Open connections break, new ones too
    };

    FaultProxy(const SocketAddress& own, const SocketAddress& target);
    ~FaultProxy();

    // Takes effect on open connections as well; what was swallowed never arrives.
    void setHarm(Harm);

private:
    struct Pair {
        RefPtr<StreamSocket> caller;
        RefPtr<StreamSocket> target;
        std::vector<std::unique_ptr<Timer>> delays;
    };

    void accept(RefPtr<StreamSocket>);
    void pass(Pair&, bool forth, std::string bytes);
    static void close(Pair&);

    SocketAddress m_target;
    Listener m_listener;
    std::vector<std::unique_ptr<Pair>> m_pairs;
    Harm m_harm { Harm::None };
};

} // namespace shallot
