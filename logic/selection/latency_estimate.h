#pragma once

#include "core/time.h"

#include <cstdint>

namespace lagoondeck {

/// The recent latency of one target's sub-requests, measured by this instance: an exponentially
/// weighted moving average.
class LatencyEstimate
{
public:
    /// Called when a sub-request was answered.
    void add(Duration latency, Instant now);
    /// Called when a sub-request ended after this time without an answer. The answer would have
    /// taken longer.
    void addUnfinished(Duration elapsed, Instant now);
    /// Discards the samples and starts again from an assumed latency.
    void restart(Duration assumed, Instant now);

    /// Returns whether there are enough samples to compare the target with others.
    bool hasEnoughSamples() const;
    bool empty() const { return this->samples == 0; }
    Duration mean() const { return this->average; }
    /// Returns the lowest average over a long time: an estimate of the latency without queueing.
    Duration lowestMean() const { return this->lowestAverage; }
    /// Returns the average. An average above the reference decays towards it while there are no new
    /// samples, so that a target that was slow is tried again.
    Duration expected(Duration reference, Instant now) const;

private:
    Duration average {};
    Duration lowestAverage {};
    Instant observedAt {};
    std::uint32_t samples = 0;
};

} // namespace lagoondeck
