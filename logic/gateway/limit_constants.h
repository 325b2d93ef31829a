#pragma once

#include <chrono>

namespace lagoondeck::limits {

// Constants shared by the parts that keep the limits of targets.

/// Unused requests of a target's limit are kept for so long. All instances together can send at
/// most as many at once as the target takes in this time.
inline constexpr std::chrono::duration<double> burstTime = std::chrono::seconds(1);

} // namespace lagoondeck::limits
