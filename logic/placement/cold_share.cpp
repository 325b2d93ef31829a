#include "logic/placement/cold_share.h"

#include <algorithm>

namespace lagoondeck {

namespace {

// In any second all holders together send at most what their buckets keep, what is added in that
// second, and what was lent in the 100 ms before it: 0.1 L + 2 + 0.8 L x 1.1 = 0.98 L + 2. If the
// members are divided into two halves of which one takes over all shares of the other, while that
// one goes on, this is 1.47 L + 3. A cold target bears 1.5 L + 5.

/// The part of the limit that is divided among the holders.
constexpr double dividedFraction = 0.8;
/// What all buckets together keep: the requests of so many seconds, and a few.
constexpr double burstSeconds = 0.1;
constexpr double extraBurst = 2.0;
/// With fewer members than this, each takes the share of one of so many: otherwise the last one of
/// two that lose sight of each other would take all, and the other one half.
constexpr std::size_t minDivisor = 3;

double burstOf(double limit)
{
    return limit * burstSeconds + extraBurst;
}

} // namespace

std::size_t coldHolderCount(double limit)
{
    return static_cast<std::size_t>(burstOf(limit));
}

ColdShare coldShare(double limit, double stated, std::size_t holders, std::size_t candidates)
{
    const auto divisor = static_cast<double>(
            candidates < minDivisor ? minDivisor : std::max<std::size_t>(holders, 1));
    return {std::min(limit, stated) * dividedFraction / divisor,
            std::max(burstOf(limit) / divisor, 1.0)};
}

} // namespace lagoondeck
