// Instances that are cut off from all targets, while callers, the store and the other members reach
// them.

#include "gateway_fleet.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// The time after which instances that are cut off must serve callers like the others.
constexpr Duration reactionTime = std::chrono::seconds(4);
constexpr double gatheredPerSecond = 120.0;
constexpr double plainPerSecond = 40.0;

FleetPlan smallFleet()
{
    FleetPlan plan;
    plan.instances = 8;
    plan.domains = 3;
    plan.replicaDomains = 3;
    plan.shards = 10;
    plan.plainTargets = 16;
    plan.largeShare = 0.25;
    plan.smallShare = 0.25;
    plan.minimumCoverage = 0.89;
    plan.objective = milliseconds(100);
    plan.workTime = milliseconds(11);
    plan.connectionAge = milliseconds(1500);
    return plan;
}

/// The fraction of the queries that were served, at some instances and in some time.
double servedFraction(const GatewayFleet &fleet, const std::set<std::size_t> &instances,
                      Instant from, Instant to)
{
    std::size_t queries = 0;
    std::size_t served = 0;
    for (std::uint64_t query = 1; query <= fleet.queries; ++query) {
        const Instant sentAt = fleet.sentTimeOf(query);
        if (!instances.contains(fleet.receiverOf(query)) || sentAt < from || sentAt >= to) {
            continue;
        }
        const auto answer = fleet.answers.find(query);
        ++queries;
        served += answer != fleet.answers.end() && answer->second.status == 200 ? 1 : 0;
    }
    REQUIRE(queries > 20);
    return static_cast<double>(served) / static_cast<double>(queries);
}

void sendMixed(GatewayFleet &fleet, Duration duration)
{
    for (Duration elapsed {}; elapsed < duration; elapsed += milliseconds(500)) {
        fleet.sendQueries(plainPerSecond, milliseconds(250), GatewayFleet::plain);
        fleet.sendQueries(gatheredPerSecond, milliseconds(250));
    }
}

} // namespace

// Guards against callers who are served far worse at instances that have lost their links to all
// targets than at the others.
TEST_CASE("partition: instances that are cut off from all targets serve their callers like the "
          "others",
          "[.known-red]")
{
    const PathCut how = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::Refused);
    const auto isCut = GENERATE(as<std::set<std::size_t>> {}, std::set<std::size_t> {0, 1, 2, 4, 7},
                                std::set<std::size_t> {0, 3, 6});
    GatewayFleet fleet(smallFleet());
    sendMixed(fleet, std::chrono::seconds(5));
    const Instant cutAt = fleet.now;
    std::set<std::size_t> others;
    for (std::size_t instance = 0; instance < 8; ++instance) {
        if (isCut.contains(instance)) {
            fleet.cut(instance, how);
        } else {
            others.insert(instance);
        }
    }
    sendMixed(fleet, std::chrono::seconds(10));
    const Instant endAt = fleet.now;
    fleet.run(std::chrono::seconds(2));
    const double atCut = servedFraction(fleet, isCut, cutAt + reactionTime, endAt);
    const double atOthers = servedFraction(fleet, others, cutAt + reactionTime, endAt);
    INFO("served at instances that are cut off " << atCut << ", at others " << atOthers);
    CHECK(atCut >= atOthers * 2.0 / 3.0);
}
