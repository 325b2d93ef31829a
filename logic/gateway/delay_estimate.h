#pragma once

#include "core/time.h"

namespace lagoondeck {

/// Estimates one of this instance's own delays, for example by how much its timers fire late.
///
/// The estimate follows a longer delay at once and decreases slowly, because an answer that is sent
/// too late costs more than one that is sent too early.
class DelayEstimate
{
public:
    /// Adds a delay that was observed at `now`.
    void add(Duration delay, Instant now);
    /// Returns the delay to expect.
    Duration current(Instant now) const;

private:
    Duration peak {};
    Instant peakAt {};
};

} // namespace lagoondeck
