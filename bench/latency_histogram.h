#pragma once

#include "core/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// The number of latencies from a lower bound up to the lower bound of the next bar.
struct LatencyBar
{
    double fromMs = 0.0;
    std::uint64_t count = 0;
};

/// Counts latencies on a logarithmic axis from 0.1 ms to 100 s; histograms can be summed.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void add(Duration latency);
    LatencyHistogram &operator+=(const LatencyHistogram &other);
    std::uint64_t count() const { return this->total; }
    /// Returns the given quantile in milliseconds; 0 when the histogram is empty.
    double quantileMs(double fraction) const;
    /// Returns the non-empty bars, each of which combines several bins of the axis.
    std::vector<LatencyBar> bars() const;
    /// Writes the cumulative distribution with one line for each bin up to the last count: the
    /// bin's upper bound in milliseconds and the fraction of counts up to it, separated by a tab.
    std::string writeDistribution() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = decltype(boost::histogram::make_histogram(Axis()));

    Counts counts;
    std::uint64_t total = 0;
};

} // namespace lagoondeck
