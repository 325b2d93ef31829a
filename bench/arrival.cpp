#include "bench/arrival.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

double findMaxRate(const LoadStream &stream)
{
    const auto maxRate = std::ranges::max_element(stream.rate, {}, &RatePoint::perSecond);
    return maxRate == stream.rate.end() ? 0.0 : maxRate->perSecond;
}

/// Draws a stream's arrivals by thinning: arrivals are drawn at the maximum rate, and each is kept
/// with a probability of the current rate divided by the maximum rate.
void drawStream(const LoadPlan &plan, std::size_t streamIndex, const std::string &runId,
                std::vector<Arrival> &arrivals)
{
    const LoadStream &stream = plan.streams[streamIndex];
    const double maxRate = findMaxRate(stream);
    if (maxRate <= 0.0) {
        return;
    }
    std::mt19937_64 random(plan.seed * 1000 + streamIndex);
    std::exponential_distribution<double> gap(maxRate);
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    std::uniform_int_distribution<std::uint32_t> shard(0, stream.shards - 1);
    double seconds = 0.0;
    for (std::uint64_t sequence = 0;; ++sequence) {
        seconds += gap(random);
        const auto at =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        if (at >= plan.duration) {
            return;
        }
        if (chance(random) * maxRate >= rateAt(stream, at)) {
            continue;
        }
        // The product of two draws makes the first callers send more queries than the last.
        const double position = chance(random) * chance(random);
        const auto caller =
                static_cast<std::size_t>(position * static_cast<double>(stream.callers.size()));
        const std::string id =
                runId + "-" + std::to_string(streamIndex) + "-" + std::to_string(sequence);
        arrivals.push_back({at, streamIndex, stream.callers[caller], id, shard(random)});
        if (chance(random) < stream.sentTwice) {
            arrivals.push_back(arrivals.back());
        }
    }
}

} // namespace

double rateAt(const LoadStream &stream, Duration at)
{
    const auto after = std::ranges::upper_bound(stream.rate, at, {}, &RatePoint::at);
    if (after == stream.rate.begin()) {
        return stream.rate.empty() ? 0.0 : after->perSecond;
    }
    const RatePoint &before = *std::prev(after);
    if (after == stream.rate.end() || after->at == before.at) {
        return before.perSecond;
    }
    const double fraction = static_cast<double>((at - before.at).count())
            / static_cast<double>((after->at - before.at).count());
    return before.perSecond + fraction * (after->perSecond - before.perSecond);
}

std::vector<Arrival> drawArrivals(const LoadPlan &plan, const std::string &runId)
{
    std::vector<Arrival> arrivals;
    for (std::size_t streamIndex = 0; streamIndex < plan.streams.size(); ++streamIndex) {
        drawStream(plan, streamIndex, runId, arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

} // namespace lagoondeck
