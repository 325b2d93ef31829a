#pragma once

#include "core/time.h"

namespace lagoondeck {

class LatencyModel;
struct TargetNode;

/// How one request at a target ended, as input for the target's health.
enum class TargetOutcome {
    Answered,
    Shed,        ///< The target refused the request because of its load.
    Failed,      ///< The target replied with an error or with malformed bytes.
    Lost,        ///< The connection broke.
    Unreachable, ///< No connection could be made.
    Silent,      ///< The target did not reply in time.
    Slow,        ///< Closed by this instance after several times the median latency.
    Neutral,     ///< Closed by this instance earlier; says nothing about the target.
};

/// Returns the remaining weight of the target's learned values, from 1 down to 0.
double learnedWeight(const TargetNode &target, Instant now);
/// Returns the ratio of the target's latency to the usual one, as far as it is still valid.
double currentSlowness(const TargetNode &target, Instant now);
/// Avoids a target that fails while the request that was sent now is tried there.
void beginTrial(TargetNode &target, Instant now);
/// Updates the target's health from a request that has ended. Neutral outcomes change nothing.
void learnOutcome(TargetNode &target, Instant sentAt, TargetOutcome outcome,
                  const LatencyModel &model, Instant now);
/// Forgets what was learned about the target's health.
void forgetHealth(TargetNode &target);

} // namespace lagoondeck
