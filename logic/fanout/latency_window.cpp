#include "logic/fanout/latency_window.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr unsigned histogramBins = 120;
constexpr Duration histogramLow = std::chrono::microseconds(50);
constexpr Duration histogramHigh = std::chrono::seconds(20);
/// No statistics are given for fewer samples than this.
constexpr std::uint32_t minSamples = 50;
constexpr std::uint32_t samplesPerRefresh = 32;
constexpr std::uint32_t maxSamplesPerHistogram = 8192;
constexpr std::uint32_t minSamplesPerHistogram = 200;
constexpr Duration rotationInterval = std::chrono::seconds(4);
constexpr double lowQuantileLevel = 0.02;
constexpr double medianLevel = 0.5;
constexpr double highQuantileLevel = 0.95;
/// The late threshold is a multiple of this quantile. A higher quantile would be the latency of the
/// slow targets themselves as soon as a tenth of the targets is slow.
constexpr double bulkQuantileLevel = 0.75;
constexpr int lateMultiple = 3;
constexpr int networkTimeSmoothing = 16;

} // namespace

LatencyWindow::LatencyWindow() : current(emptyHistogram()), previous(emptyHistogram()) { }

LatencyWindow::Histogram LatencyWindow::emptyHistogram()
{
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint32_t> {},
                                                 Axis(histogramBins,
                                                      static_cast<double>(histogramLow.count()),
                                                      static_cast<double>(histogramHigh.count())));
}

void LatencyWindow::add(Duration latency, Duration serviceTime, Instant now)
{
    const Duration networkSample = std::max(Duration::zero(), latency - serviceTime);
    this->networkTime = this->networkTimeKnown
            ? this->networkTime + (networkSample - this->networkTime) / networkTimeSmoothing
            : networkSample;
    this->networkTimeKnown = true;
    this->record(latency, now);
}

void LatencyWindow::addCancelled(Duration age, Instant now)
{
    this->record(age, now);
}

void LatencyWindow::record(Duration latency, Instant now)
{
    this->rotateIfFull(now);
    this->current(static_cast<double>(latency.count()));
    ++this->currentCount;
    ++this->samplesSinceRefresh;
    const bool hasEnoughSamples = this->currentCount + this->previousCount >= minSamples;
    if (hasEnoughSamples && (!this->cached || this->samplesSinceRefresh >= samplesPerRefresh)) {
        this->refresh();
    }
}

void LatencyWindow::rotateIfFull(Instant now)
{
    if (this->currentCount == 0) {
        this->currentSince = now;
    }
    const bool old = now - this->currentSince >= rotationInterval;
    if (this->currentCount < maxSamplesPerHistogram
        && !(old && this->currentCount >= minSamplesPerHistogram)) {
        return;
    }
    std::swap(this->previous, this->current);
    this->previousCount = this->currentCount;
    this->current.reset();
    this->currentCount = 0;
    this->currentSince = now;
}

void LatencyWindow::refresh()
{
    this->samplesSinceRefresh = 0;
    this->cached =
            LatencyStatistics {this->quantile(lowQuantileLevel), this->quantile(medianLevel),
                               this->quantile(highQuantileLevel),
                               this->quantile(bulkQuantileLevel) * lateMultiple, this->networkTime};
}

Duration LatencyWindow::quantile(double level) const
{
    const double requiredCount = level * (this->currentCount + this->previousCount);
    double cumulativeCount = 0.0;
    const auto &axis = this->current.axis();
    for (int bin = -1; bin < axis.size(); ++bin) {
        cumulativeCount += this->current.at(bin) + this->previous.at(bin);
        if (cumulativeCount >= requiredCount) {
            return Duration(static_cast<Duration::rep>(axis.value(bin + 1)));
        }
    }
    return histogramHigh;
}

} // namespace lagoondeck
