#pragma once

#include "core/time.h"

namespace lagoondeck {

/// Latency statistics of the recent sub-requests to one service, measured by this instance.
struct LatencyStatistics
{
    /// A low quantile. Hardly any sub-request finishes sooner.
    Duration lowQuantile {};
    /// Half of the sub-requests finish within this time.
    Duration median {};
    /// A high quantile. Nearly all sub-requests finish within this time.
    Duration highQuantile {};
    /// A sub-request that is in flight for longer than this is late and is hedged.
    Duration lateThreshold {};
    /// The part of the latency that is spent outside the target: on the network and in this
    /// instance.
    Duration networkTime {};
};

} // namespace lagoondeck
