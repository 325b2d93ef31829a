#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace lagoondeck {

/// Quantiles of the recent latencies of one route's attempts.
class LatencyModel
{
public:
    /// Until enough latencies are recorded, the quantiles are estimated from the route's objective.
    explicit LatencyModel(Duration objective);

    void add(Duration latency);

    /// Returns the 50th percentile.
    Duration median() const { return this->p50; }
    /// Returns the 90th percentile; a slower attempt counts as late.
    Duration lateThreshold() const { return this->p90; }
    /// Returns the 97th percentile.
    Duration veryLateThreshold() const { return this->p97; }
    /// Returns true if the quantiles come from recorded latencies.
    bool isLearned() const { return this->count >= refreshEvery; }

private:
    static constexpr std::size_t maxSamples = 256;
    static constexpr std::size_t refreshEvery = 16;

    void refresh();

    /// The latest latencies, in a ring buffer.
    std::array<Duration, maxSamples> samples {};
    /// How many latencies were recorded in total.
    std::size_t count = 0;
    Duration p50;
    Duration p90;
    Duration p97;
};

} // namespace lagoondeck
