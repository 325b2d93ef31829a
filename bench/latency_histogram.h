#pragma once

#include "core/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// How many latencies lie from one latency up to the next bar's.
struct LatencyBar
{
    double fromMs = 0.0;
    std::uint64_t count = 0;
};

/// Counts of latencies on a logarithmic axis from 0.1 ms to 100 s; histograms can be added.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void add(Duration latency);
    LatencyHistogram &operator+=(const LatencyHistogram &other);
    std::uint64_t count() const { return this->total; }
    /// The latency that the given part of the counts does not pass, in milliseconds; 0 when empty.
    double quantileMs(double part) const;
    /// Counts of wide steps of the axis, each with its lower end in milliseconds; empty ones left
    /// out.
    std::vector<LatencyBar> bars() const;
    /// One line for each step of the axis up to the last count: milliseconds and the part of the
    /// counts up to there, parted by a tab.
    std::string writeDistribution() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = decltype(boost::histogram::make_histogram(Axis()));

    Counts counts;
    std::uint64_t total = 0;
};

} // namespace lagoondeck
