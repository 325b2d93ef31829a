#include "logic/limits/connection_share.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Connections beyond the target's slots carry the next sub-request and cancellations while all
/// slots are busy; more connections than this would only lengthen the target's queue.
constexpr std::uint32_t connectionsPerSlot = 2;
/// One instance that this one does not know of is assumed per this many known ones.
constexpr std::uint32_t instancesPerUnseen = 4;

} // namespace

std::uint32_t connectionShare(std::uint32_t connectionCap, std::uint32_t slots,
                              std::uint32_t instances)
{
    const std::uint32_t knownInstances = std::max(instances, 1U);
    const std::uint32_t unseenInstances = knownInstances / instancesPerUnseen;
    const std::uint32_t fairShare = connectionCap / (knownInstances + unseenInstances);
    return std::clamp(fairShare, 1U, std::max(slots * connectionsPerSlot, 1U));
}

} // namespace lagoondeck
