// A fleet while one failure domain with its instances and targets is gone, on a simulated clock.

#include "gateway_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;
using std::chrono::seconds;

namespace {

/// The fraction of the queries from one number on that were not answered completely in time.
double failedFraction(const GatewayFleet &fleet, std::uint64_t first, Duration objective)
{
    std::size_t failed = 0;
    for (std::uint64_t number = first; number <= fleet.queries; ++number) {
        const auto found = fleet.answers.find(number);
        failed += found == fleet.answers.end() || found->second.status != 200
                        || found->second.elapsed > objective
                ? 1
                : 0;
    }
    return static_cast<double>(failed) / static_cast<double>(fleet.queries - first + 1);
}

} // namespace

// Guards against each request finding out for itself that a domain does not answer. Instances in
// domains without replicas use the replicas of all others alike.
TEST_CASE("lost domain: under 1% of the requests fail while a domain is gone")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetPlan plan;
        plan.seed = seed;
        plan.instances = 40;
        plan.shards = 12;
        plan.withCoordinators = false;
        plan.largeShare = plan.smallShare = 0.5;
        plan.pauseLength = Duration(0);
        GatewayFleet fleet(plan);
        fleet.sendQueries(300.0, seconds(5));
        fleet.setDomainLost(0, true);
        const std::uint64_t first = fleet.queries + 1;
        fleet.sendQueries(300.0, seconds(20));
        fleet.run(seconds(2));
        const double failed = failedFraction(fleet, first, plan.objective);
        INFO("seed " << seed << ", failed " << failed);
        CHECK(failed < 0.01);
    }
}
