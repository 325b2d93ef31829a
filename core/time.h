#pragma once

#include <chrono>
#include <cstdint>

namespace lagoondeck {

/// The type of all durations. Its resolution is also that of Instant and WallTime.
using Duration = std::chrono::microseconds;

/// A point in time on the process's monotonic clock. The logic receives it with events and never
/// reads a clock itself.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in time on the wall clock, used only where instances compare their times.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Returns the whole milliseconds of a duration, rounded towards zero, for headers and logs.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Returns the milliseconds of a duration including the fraction, for reports.
constexpr double toFractionalMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace lagoondeck
