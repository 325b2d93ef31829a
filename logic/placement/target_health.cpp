#include "logic/placement/target_health.h"

#include "logic/gateway/latency_model.h"
#include "logic/gateway/target_node.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lagoondeck {

namespace {

/// The weight of the newest request in the moving averages.
constexpr double learningRate = 0.25;
/// The upper limit of one request's contribution to the slowness, so that the effect of a short
/// pause fades after a few requests.
constexpr double maxSlownessSample = 5.0;
/// Learned values lose half their weight in this time, so that a bad target is tried again.
constexpr std::chrono::duration<double> learningHalfLife = std::chrono::seconds(3);
/// How long a target is avoided after its first failure. The time doubles with each further failure
/// in a row.
constexpr Duration initialAvoidance = std::chrono::milliseconds(50);
constexpr Duration maxAvoidance = std::chrono::seconds(2);
constexpr std::uint32_t maxDoublings = 6;
/// How long a target is avoided after it refused a request because of its load.
constexpr Duration shedAvoidance = std::chrono::milliseconds(15);

} // namespace

double learnedWeight(const TargetNode &target, Instant now)
{
    const std::chrono::duration<double> age = now - target.learnedAt;
    return std::exp2(-age / learningHalfLife);
}

double currentSlowness(const TargetNode &target, Instant now)
{
    return 1.0 + (target.slowness - 1.0) * learnedWeight(target, now);
}

void beginTrial(TargetNode &target, Instant now)
{
    if (target.isFailing()) {
        // Allows only one trial request at a time until the target answers one.
        const auto doublings = std::min(target.consecutiveFailures - 1, maxDoublings);
        target.avoidUntil = now + std::min(initialAvoidance * (1U << doublings), maxAvoidance);
    }
}

void learnOutcome(TargetNode &target, Instant sentAt, TargetOutcome outcome,
                  const LatencyModel &model, Instant now)
{
    if (outcome == TargetOutcome::Neutral) {
        return;
    }
    const double weight = learnedWeight(target, now);
    target.slowness = 1.0 + (target.slowness - 1.0) * weight;
    target.failureRate *= weight;
    target.learnedAt = now;
    const bool failed = outcome != TargetOutcome::Answered && outcome != TargetOutcome::Slow
            && outcome != TargetOutcome::Shed;
    target.failureRate += learningRate
            * ((failed || outcome == TargetOutcome::Shed ? 1.0 : 0.0) - target.failureRate);
    if (outcome == TargetOutcome::Answered || outcome == TargetOutcome::Slow) {
        const double median = std::max(toFractionalMilliseconds(model.median()), 0.1);
        const double ratio =
                std::min(toFractionalMilliseconds(now - sentAt) / median, maxSlownessSample);
        target.slowness += learningRate * (ratio - target.slowness);
    }
    if (outcome == TargetOutcome::Slow) {
        // It is unknown whether the target would have answered.
    } else if (outcome == TargetOutcome::Answered) {
        target.consecutiveFailures = 0;
        target.avoidUntil = now;
    } else if (outcome == TargetOutcome::Shed) {
        target.avoidUntil = std::max(target.avoidUntil, now + shedAvoidance);
    } else {
        const auto doublings = std::min(target.consecutiveFailures, maxDoublings);
        ++target.consecutiveFailures;
        target.avoidUntil = now + std::min(initialAvoidance * (1U << doublings), maxAvoidance);
    }
}

void forgetHealth(TargetNode &target)
{
    target.slowness = 1.0;
    target.failureRate = 0.0;
    target.consecutiveFailures = 0;
    target.avoidUntil = {};
}

} // namespace lagoondeck
