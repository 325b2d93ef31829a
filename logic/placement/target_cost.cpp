#include "logic/placement/target_cost.h"

#include "logic/gateway/latency_model.h"
#include "logic/gateway/target_node.h"
#include "logic/placement/target_health.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// A target counts as stalled if a request has been running for this many times the late threshold.
constexpr double stallFactor = 1.3;
constexpr Duration minStallTime = std::chrono::milliseconds(12);
/// The cost of a stalled target, in addition to the time that its oldest request has been running.
constexpr double stallCostMs = 60.0;
/// The cost of a request that is certain to fail; multiplied by the failure rate.
constexpr double failureCostMs = 120.0;
/// Traffic between failure domains is charged for. A replica in this instance's domain is preferred
/// as long as its latency is at most this many times that of a remote replica.
constexpr double remoteCostFactor = 1.6;
/// The same for a coordinator. It knows from its own requests whether the replica in its domain is
/// slow now, so that the preference costs no latency.
constexpr double coordinatorRemoteCostFactor = 2.5;
/// The slowness that is assumed at least while a target warms up.
constexpr double minWarmupSlowness = 1.6;
/// The random variation of the cost, as a fraction. Without it, all instances would choose the same
/// one of equal targets.
constexpr double costJitter = 0.1;

bool isStalled(const TargetNode &target, const LatencyModel &model, Instant now)
{
    if (target.sendTimes.empty()) {
        return false;
    }
    const auto limit = std::chrono::duration_cast<Duration>(model.lateThreshold() * stallFactor);
    return now - *target.sendTimes.begin() > std::max(limit, minStallTime);
}

double remoteFactor(TargetDistance distance)
{
    switch (distance) {
    case TargetDistance::SameDomain:
        return 1.0;
    case TargetDistance::OtherDomain:
        return remoteCostFactor;
    case TargetDistance::OtherDomainOfCoordinator:
        return coordinatorRemoteCostFactor;
    }
    return 1.0;
}

} // namespace

double targetCost(const TargetNode &target, TargetDistance distance, const LatencyModel &model,
                  Instant now, RandomEngine &random)
{
    const double queue = 1.0 + static_cast<double>(target.inFlight) / target.record.slots;
    double slowness = currentSlowness(target, now) * remoteFactor(distance);
    if (now < target.warmupUntil) {
        slowness = std::max(slowness, minWarmupSlowness);
    }
    std::uniform_real_distribution<double> jitter(1.0 - costJitter, 1.0 + costJitter);
    double cost = toFractionalMilliseconds(model.median()) * slowness * queue * jitter(random);
    cost += failureCostMs * target.failureRate * learnedWeight(target, now);
    if (isStalled(target, model, now)) {
        cost += stallCostMs + toFractionalMilliseconds(now - *target.sendTimes.begin());
    }
    return cost;
}

} // namespace lagoondeck
