#include "logic/selection/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

constexpr double sampleWeight = 0.15;
/// With each sample the lowest average rises by this fraction of its distance to the average, so
/// that it follows a lasting change.
constexpr double lowestAverageDriftRate = 0.002;
constexpr std::uint32_t minSamples = 8;
constexpr Duration staleHalfLife = std::chrono::seconds(2);
/// An unanswered sub-request is recorded with its elapsed time multiplied by this.
constexpr int unfinishedFactor = 2;

Duration blend(Duration from, Duration to, double weight)
{
    const auto distance = static_cast<double>((to - from).count());
    return from + Duration(static_cast<Duration::rep>(std::llround(distance * weight)));
}

} // namespace

void LatencyEstimate::add(Duration latency, Instant now)
{
    ++this->samples;
    // The first samples have equal weight, so that none of them dominates the average.
    const double weight = std::max(sampleWeight, 1.0 / static_cast<double>(this->samples));
    this->average = blend(this->average, latency, weight);
    const bool first = this->samples <= minSamples;
    this->lowestAverage = first || this->average < this->lowestAverage
            ? this->average
            : blend(this->lowestAverage, this->average, lowestAverageDriftRate);
    this->observedAt = now;
}

void LatencyEstimate::addUnfinished(Duration elapsed, Instant now)
{
    if (elapsed > this->average) {
        this->add(elapsed * unfinishedFactor, now);
    }
}

void LatencyEstimate::restart(Duration assumed, Instant now)
{
    this->average = assumed;
    this->lowestAverage = assumed;
    this->observedAt = now;
    this->samples = 1;
}

bool LatencyEstimate::hasEnoughSamples() const
{
    return this->samples >= minSamples;
}

Duration LatencyEstimate::expected(Duration reference, Instant now) const
{
    if (this->empty()) {
        return reference;
    }
    if (this->average <= reference) {
        return this->average;
    }
    const std::chrono::duration<double> age = now - this->observedAt;
    const std::chrono::duration<double> halfLife = staleHalfLife;
    return blend(reference, this->average, std::exp2(-age / halfLife));
}

} // namespace lagoondeck
