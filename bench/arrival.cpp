#include "bench/arrival.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

double highestRateOf(const LoadStream &stream)
{
    const auto highest = std::ranges::max_element(stream.rate, {}, &RatePoint::perSecond);
    return highest == stream.rate.end() ? 0.0 : highest->perSecond;
}

/// Draws a stream's arrivals by thinning: at the highest rate, each kept with the part that the
/// rate of its moment has of the highest.
void drawStream(const LoadPlan &plan, std::size_t number, const std::string &runName,
                std::vector<Arrival> &arrivals)
{
    const LoadStream &stream = plan.streams[number];
    const double highest = highestRateOf(stream);
    if (highest <= 0.0) {
        return;
    }
    std::mt19937_64 random(plan.seed * 1000 + number);
    std::exponential_distribution<double> gap(highest);
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
        if (chance(random) * highest >= rateAt(stream, at)) {
            continue;
        }
        // The square makes the first callers busier than the last.
        const double place = chance(random) * chance(random);
        const auto caller =
                static_cast<std::size_t>(place * static_cast<double>(stream.callers.size()));
        const std::string id =
                runName + "-" + std::to_string(number) + "-" + std::to_string(sequence);
        arrivals.push_back({at, number, stream.callers[caller], id, shard(random)});
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
    const double part = static_cast<double>((at - before.at).count())
            / static_cast<double>((after->at - before.at).count());
    return before.perSecond + part * (after->perSecond - before.perSecond);
}

std::vector<Arrival> drawArrivals(const LoadPlan &plan, const std::string &runName)
{
    std::vector<Arrival> arrivals;
    for (std::size_t number = 0; number < plan.streams.size(); ++number) {
        drawStream(plan, number, runName, arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

} // namespace lagoondeck
