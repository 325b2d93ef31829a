#pragma once

#include <map>
#include <string>
#include <string_view>

namespace lagoondeck {

/// The latencies of answered queries by class, added up over the pages of several instances.
class LatencyView
{
public:
    /// Adds what one instance's metrics page tells.
    void add(std::string_view page);

    /// One histogram for each class, drawn with a bar for each bin.
    std::string toText() const;

private:
    /// Cumulative counts by the upper bound in seconds.
    using Bins = std::map<double, double>;

    std::map<std::string, Bins> classes;
};

} // namespace lagoondeck
