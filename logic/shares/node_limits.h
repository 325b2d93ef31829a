#pragma once

#include <cstdint>

namespace lagoondeck {

/// The queries of an entry that one instance may admit: its shares of the limits for the whole
/// cell.
struct NodeLimits
{
    double ratePerSecond = 0.0;
    std::uint32_t concurrency = 0;
};

} // namespace lagoondeck
