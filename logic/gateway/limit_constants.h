#pragma once

#include <chrono>

namespace lagoondeck::limits {

// Constants shared by the parts that keep the limits of targets.

/// Unused requests of a target's limit are kept. All instances together can send at most as many at
/// once as the target takes in this time, and a few more.
inline constexpr std::chrono::duration<double> burstTime = std::chrono::seconds(1);
inline constexpr double extraBurst = 2.0;

} // namespace lagoondeck::limits
