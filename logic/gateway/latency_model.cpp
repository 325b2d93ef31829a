#include "logic/gateway/latency_model.h"

#include <algorithm>

namespace lagoondeck {

namespace {

// The initial estimates of the quantiles are the route's objective divided by these.
constexpr int initialMedianDivisor = 5;
constexpr int initialLateDivisor = 3;
constexpr int initialVeryLateDivisor = 2;

constexpr std::size_t percentScale = 100;

} // namespace

LatencyModel::LatencyModel(Duration objective)
    : p50(objective / initialMedianDivisor), p90(objective / initialLateDivisor),
      p97(objective / initialVeryLateDivisor)
{ }

void LatencyModel::add(Duration latency)
{
    this->samples[this->count % maxSamples] = latency;
    ++this->count;
    if (this->count % refreshEvery == 0) {
        this->refresh();
    }
}

void LatencyModel::refresh()
{
    const std::size_t sampleCount = std::min(this->count, maxSamples);
    std::array<Duration, maxSamples> sorted = this->samples;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(sampleCount));
    const auto percentile = [&](std::size_t rank) {
        return sorted[(sampleCount - 1) * rank / percentScale];
    };
    this->p50 = percentile(50);
    this->p90 = percentile(90);
    this->p97 = percentile(97);
}

} // namespace lagoondeck
