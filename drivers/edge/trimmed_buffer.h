#pragma once

#include <cstddef>
#include <string>

namespace lagoondeck {

/// Frees the memory of a buffer of which only a small part is used, so that a connection that has
/// received much does not keep the memory until it ends.
inline void trimBuffer(std::string &buffer)
{
    /// Smaller buffers are kept: most requests and answers fit into them.
    constexpr std::size_t keptCapacity = 16 * 1024;
    if (buffer.capacity() > keptCapacity && buffer.size() < buffer.capacity() / 4) {
        buffer.shrink_to_fit();
    }
}

} // namespace lagoondeck
