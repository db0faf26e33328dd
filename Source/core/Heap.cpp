#include "core/Heap.h"

#include <malloc.h>

namespace shallot {

namespace {

constexpr int largeBlockBytes = 128 * 1024; // glibc's initial threshold

} // namespace

// Without this, glibc raises the threshold to the size of the largest block that was freed, and small blocks between large ones
// keep the memory of a burst of long bodies from being returned.
void returnLargeBlocks()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.arena + info.hblkhd;
}

} // namespace shallot
