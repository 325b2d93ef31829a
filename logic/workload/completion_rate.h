#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace lagoondeck {

/// Measures how fast requests complete while others wait, which is the rate at which capacity
/// becomes free. Times when nothing waits don't count: completions are then as rare as the
/// requests.
class CompletionRate
{
public:
    /// Called when parts begin or cease to wait.
    void setWaiting(bool isWaiting, Instant now);
    void add(Instant now);
    /// Forgets what was measured, because the capacity has grown.
    void reset() { this->samples.clear(); }

    /// Returns the completions per second, or nothing if too few were seen lately.
    std::optional<double> perSecond(Instant now) const;
    /// Returns a rate that the true one does not exceed, except by chance in one case of forty.
    std::optional<double> maxPerSecond(Instant now) const;

private:
    struct Sample
    {
        Instant at {};
        /// How long parts had waited in total.
        Duration waited {};
    };
    /// The completions after the first sample, and the time in which they came.
    struct Measurement
    {
        double count = 0.0;
        double seconds = 0.0;
    };

    std::optional<Measurement> measure(Instant now) const;
    Duration waitedUntil(Instant now) const;

    std::deque<Sample> samples;
    Duration waitedBefore {};
    /// Since when parts wait, if they do.
    std::optional<Instant> waitingSince;
};

} // namespace lagoondeck
