#pragma once

#include "core/time.h"

#include <algorithm>

namespace lagoondeck {

/// A target that has just started, or was slow, gets a small part of its load at first.
class LoadRamp
{
public:
    /// The part of the load at the ramp's start, and the time until all of it.
    static constexpr double firstPart = 0.1;
    static constexpr Duration length = std::chrono::seconds(3);

    /// Begins again.
    void restart(Instant now)
    {
        this->startedAt = now;
        this->running = true;
    }

    /// The part of its load that the target gets now, up to 1.
    double part(Instant now) const
    {
        if (!this->running) {
            return 1.0;
        }
        const std::chrono::duration<double> age = now - this->startedAt;
        const std::chrono::duration<double> whole = length;
        return std::clamp(firstPart + (1.0 - firstPart) * (age / whole), firstPart, 1.0);
    }

private:
    bool running = false;
    Instant startedAt {};
};

} // namespace lagoondeck
