#include "logic/gateway/coordinator_capacity.h"

#include <algorithm>
#include <limits>

namespace lagoondeck {

namespace {

/// A whole processor needs about 60 microseconds per part. At a third of that load a request rarely
/// waits for another one.
constexpr double partsPerProcessorSecond = 6000.0;
/// The replies of all parts of a request arrive at almost the same time. Larger parts than this are
/// rare.
constexpr double bitsPerPart = 12000.0;
constexpr double usableLinkFraction = 0.33;
constexpr double bitsPerMegabit = 1e6;
constexpr std::uint32_t defaultCapacity = 500;

} // namespace

std::uint32_t coordinatorCapacity(const GatewaySettings &settings)
{
    double capacity = settings.processorShare * settings.processorSpeed * partsPerProcessorSecond;
    if (settings.linkMbps > 0.0) {
        capacity = std::min(capacity,
                            settings.linkMbps * bitsPerMegabit * usableLinkFraction / bitsPerPart);
    }
    constexpr double maxCapacity = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(capacity, maxCapacity));
}

std::uint32_t delegationCapacity(const GatewaySettings &settings)
{
    const std::uint32_t capacity = coordinatorCapacity(settings);
    return capacity > 0 ? capacity : defaultCapacity;
}

} // namespace lagoondeck
