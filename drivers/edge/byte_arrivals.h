#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>

namespace lagoondeck {

/// Remembers when the bytes of a buffer arrived, from the first to the last.
class ByteArrivals
{
public:
    /// Called when bytes that arrived after the given time were appended to the buffer.
    void add(std::size_t bytes, Instant arrivedAfter);
    /// Called when bytes were removed from the front of the buffer.
    void remove(std::size_t bytes);
    /// Returns a time after which the first byte arrived. The buffer must not be empty.
    Instant first() const { return this->chunks.front().arrivedAfter; }

private:
    struct Chunk
    {
        std::size_t bytes = 0;
        Instant arrivedAfter {};
    };

    std::deque<Chunk> chunks;
};

} // namespace lagoondeck
