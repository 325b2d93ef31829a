#include "core/os/heap.h"

#include <malloc.h>

namespace lagoondeck {

void returnFreedBlocks()
{
    // The C library's initial thresholds; setting them keeps it from raising them.
    constexpr int separateBlockBytes = 128 * 1024;
    // More than one iteration of the event loop usually frees, so that the heap does not shrink and
    // grow again all the time.
    constexpr int keptFreeBytes = 4 * 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, separateBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

} // namespace lagoondeck
