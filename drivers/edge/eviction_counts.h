#pragma once

#include <cstdint>

namespace lagoondeck {

/// What a listener has done because its connections exceeded their bounds.
struct EvictionCounts
{
    /// Connections that were closed because all together held too many bytes.
    std::uint64_t forMemory = 0;
    /// Connections that were closed to make room for new ones.
    std::uint64_t replaced = 0;
    /// New connections that were closed at once because none could make room.
    std::uint64_t refused = 0;
    /// How often no connection could be accepted because no descriptor was free.
    std::uint64_t acceptFailures = 0;

    bool operator==(const EvictionCounts &) const = default;
};

} // namespace lagoondeck
