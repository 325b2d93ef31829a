#include "drivers/edge/byte_arrivals.h"

#include <algorithm>

namespace lagoondeck {

void ByteArrivals::add(std::size_t bytes, Instant arrivedAfter)
{
    if (bytes > 0) {
        this->chunks.push_back({bytes, arrivedAfter});
    }
}

void ByteArrivals::remove(std::size_t bytes)
{
    while (bytes > 0 && !this->chunks.empty()) {
        Chunk &front = this->chunks.front();
        const std::size_t removed = std::min(bytes, front.bytes);
        front.bytes -= removed;
        bytes -= removed;
        if (front.bytes == 0) {
            this->chunks.pop_front();
        }
    }
}

} // namespace lagoondeck
