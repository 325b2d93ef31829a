#pragma once

#include "core/time.h"
#include "logic/context.h"

namespace lagoondeck {

class LatencyModel;
struct TargetNode;

/// Where a target is, seen from the instance that chooses one.
enum class TargetDistance {
    SameDomain,
    OtherDomain,
    OtherDomainOfCoordinator, ///< In another domain than this instance, which is a coordinator.
};

/// Returns the expected cost of sending a request to the target, in milliseconds of latency.
double targetCost(const TargetNode &target, TargetDistance distance, const LatencyModel &model,
                  Instant now, RandomEngine &random);

} // namespace lagoondeck
