#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace lagoondeck {

/// The random choices of a fake world; one seed makes one run.
class WorldRandom
{
public:
    explicit WorldRandom(std::uint64_t seed) : engine(seed) { }

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

    /// Exponential around a mean, as between arrivals.
    Duration exponential(Duration mean)
    {
        std::exponential_distribution<double> spread(1.0 / static_cast<double>(mean.count()));
        return Duration(static_cast<Duration::rep>(spread(this->engine)));
    }

    /// Log-normal around a median, as service times are.
    Duration logNormal(Duration median, double sigma)
    {
        std::lognormal_distribution<double> spread(0.0, sigma);
        return Duration(static_cast<Duration::rep>(static_cast<double>(median.count())
                                                   * spread(this->engine)));
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
