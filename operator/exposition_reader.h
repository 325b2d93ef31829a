#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// One sample of the exposition format.
struct MetricSample
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0.0;
};

/// Reads one line; empty for a comment and for a line that can't be read.
std::optional<MetricSample> parseMetricSample(std::string_view line);

/// Gives each sample of a page to a function.
void readMetricSamples(std::string_view page,
                       const std::function<void(const MetricSample &)> &take);

} // namespace lagoondeck
