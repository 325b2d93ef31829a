#include "tests/logic/admission/overload_model.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace lagoondeck;

namespace {

constexpr std::uint64_t seeds = 3;

/// The load rises from half of the slots' capacity to one and a half times that capacity.
OverloadScenario surgeScenario()
{
    OverloadScenario scenario;
    scenario.loads = {{0, 0.08}, {5, 0.2}, {9, 0.22}};
    scenario.peakFactor = 3.0;
    return scenario;
}

OverloadResult runModel(OverloadScenario scenario, std::uint64_t seed)
{
    scenario.seed = seed;
    return OverloadModel(scenario).run();
}

} // namespace

TEST_CASE("During a load surge above capacity slots stay busy and the highest priority is served")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        OverloadResult result = runModel(surgeScenario(), seed);
        CAPTURE(result.row());
        CHECK(result.goodputRatio >= 0.9);
        CHECK(result.p99Ms <= 150.0);
        const PriorityCounts &highest = result.byPriority[0];
        CHECK(100 * (highest.refused + highest.lost) < highest.sent);
        CHECK(result.byPriority[5].answered * 1.0 / result.byPriority[5].sent
              > result.byPriority[9].answered * 1.0 / result.byPriority[9].sent);
    }
}

TEST_CASE("Slow targets barely raise the tail latency and hedging adds little load")
{
    OverloadScenario steady;
    OverloadScenario slowed;
    slowed.slowFraction = 0.1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const OverloadResult steadyResult = runModel(steady, seed);
        OverloadResult result = runModel(slowed, seed);
        CAPTURE(steadyResult.row(), result.row());
        CHECK(result.p99Ms <= 1.5 * steadyResult.p99Ms);
        CHECK(static_cast<double>(result.hedges) <= 0.05 * static_cast<double>(result.subRequests));
        CHECK(result.byPriority[5].lost + result.byPriority[5].refused
              <= result.byPriority[5].sent / 500);
    }
}

TEST_CASE("During a load surge with slow targets goodput is well above the baseline policy")
{
    OverloadScenario full = surgeScenario();
    full.slowFraction = 0.1;
    OverloadScenario baseline = full;
    baseline.policy = Policy::baseline();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const OverloadResult fullResult = runModel(full, seed);
        const OverloadResult baselineResult = runModel(baseline, seed);
        CAPTURE(fullResult.row(), baselineResult.row());
        CHECK(fullResult.goodputRatio > 1.5 * baselineResult.goodputRatio);
    }
}

/// Prints the rows of docs/MEASUREMENTS.md.
TEST_CASE("Print the result rows of the model", "[.rows]")
{
    const auto print = [](const char *name, const OverloadScenario &scenario) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            std::printf("%-24s %s\n", name, runModel(scenario, seed).row().c_str());
        }
    };
    OverloadScenario scenario;
    OverloadScenario baseline;
    baseline.policy = Policy::baseline();
    print("steady", scenario);
    print("steady baseline", baseline);
    scenario.slowFraction = baseline.slowFraction = 0.1;
    print("slowed", scenario);
    print("slowed baseline", baseline);
    scenario = baseline = surgeScenario();
    baseline.policy = Policy::baseline();
    print("crest", scenario);
    print("crest baseline", baseline);
    OverloadScenario unlimited = scenario;
    unlimited.policy.adaptiveLimits = false;
    print("crest, no target limits", unlimited);
    OverloadScenario open = scenario;
    open.policy.admissionControl = false;
    print("crest, no admission", open);
    scenario.slowFraction = baseline.slowFraction = 0.1;
    print("crest-slowed", scenario);
    print("crest-slowed baseline", baseline);
    scenario = surgeScenario();
    scenario.slots = 2;
    scenario.connectionCap = 25;
    print("crest, 2 slots", scenario);
}
