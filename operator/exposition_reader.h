#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// One sample of the Prometheus text exposition format.
struct MetricSample
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0.0;
};

/// Parses one line; returns nothing for a comment or a malformed line.
std::optional<MetricSample> parseMetricSample(std::string_view line);

/// Calls a function for each sample of a metrics page.
void readMetricSamples(std::string_view page,
                       const std::function<void(const MetricSample &)> &onSample);

} // namespace lagoondeck
