#pragma once

#include "core/time.h"

namespace lagoondeck {

/// How many extra arrivals (retries and hedges, beyond the first arrival of each request) all
/// instances together may send within a sliding window.
struct RetryAllowance
{
    /// Extra arrivals per request.
    double ratio = 0.0;
    /// Extra arrivals per window in addition to the ratio, for the whole fleet.
    double slack = 0.0;
    Duration window = std::chrono::seconds(10);
};

} // namespace lagoondeck
