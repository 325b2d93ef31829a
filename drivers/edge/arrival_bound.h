#pragma once

#include "core/time.h"

namespace lagoondeck {

/// Bounds how long data may have waited in the kernel before an event loop reads it.
///
/// A caller's time runs from the moment at which its request arrives. A loop that was busy, or a
/// process that was paused, reads the request later than that.
class ArrivalBound
{
public:
    /// Called after each wait for sockets. `wait` is the longest time that it was meant to take.
    void onWaited(Instant calledAt, Duration wait, Instant wokeAt);
    /// Returns a time after which the data has arrived that is read after the latest wait.
    Instant arrivedAfter() const { return this->lowerBound; }
    /// Returns when the latest wait ended.
    Instant wokeAt() const { return this->lastWakeAt; }

private:
    Instant lastWakeAt {};
    Instant lowerBound {};
};

} // namespace lagoondeck
