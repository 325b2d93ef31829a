#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <span>

namespace lagoondeck {

struct TargetState;

/// What a further sub-request would cost at a target: its expected latency, grown by what this
/// instance has in flight there and, a little, by what the target's own report tells.
double costOf(const TargetState &target, Duration reference, Instant now);

/// Two replicas are drawn, with regard to their ramps, and the one of lower cost is taken: the
/// instances don't know of one another, and all of them choosing the best would overrun it.
/// There must be a candidate.
TargetState &chooseReplica(std::span<TargetState *const> candidates, Instant now,
                           RandomEngine &random);

/// Any candidate with the same probability. There must be one.
TargetState &chooseAtRandom(std::span<TargetState *const> candidates, RandomEngine &random);

} // namespace lagoondeck
