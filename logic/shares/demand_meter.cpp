#include "logic/shares/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

constexpr double smoothingSeconds = 1.0;
/// Rates below this count as zero, so that an idle entry has no demand.
constexpr double minRate = 0.05;

} // namespace

void DemandMeter::onArrived(const EntryName &entry, bool refusedForConcurrency)
{
    Counter &counter = this->counters[entry];
    counter.arrivals += 1;
    counter.refused += refusedForConcurrency ? 1 : 0;
}

Demand DemandMeter::takeDemand(Counter &counter, double seconds, std::uint32_t inFlight) const
{
    const double weight = 1.0 - std::exp(-std::max(seconds, 0.0) / smoothingSeconds);
    const double current = seconds > 0.0 ? counter.arrivals / seconds : 0.0;
    counter.rate += weight * (current - counter.rate);
    if (counter.rate < minRate) {
        counter.rate = 0.0;
    }
    // Without the limit, refused queries would be in flight in proportion to the admitted ones.
    const double admitted = std::max(1.0, static_cast<double>(counter.arrivals - counter.refused));
    const double demandedInFlight = inFlight * (1.0 + counter.refused / admitted);
    counter.arrivals = 0;
    counter.refused = 0;
    return {counter.rate, demandedInFlight};
}

} // namespace lagoondeck
