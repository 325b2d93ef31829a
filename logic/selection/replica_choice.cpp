#include "logic/selection/replica_choice.h"

#include "logic/selection/target_state.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace lagoondeck {

namespace {

/// The load in an older report is ignored.
constexpr Duration reportValidity = std::chrono::milliseconds(200);
/// The reported load counts at most as this many sub-requests of this instance, because reports lag
/// and can be wrong.
constexpr double maxReportWeight = 0.5;
constexpr double loadExponent = 3.0;

double reportedLoadOf(const TargetState &target, Instant now)
{
    if (!target.reportedAt || now - *target.reportedAt >= reportValidity) {
        return 0.0;
    }
    const double perSlot =
            static_cast<double>(target.report.inFlight) / std::max(target.info.slots, 1U);
    return maxReportWeight * std::min(perSlot, 1.0);
}

Duration oldestInFlight(const TargetState &target, Instant now)
{
    Duration oldest {};
    for (const TargetConnection &connection : target.connections) {
        if (connection.use == ConnectionUse::SubRequest) {
            oldest = std::max(oldest, Duration(now - connection.subRequestSentAt));
        }
    }
    return oldest;
}

Duration fastestOf(std::span<TargetState *const> candidates)
{
    Duration fastest = Duration::max();
    for (const TargetState *candidate : candidates) {
        if (!candidate->latency.empty()) {
            fastest = std::min(fastest, candidate->latency.mean());
        }
    }
    return fastest == Duration::max() ? Duration(1) : std::max(fastest, Duration(1));
}

std::size_t drawIndex(std::vector<double> &weights, RandomEngine &random)
{
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return pick(random);
}

} // namespace

double costOf(const TargetState &target, Duration reference, Instant now)
{
    const Duration expected =
            std::max(target.latency.expected(reference, now), oldestInFlight(target, now));
    const double queue = 1.0 + static_cast<double>(target.inFlight) + reportedLoadOf(target, now);
    return static_cast<double>(expected.count()) * std::pow(queue, loadExponent);
}

TargetState &chooseReplica(std::span<TargetState *const> candidates, Instant now,
                           RandomEngine &random)
{
    if (candidates.size() == 1) {
        return *candidates.front();
    }
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const TargetState *candidate : candidates) {
        const double fraction = candidate->ramp.fraction(now);
        weights.push_back(candidate->report.cold ? LoadRamp::initialFraction * fraction : fraction);
    }
    const std::size_t first = drawIndex(weights, random);
    weights[first] = 0.0;
    const std::size_t second = drawIndex(weights, random);
    const Duration reference = fastestOf(candidates);
    const double firstCost = costOf(*candidates[first], reference, now);
    const double secondCost = costOf(*candidates[second], reference, now);
    return *candidates[secondCost < firstCost ? second : first];
}

TargetState &chooseAtRandom(std::span<TargetState *const> candidates, RandomEngine &random)
{
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    return *candidates[pick(random)];
}

} // namespace lagoondeck
