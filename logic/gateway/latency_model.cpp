#include "logic/gateway/latency_model.h"

#include <algorithm>

namespace lagoondeck {

namespace {

// What an unknown route is taken for, as parts of its objective.
constexpr int medianPart = 5;
constexpr int latePart = 3;
constexpr int veryLatePart = 2;

constexpr std::size_t percent = 100;

} // namespace

LatencyModel::LatencyModel(Duration objective)
    : p50(objective / medianPart), p90(objective / latePart), p97(objective / veryLatePart)
{ }

void LatencyModel::add(Duration latency)
{
    this->samples[this->count % kept] = latency;
    ++this->count;
    if (this->count % refreshEvery == 0) {
        this->refresh();
    }
}

void LatencyModel::refresh()
{
    const std::size_t known = std::min(this->count, kept);
    std::array<Duration, kept> sorted = this->samples;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(known));
    const auto quantile = [&](std::size_t part) { return sorted[(known - 1) * part / percent]; };
    this->p50 = quantile(50);
    this->p90 = quantile(90);
    this->p97 = quantile(97);
}

} // namespace lagoondeck
