#pragma once

#include <cstddef>

namespace shallot {

// Bytes that the allocator has taken from the system, also those that were freed and that it keeps.
size_t heapBytes();

} // namespace shallot
