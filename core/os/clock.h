#pragma once

#include "core/time.h"

#include <ctime>

namespace lagoondeck {

/// Returns the current time of the monotonic clock. Only drivers and daemons read it.
inline Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Returns the current time of the wall clock.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

/// Returns how long the machine has been suspended since it was started. The monotonic clock
/// doesn't advance while the machine is suspended.
inline Duration suspendedTime()
{
    timespec sinceBoot {};
    timespec running {};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    clock_gettime(CLOCK_MONOTONIC, &running);
    const auto seconds = std::chrono::seconds(sinceBoot.tv_sec - running.tv_sec);
    const auto rest = std::chrono::nanoseconds(sinceBoot.tv_nsec - running.tv_nsec);
    return std::chrono::duration_cast<Duration>(seconds + rest);
}

} // namespace lagoondeck
