#include "tests/logic/admission/crest_model.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace lagoondeck;

namespace {

constexpr std::uint64_t seeds = 3;

/// The load is half of what the slots serve, then half as much again as they do.
CrestPlan crestPlan()
{
    CrestPlan plan;
    plan.loads = {{0, 0.08}, {5, 0.2}, {9, 0.22}};
    plan.crest = 3.0;
    return plan;
}

CrestResult runOf(CrestPlan plan, std::uint64_t seed)
{
    plan.seed = seed;
    return CrestModel(plan).run();
}

} // namespace

TEST_CASE("At a crest above capacity the slots stay busy and the highest priority is served")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CrestResult result = runOf(crestPlan(), seed);
        CAPTURE(result.row());
        CHECK(result.goodputRatio >= 0.9);
        CHECK(result.p99Ms <= 150.0);
        const CrestCounts &highest = result.byPriority[0];
        CHECK(100 * (highest.refused + highest.lost) < highest.sent);
        CHECK(result.byPriority[5].answered * 1.0 / result.byPriority[5].sent
              > result.byPriority[9].answered * 1.0 / result.byPriority[9].sent);
    }
}

TEST_CASE("Slowed targets hardly show in the tail, for little extra load")
{
    CrestPlan steady;
    CrestPlan slowed;
    slowed.slowPart = 0.1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const CrestResult calm = runOf(steady, seed);
        CrestResult result = runOf(slowed, seed);
        CAPTURE(calm.row(), result.row());
        CHECK(result.p99Ms <= 1.5 * calm.p99Ms);
        CHECK(static_cast<double>(result.hedges) <= 0.05 * static_cast<double>(result.subRequests));
        CHECK(result.byPriority[5].lost + result.byPriority[5].refused
              <= result.byPriority[5].sent / 500);
    }
}

TEST_CASE("At a crest with slowed targets the decisions serve well above the baseline")
{
    CrestPlan full = crestPlan();
    full.slowPart = 0.1;
    CrestPlan baseline = full;
    baseline.policy = Policy::baseline();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const CrestResult better = runOf(full, seed);
        const CrestResult worse = runOf(baseline, seed);
        CAPTURE(better.row(), worse.row());
        CHECK(better.goodputRatio > 1.5 * worse.goodputRatio);
    }
}

/// Prints the rows of docs/MEASUREMENTS.md.
TEST_CASE("Rows of the model", "[.rows]")
{
    const auto print = [](const char *name, const CrestPlan &plan) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            std::printf("%-24s %s\n", name, runOf(plan, seed).row().c_str());
        }
    };
    CrestPlan plan;
    CrestPlan baseline;
    baseline.policy = Policy::baseline();
    print("steady", plan);
    print("steady baseline", baseline);
    plan.slowPart = baseline.slowPart = 0.1;
    print("slowed", plan);
    print("slowed baseline", baseline);
    plan = baseline = crestPlan();
    baseline.policy = Policy::baseline();
    print("crest", plan);
    print("crest baseline", baseline);
    CrestPlan unlimited = plan;
    unlimited.policy.adaptiveLimits = false;
    print("crest, no target limits", unlimited);
    CrestPlan open = plan;
    open.policy.admissionControl = false;
    print("crest, no admission", open);
    plan.slowPart = baseline.slowPart = 0.1;
    print("crest-slowed", plan);
    print("crest-slowed baseline", baseline);
    plan = crestPlan();
    plan.slots = 2;
    plan.connectionCap = 25;
    print("crest, 2 slots", plan);
}
