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

/// The queries of one bin alone.
struct Bar
{
    double upTo = 0.0;
    double count = 0.0;
};

std::string labelOf(const MetricSample &sample, const std::string &name)
{
    const auto found = sample.labels.find(name);
    return found == sample.labels.end() ? "" : found->second;
}

double boundOf(const std::string &text)
{
    const auto sample = parseMetricSample("le " + text);
    return sample ? sample->value : std::numeric_limits<double>::quiet_NaN();
}

/// The bars from the first to the last that is not empty.
std::vector<Bar> barsOf(const std::map<double, double> &bins)
{
    std::vector<Bar> bars;
    double before = 0.0;
    for (const auto &[upTo, cumulative] : bins) {
        bars.push_back({upTo, std::max(cumulative - before, 0.0)});
        before = cumulative;
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
    if (std::isfinite(bar.upTo)) {
        std::snprintf(bound, sizeof(bound), "%9.2f ms", bar.upTo * millisecondsPerSecond);
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
        if (sample.name != metricName || labelOf(sample, "outcome") != "answered") {
            return;
        }
        if (const double bound = boundOf(labelOf(sample, "le")); !std::isnan(bound)) {
            this->classes[labelOf(sample, "class")][bound] += sample.value;
        }
    });
}

std::string LatencyView::toText() const
{
    std::string text;
    for (const auto &[name, bins] : this->classes) {
        const std::vector<Bar> bars = barsOf(bins);
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
