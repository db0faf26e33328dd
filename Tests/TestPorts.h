#pragma once

#include <cstdint>

namespace shallot {

constexpr uint16_t portsPerFleet = 100;

// Returns the first port of a range of portsPerFleet ports that no other test process uses.
uint16_t nextBasePort();

} // namespace shallot
