#include "operator/latency_view.h"

#include "operator/exposition_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <vector>

namespace lagoondeck {

namespace {

constexpr const char *metricName = "lagoondeck_query_latency_seconds_bucket";
constexpr double barWidth = 50.0;
constexpr double millisecondsPerSecond = 1000.0;

/// The number of queries in one bin, not cumulative.
struct Bar
{
    double upperBound = 0.0;
    double count = 0.0;
};

std::string findLabel(const MetricSample &sample, const std::string &name)
{
    const auto found = sample.labels.find(name);
    return found == sample.labels.end() ? "" : found->second;
}

double parseBound(const std::string &text)
{
    const auto sample = parseMetricSample("le " + text);
    return sample ? sample->value : std::numeric_limits<double>::quiet_NaN();
}

/// Returns the bars from the first to the last one that is not empty.
std::vector<Bar> toBars(const std::map<double, double> &bins)
{
    std::vector<Bar> bars;
    double previous = 0.0;
    for (const auto &[upperBound, cumulative] : bins) {
        bars.push_back({upperBound, std::max(cumulative - previous, 0.0)});
        previous = cumulative;
    }
    const auto isEmpty = [](const Bar &bar) { return bar.count <= 0.0; };
    while (!bars.empty() && isEmpty(bars.back())) {
        bars.pop_back();
    }
    bars.erase(bars.begin(), std::find_if_not(bars.begin(), bars.end(), isEmpty));
    return bars;
}

std::string drawBar(const Bar &bar, double highest)
{
    char bound[32] = "        more";
    if (std::isfinite(bar.upperBound)) {
        std::snprintf(bound, sizeof(bound), "%9.2f ms", bar.upperBound * millisecondsPerSecond);
    }
    const double length = std::ceil(bar.count / highest * barWidth);
    char count[32];
    std::snprintf(count, sizeof(count), "%10.0f ", bar.count);
    return std::string("  <= ") + bound + count + std::string(static_cast<std::size_t>(length), '#')
            + "\n";
}

} // namespace

void LatencyView::add(std::string_view page)
{
    readMetricSamples(page, [this](const MetricSample &sample) {
        if (sample.name != metricName || findLabel(sample, "outcome") != "answered") {
            return;
        }
        if (const double bound = parseBound(findLabel(sample, "le")); !std::isnan(bound)) {
            this->classes[findLabel(sample, "class")][bound] += sample.value;
        }
    });
}

std::string LatencyView::toText() const
{
    std::string text;
    for (const auto &[name, bins] : this->classes) {
        const std::vector<Bar> bars = toBars(bins);
        if (bars.empty()) {
            continue;
        }
        const double highest = std::ranges::max(bars, {}, &Bar::count).count;
        text += "\nclass " + name + ", answered queries since the start\n";
        for (const Bar &bar : bars) {
            text += drawBar(bar, highest);
        }
    }
    return text;
}

} // namespace lagoondeck
