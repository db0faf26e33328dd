#include "core/Heap.h"

#include <malloc.h>

namespace shallot {

size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.arena + info.hblkhd;
}

} // namespace shallot
