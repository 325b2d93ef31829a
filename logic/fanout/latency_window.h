#pragma once

#include "core/time.h"
#include "logic/fanout/latency_statistics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace lagoondeck {

/// The latencies of recent sub-requests to one service. The samples are in two histograms. When the
/// current one is full, or old with enough samples, it replaces the previous one, so that old
/// samples are dropped.
class LatencyWindow
{
public:
    LatencyWindow();

    /// Records an answered sub-request: its whole latency and the service time that the target
    /// reports.
    void add(Duration latency, Duration serviceTime, Instant now);
    /// Records a sub-request that was cancelled at this age. Its full latency is unknown.
    void addCancelled(Duration age, Instant now);
    /// Returns the current statistics; nullopt until enough sub-requests are recorded.
    const std::optional<LatencyStatistics> &statistics() const { return this->cached; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>,
                                                  boost::histogram::dense_storage<std::uint32_t>>;

    static Histogram emptyHistogram();
    void record(Duration latency, Instant now);
    void rotateIfFull(Instant now);
    void refresh();
    /// Returns the latency that the given fraction of the sub-requests, 0 to 1, did not exceed.
    Duration quantile(double level) const;

    Histogram current;
    Histogram previous;
    std::uint32_t currentCount = 0;
    std::uint32_t previousCount = 0;
    std::uint32_t samplesSinceRefresh = 0;
    Instant currentSince {};
    Duration networkTime {};
    bool networkTimeKnown = false;
    std::optional<LatencyStatistics> cached;
};

} // namespace lagoondeck
