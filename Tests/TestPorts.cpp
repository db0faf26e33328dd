#include "TestPorts.h"

#include "net/Listener.h"
#include "net/StreamSocket.h"

#include <glib.h>
#include <memory>
#include <unistd.h>
#include <vector>

namespace shallot {

namespace {

constexpr uint16_t firstPort = 24'000; // Below the kernel's range of ephemeral ports
constexpr uint16_t fleetSlots = 85;

} // namespace

// The last port of the range stays bound until the process ends, as a lock on the range.
uint16_t nextBasePort()
{
    static std::vector<std::unique_ptr<Listener>> locks;
    for (uint32_t i = 0; i < fleetSlots; ++i) {
        const auto base = static_cast<uint16_t>(firstPort + (static_cast<uint32_t>(getpid()) + i) % fleetSlots * portsPerFleet);
        auto lock = std::make_unique<Listener>();
        if (!lock->start({ "127.0.0.1", static_cast<uint16_t>(base + portsPerFleet - 1) }, [](const RefPtr<StreamSocket>&) {}))
            continue;
        locks.push_back(std::move(lock));
        return base;
    }
    g_error("no free ports for a test fleet");
}

} // namespace shallot
