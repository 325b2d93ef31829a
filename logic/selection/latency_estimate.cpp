#include "logic/selection/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

constexpr double sampleWeight = 0.15;
/// The floor rises by this part of its distance to the average with each sample, so that it
/// follows a lasting change.
constexpr double floorDrift = 0.002;
constexpr std::uint32_t fewestSamples = 8;
constexpr Duration staleHalfLife = std::chrono::seconds(2);
/// The answer of a sub-request that was given up is taken to be this many times as far away.
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
    // The first samples count alike, so that one of them does not stand for the target.
    const double weight = std::max(sampleWeight, 1.0 / static_cast<double>(this->samples));
    this->average = blend(this->average, latency, weight);
    const bool first = this->samples <= fewestSamples;
    this->lowest = first || this->average < this->lowest
            ? this->average
            : blend(this->lowest, this->average, floorDrift);
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
    this->lowest = assumed;
    this->observedAt = now;
    this->samples = 1;
}

bool LatencyEstimate::trusted() const
{
    return this->samples >= fewestSamples;
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
