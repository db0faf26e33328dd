#pragma once

#include <cstddef>

namespace shallot {

// Gives each large block pages of its own for the whole life of the process, so that they are returned to the system when the
// block is freed. To be called before other threads start.
void returnLargeBlocks();

// Bytes that the allocator has taken from the system, also those that were freed and that it keeps.
size_t heapBytes();

} // namespace shallot
