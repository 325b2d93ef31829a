#pragma once

#include "logic/invariant.h"

#include <cstddef>

namespace lagoondeck {

/// Checks that a graceful stop completes only when no request is in flight or its time bound has
/// passed.
inline void checkStopIsComplete(std::size_t queriesInFlight, bool boundPassed)
{
    ensure(queriesInFlight == 0 || boundPassed, Invariant::StopCutsNoRequest,
           [&] { return std::to_string(queriesInFlight) + " queries in flight"; });
}

} // namespace lagoondeck
