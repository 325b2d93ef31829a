#pragma once

#include "core/time.h"

namespace lagoondeck::forwarding {

// Constants shared by the source files of Forwarder.

inline constexpr int statusUnavailable = 503;
/// A target's time limit ends this much before the caller's, so that its reply can still be
/// delivered.
inline constexpr Duration replyTransfer = std::chrono::milliseconds(3);
/// A target that takes this many median latencies is considered slow; a shorter delay may be
/// chance.
inline constexpr int slowMedianFactor = 3;

} // namespace lagoondeck::forwarding
