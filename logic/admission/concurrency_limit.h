#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <cstdint>

namespace lagoondeck {

/// Adaptive limit on the queries of one service that this instance may have in flight. It is
/// adapted so that answers take about half of their deadline. While they take longer, the limit
/// follows Little's law: at a fixed throughput, latency is proportional to the number of queries in
/// flight.
class ConcurrencyLimit
{
public:
    /// Called when a query is answered. deadlineFraction is its latency divided by its deadline,
    /// inFlight the number of queries in flight, including this one.
    void onAnswered(double deadlineFraction, std::uint32_t inFlight);
    /// Called when a query misses its deadline or is abandoned because the targets are overloaded.
    void onMissed(std::uint32_t inFlight);

    /// Returns true when one more query fits under the given fraction of the limit. When less than
    /// one whole query is free, the free part is the probability of admitting it.
    bool allows(std::uint32_t inFlight, double limitFraction, RandomEngine &random) const;
    double value() const { return this->limit; }

private:
    void adapt(double deadlineFraction, std::uint32_t inFlight);

    double limit = 16.0;
    /// Moving average of latency divided by deadline.
    double averageDeadlineFraction = 0.0;
};

} // namespace lagoondeck
