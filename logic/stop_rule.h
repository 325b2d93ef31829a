#pragma once

#include "logic/invariant.h"

#include <cstddef>

namespace lagoondeck {

/// A graceful stop is complete only when no request is under way, or its bound has passed.
inline void checkStopCutsNothing(std::size_t queriesInFlight, bool boundPassed)
{
    ensure(queriesInFlight == 0 || boundPassed, Invariant::StopCutsNoRequest,
           [&] { return std::to_string(queriesInFlight) + " queries in flight"; });
}

} // namespace lagoondeck
