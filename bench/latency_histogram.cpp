#include "bench/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace lagoondeck {

namespace {

constexpr unsigned bins = 1200;
constexpr double lowestMs = 0.1;
constexpr double highestMs = 100'000.0;
/// Bins of one bar: about a quarter more latency from bar to bar.
constexpr int binsOfBar = 20;

} // namespace

LatencyHistogram::LatencyHistogram()
    : counts(boost::histogram::make_histogram(Axis(bins, lowestMs, highestMs)))
{ }

void LatencyHistogram::add(Duration latency)
{
    this->counts(std::clamp(toFractionalMilliseconds(latency), lowestMs, highestMs * 0.999));
    ++this->total;
}

LatencyHistogram &LatencyHistogram::operator+=(const LatencyHistogram &other)
{
    this->counts += other.counts;
    this->total += other.total;
    return *this;
}

double LatencyHistogram::quantileMs(double part) const
{
    const double wanted = std::max(1.0, std::ceil(part * static_cast<double>(this->total)));
    double seen = 0.0;
    for (int i = 0; i < static_cast<int>(bins); ++i) {
        seen += this->counts.at(i);
        if (seen >= wanted) {
            return this->counts.axis().bin(i).center();
        }
    }
    return 0.0;
}

std::vector<LatencyBar> LatencyHistogram::bars() const
{
    std::vector<LatencyBar> bars;
    for (int first = 0; first < static_cast<int>(bins); first += binsOfBar) {
        LatencyBar bar {this->counts.axis().bin(first).lower(), 0};
        for (int i = first; i < first + binsOfBar; ++i) {
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
    double seen = 0.0;
    for (int i = 0; i < static_cast<int>(bins) && seen < static_cast<double>(this->total); ++i) {
        seen += this->counts.at(i);
        text << this->counts.axis().bin(i).upper() << '\t'
             << seen / static_cast<double>(this->total) << '\n';
    }
    return text.str();
}

} // namespace lagoondeck
