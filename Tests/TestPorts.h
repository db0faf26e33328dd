#pragma once

#include <cstdint>

namespace shallot {

constexpr uint16_t portsPerFleet = 100;

// First of a range of ports that no other test process uses.
uint16_t nextBasePort();

} // namespace shallot
