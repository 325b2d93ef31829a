#pragma once

#include <chrono>
#include <cstdint>

namespace lagoondeck {

/// The resolution of all times inside the logic.
using Duration = std::chrono::microseconds;

/// A point on the process's monotonic clock. The logic only gets it with events and reads no clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point of wall-clock time, used only where instances compare their times.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Whole milliseconds of a duration, rounded down, for headers and logs.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Milliseconds with their fraction, for reports.
constexpr double toFractionalMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace lagoondeck
