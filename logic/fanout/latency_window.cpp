#include "logic/fanout/latency_window.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr unsigned histogramBins = 120;
constexpr Duration histogramLow = std::chrono::microseconds(50);
constexpr Duration histogramHigh = std::chrono::seconds(20);
/// Fewer sub-requests than this tell nothing.
constexpr std::uint32_t fewestSamples = 50;
constexpr std::uint32_t samplesPerRefresh = 32;
constexpr std::uint32_t mostSamplesPerTurn = 8192;
constexpr std::uint32_t fewestSamplesPerTurn = 200;
constexpr Duration turnTime = std::chrono::seconds(4);
constexpr double shortestPart = 0.02;
constexpr double typicalPart = 0.5;
constexpr double usualPart = 0.95;
/// Late is told from the bulk of the sub-requests: a high quantile would be that of the slow
/// targets themselves as soon as a tenth of the targets is slow.
constexpr double bulkPart = 0.75;
constexpr int lateOverBulk = 3;
constexpr int hopSmoothing = 16;

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
    const Duration way = std::max(Duration::zero(), latency - serviceTime);
    this->hop = this->hopKnown ? this->hop + (way - this->hop) / hopSmoothing : way;
    this->hopKnown = true;
    this->note(latency, now);
}

void LatencyWindow::addGivenUp(Duration age, Instant now)
{
    this->note(age, now);
}

void LatencyWindow::note(Duration latency, Instant now)
{
    this->turnIfFull(now);
    this->current(static_cast<double>(latency.count()));
    ++this->currentCount;
    ++this->sinceRefresh;
    const bool enough = this->currentCount + this->previousCount >= fewestSamples;
    if (enough && (!this->cached || this->sinceRefresh >= samplesPerRefresh)) {
        this->refresh();
    }
}

void LatencyWindow::turnIfFull(Instant now)
{
    if (this->currentCount == 0) {
        this->currentSince = now;
    }
    const bool old = now - this->currentSince >= turnTime;
    if (this->currentCount < mostSamplesPerTurn
        && !(old && this->currentCount >= fewestSamplesPerTurn)) {
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
    this->sinceRefresh = 0;
    this->cached = LatencyFigures {this->quantile(shortestPart), this->quantile(typicalPart),
                                   this->quantile(usualPart),
                                   this->quantile(bulkPart) * lateOverBulk, this->hop};
}

Duration LatencyWindow::quantile(double part) const
{
    const double wanted = part * (this->currentCount + this->previousCount);
    double seen = 0.0;
    const auto &axis = this->current.axis();
    for (int bin = -1; bin < axis.size(); ++bin) {
        seen += this->current.at(bin) + this->previous.at(bin);
        if (seen >= wanted) {
            return Duration(static_cast<Duration::rep>(axis.value(bin + 1)));
        }
    }
    return histogramHigh;
}

} // namespace lagoondeck
