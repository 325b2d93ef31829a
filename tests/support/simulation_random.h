#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace lagoondeck {

/// The random choices of a simulation; the same seed gives the same choices.
class SimulationRandom
{
public:
    explicit SimulationRandom(std::uint64_t seed) : engine(seed) { }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->engine);
    }

    std::uint64_t number(std::uint64_t lowest, std::uint64_t highest)
    {
        return std::uniform_int_distribution<std::uint64_t>(lowest, highest)(this->engine);
    }

    Duration duration(Duration lowest, Duration highest)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(
                lowest.count(), highest.count())(this->engine));
    }

    /// Returns an exponentially distributed duration with the given mean, as between arrivals.
    Duration exponential(Duration mean)
    {
        std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
        return Duration(static_cast<Duration::rep>(distribution(this->engine)));
    }

    /// Returns a log-normally distributed duration with the given median, as service times have.
    Duration logNormal(Duration median, double sigma)
    {
        std::lognormal_distribution<double> distribution(0.0, sigma);
        return Duration(static_cast<Duration::rep>(static_cast<double>(median.count())
                                                   * distribution(this->engine)));
    }

    template <typename Item>
    Item &oneOf(std::vector<Item> &items)
    {
        return items[this->number(0, items.size() - 1)];
    }

private:
    std::mt19937_64 engine;
};

} // namespace lagoondeck
