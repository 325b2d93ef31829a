#pragma once

#include "core/time.h"

namespace lagoondeck {

/// What all instances together may send beyond the first arrival of each request, in a sliding
/// window, and how many instances share it.
struct RetryAllowance
{
    /// Extra arrivals for each request.
    double ratio = 0.0;
    /// Extra arrivals in a window beside the ratio, for the whole fleet.
    double slack = 0.0;
    Duration window = std::chrono::seconds(10);
};

} // namespace lagoondeck
