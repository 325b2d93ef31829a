#pragma once

#include "core/time.h"

#include <ctime>

namespace lagoondeck {

/// The clock of monotonicNow(). It also advances while the machine is suspended, so that time
/// limits, leases and loans run out meanwhile.
inline constexpr clockid_t monotonicClock = CLOCK_BOOTTIME;

/// Returns the current time of the monotonic clock. Only drivers and daemons read it.
inline Instant monotonicNow()
{
    timespec time {};
    clock_gettime(monotonicClock, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

/// Returns the current time of the wall clock.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace lagoondeck
