#pragma once

#include "core/time.h"
#include "logic/fanout/latency_figures.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace lagoondeck {

/// The latencies of recent sub-requests to one service. Two histograms take turns, so that the
/// figures forget what is long past.
class LatencyWindow
{
public:
    LatencyWindow();

    /// Notes a sub-request that took this long, and how long its target says it took of it.
    void add(Duration latency, Duration serviceTime, Instant now);
    /// Notes a sub-request that was given up after this long; its whole latency is not known.
    void addGivenUp(Duration age, Instant now);
    /// Empty until enough sub-requests are known.
    const std::optional<LatencyFigures> &figures() const { return this->cached; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>,
                                                  boost::histogram::dense_storage<std::uint32_t>>;

    static Histogram emptyHistogram();
    void note(Duration latency, Instant now);
    void turnIfFull(Instant now);
    void refresh();
    /// The latency that this part of the sub-requests, 0 to 1, did not exceed.
    Duration quantile(double part) const;

    Histogram current;
    Histogram previous;
    std::uint32_t currentCount = 0;
    std::uint32_t previousCount = 0;
    std::uint32_t sinceRefresh = 0;
    Instant currentSince {};
    Duration hop {};
    bool hopKnown = false;
    std::optional<LatencyFigures> cached;
};

} // namespace lagoondeck
