#pragma once

#include "core/time.h"

namespace lagoondeck::forwarding {

// What several parts of the forwarding share.

inline constexpr int statusUnavailable = 503;
/// The way to a caller and back, and what a new connection of the caller's costs.
inline constexpr Duration callerWay = std::chrono::milliseconds(10);
/// A target gets this much less time than the caller waits, so that its answer can still go back.
inline constexpr Duration wayBack = std::chrono::milliseconds(3);
/// A target that takes so many median latencies is slow, not only unlucky.
inline constexpr int slowMedians = 3;

} // namespace lagoondeck::forwarding
