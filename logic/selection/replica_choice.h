#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <span>

namespace lagoondeck {

struct TargetState;

/// Returns the cost of sending one more sub-request to a target: its expected latency, scaled by
/// the sub-requests that this instance has in flight there and, to a small degree, by the load that
/// the target reports.
double costOf(const TargetState &target, Duration reference, Instant now);

/// Chooses by power of two choices: draws two replicas at random, weighted by their load ramps, and
/// returns the one of lower cost. The instances don't know each other's choices, and if all of them
/// chose the best replica, they would overload it. There must be at least one candidate.
TargetState &chooseReplica(std::span<TargetState *const> candidates, Instant now,
                           RandomEngine &random);

/// Returns any candidate with equal probability. There must be at least one.
TargetState &chooseAtRandom(std::span<TargetState *const> candidates, RandomEngine &random);

} // namespace lagoondeck
