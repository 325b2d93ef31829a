#pragma once

#include "core/time.h"

#include <algorithm>

namespace lagoondeck {

/// Slow start: a target that was just added or returns from probation gets a small fraction of its
/// load at first, which grows to all of it.
class LoadRamp
{
public:
    /// The fraction of the load at the start of the ramp, and the time until the full load.
    static constexpr double initialFraction = 0.1;
    static constexpr Duration rampDuration = std::chrono::seconds(3);

    /// Starts the ramp from the beginning.
    void restart(Instant now)
    {
        this->startedAt = now;
        this->running = true;
    }

    /// Returns the fraction of its load that the target gets now, up to 1.
    double fraction(Instant now) const
    {
        if (!this->running) {
            return 1.0;
        }
        const std::chrono::duration<double> age = now - this->startedAt;
        const std::chrono::duration<double> whole = rampDuration;
        return std::clamp(initialFraction + (1.0 - initialFraction) * (age / whole),
                          initialFraction, 1.0);
    }

private:
    bool running = false;
    Instant startedAt {};
};

} // namespace lagoondeck
