#pragma once

#include "core/time.h"

#include <ctime>

namespace lagoondeck {

/// The present on the monotonic clock. Only drivers and daemons read it.
inline Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// The present on the wall clock.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

/// How long the machine has been suspended since it started; the monotonic clock stands still then.
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
