#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoondeck {

class DurationHistogram;

/// The kinds of metrics in the exposition format.
enum class MetricKind {
    Counter,
    Gauge,
    Histogram,
};

/// The names and values of a sample's labels.
using MetricLabels = std::vector<std::pair<std::string_view, std::string_view>>;

/// Writes metrics in the Prometheus text exposition format, version 0.0.4.
class ExpositionWriter
{
public:
    /// Begins a metric. The samples written next belong to it.
    void begin(std::string_view name, MetricKind kind, std::string_view help);
    void sample(const MetricLabels &labels, double value);
    void sample(const MetricLabels &labels, std::uint64_t value);
    void sample(const MetricLabels &labels, const DurationHistogram &histogram);

    const std::string &text() const { return this->output; }

private:
    void writeLine(std::string_view suffix, const MetricLabels &labels, std::string_view value);

    std::string metricName;
    std::string output;
};

} // namespace lagoondeck
