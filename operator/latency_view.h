#pragma once

#include <map>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Latency histograms of answered queries by class, summed over the metrics pages of several
/// instances.
class LatencyView
{
public:
    /// Adds the histograms of one instance's metrics page.
    void add(std::string_view page);

    /// Draws one histogram for each class, with a bar for each bin.
    std::string toText() const;

private:
    /// Cumulative counts by the upper bound in seconds.
    using Bins = std::map<double, double>;

    std::map<std::string, Bins> classes;
};

} // namespace lagoondeck
