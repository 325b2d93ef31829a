#include "logic/limits/connection_share.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Connections beyond the target's slots let the next sub-request and cancellations travel while
/// every slot is busy; more of them would only queue at the target.
constexpr std::uint32_t connectionsPerSlot = 2;
/// One instance in so many may be unseen.
constexpr std::uint32_t instancesPerUnseen = 4;

} // namespace

std::uint32_t connectionShare(std::uint32_t connectionCap, std::uint32_t slots,
                              std::uint32_t instances)
{
    const std::uint32_t seen = std::max(instances, 1U);
    const std::uint32_t unseen = seen / instancesPerUnseen;
    const std::uint32_t fair = connectionCap / (seen + unseen);
    return std::clamp(fair, 1U, std::max(slots * connectionsPerSlot, 1U));
}

} // namespace lagoondeck
