#pragma once

#include "core/time.h"

#include <algorithm>

namespace lagoondeck::forwarding {

// Constants shared by the source files of Forwarder.

inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimeout = 504;
/// When a caller may try again after a refusal that concerns only this instance or this moment.
inline constexpr Duration retryAfterRefusal = std::chrono::milliseconds(20);
/// A target's time limit ends this much before the caller's, so that its reply can still be
/// delivered.
inline constexpr Duration replyTransfer = std::chrono::milliseconds(3);
/// A target that takes this many median latencies is considered slow; a shorter delay may be
/// chance.
inline constexpr int slowMedianFactor = 3;

/// A shorter time without any reply is usual even if many attempts are running.
inline constexpr Duration minSilence = std::chrono::milliseconds(60);

// A member that delegated a request waits for so long until it serves the request in another way.

/// How long after the objective the answer or a receipt of a live coordinator can arrive.
inline constexpr Duration objectiveTolerance = std::chrono::milliseconds(20);
/// How long after a receipt the answer or the next receipt can arrive.
inline constexpr Duration receiptTimeout = std::chrono::milliseconds(150);
/// A receipt is under way for at most this long. A coordinator stops so much earlier than the other
/// side starts.
inline constexpr Duration receiptDelay = std::chrono::milliseconds(5);

/// A request that was under way for longer than this is not started by the member that got it: it
/// may have been paused, and must not begin when the sender does not expect it any more.
inline constexpr Duration maxTransitTime = std::chrono::milliseconds(25);

/// Returns when the member that delegated a request at the given time expects its answer or the
/// first receipt. The first receipt is sent at the objective, or at once if that has passed.
inline Instant firstReceiptBy(Instant objectiveAt, Instant delegatedAt)
{
    return std::max(objectiveAt, delegatedAt + maxTransitTime) + objectiveTolerance;
}

} // namespace lagoondeck::forwarding
