#pragma once

#include "net/Listener.h"
#include "net/StreamSocket.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

// In front of one daemon's address for peers: holds bytes of its links, and ends links. Replaces addresses within the bytes, so
// that the peers learn the address of the relay only.
class LinkRelay {
public:
    LinkRelay(const SocketAddress& own, const SocketAddress& target, std::map<std::string, std::string> replacements);
    ~LinkRelay();

    // Bytes of this direction wait; false: they and those that follow are sent.
    void holdToTarget(bool);
    void holdFromTarget(bool);
    // Ends all links; what is held is lost. New links are accepted.
    void reset();
    // Ends all links at the side of their initiators only, and holds what these have sent to the target; new links pass.
    void resetInitiators();
    // Links that their initiators have ended.
    size_t endedLinks() const;
    size_t heldToTarget() const;
    size_t heldFromTarget() const;

private:
    struct Direction {
        RefPtr<StreamSocket> to;
        std::string held;
        bool holds { false };
        bool ends { false }; // After what is held
    };
    struct Pair {
        Direction toTarget;
        Direction fromTarget;
    };

    void accept(const RefPtr<StreamSocket>& initiator);
    void forward(Direction&, std::span<const uint8_t>) const;
    static void release(Direction&);
    static void end(Direction&);

    SocketAddress m_target;
    std::map<std::string, std::string> m_replacements;
    Listener m_listener;
    std::vector<std::unique_ptr<Pair>> m_pairs;
    bool m_holdsToTarget { false }; // New links
    bool m_holdsFromTarget { false };
};

} // namespace shallot
