#pragma once

#include "core/time.h"

namespace lagoondeck {

/// What recent sub-requests of one service tell of the next one, seen from this instance.
struct LatencyFigures
{
    /// Hardly any sub-request is done sooner.
    Duration shortest {};
    /// Half of the sub-requests are done by then.
    Duration typical {};
    /// Nearly all sub-requests are done by then.
    Duration usual {};
    /// A sub-request that is out for longer is late: it gets a second attempt.
    Duration late {};
    /// The part of the time that is spent on the way and not at the target.
    Duration hop {};
};

} // namespace lagoondeck
