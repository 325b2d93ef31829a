#include "bench/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace lagoondeck {

namespace {

constexpr unsigned bins = 1200;
constexpr double minMs = 0.1;
constexpr double maxMs = 100'000.0;
/// The number of bins in one bar; the latency grows by about a quarter from bar to bar.
constexpr int binsPerBar = 20;

} // namespace

LatencyHistogram::LatencyHistogram()
    : counts(boost::histogram::make_histogram(Axis(bins, minMs, maxMs)))
{ }

void LatencyHistogram::add(Duration latency)
{
    this->counts(std::clamp(toFractionalMilliseconds(latency), minMs, maxMs * 0.999));
    ++this->total;
}

LatencyHistogram &LatencyHistogram::operator+=(const LatencyHistogram &other)
{
    this->counts += other.counts;
    this->total += other.total;
    return *this;
}

double LatencyHistogram::quantileMs(double fraction) const
{
    const double targetCount =
            std::max(1.0, std::ceil(fraction * static_cast<double>(this->total)));
    double cumulative = 0.0;
    for (int i = 0; i < static_cast<int>(bins); ++i) {
        cumulative += this->counts.at(i);
        if (cumulative >= targetCount) {
            return this->counts.axis().bin(i).center();
        }
    }
    return 0.0;
}

std::vector<LatencyBar> LatencyHistogram::bars() const
{
    std::vector<LatencyBar> bars;
    for (int first = 0; first < static_cast<int>(bins); first += binsPerBar) {
        LatencyBar bar {this->counts.axis().bin(first).lower(), 0};
        for (int i = first; i < first + binsPerBar; ++i) {
            bar.count += static_cast<std::uint64_t>(this->counts.at(i));
        }
        if (bar.count > 0) {
            bars.push_back(bar);
        }
    }
    return bars;
}

std::string LatencyHistogram::writeDistribution() const
{
    std::ostringstream text;
    double cumulative = 0.0;
    for (int i = 0; i < static_cast<int>(bins) && cumulative < static_cast<double>(this->total);
         ++i) {
        cumulative += this->counts.at(i);
        text << this->counts.axis().bin(i).upper() << '\t'
             << cumulative / static_cast<double>(this->total) << '\n';
    }
    return text.str();
}

} // namespace lagoondeck
