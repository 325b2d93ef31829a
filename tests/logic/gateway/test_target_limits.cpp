// Loads on targets that limit the requests of the whole fleet, on a simulated clock.

#include "gateway_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;
using std::chrono::seconds;

namespace {

/// The sliding window over which the requests at a limited target are counted.
constexpr Duration window = seconds(4);
/// A target may get this many times its limit, and a few requests more, in each window.
constexpr double limitTolerance = 1.5;
constexpr double limitSlack = 5.0;

FleetPlan smallFleet()
{
    FleetPlan plan;
    plan.instances = 8;
    plan.domains = 3;
    plan.shards = 10;
    plan.withCoordinators = false;
    plan.workTime = milliseconds(10);
    plan.largeShare = plan.smallShare = 0.25;
    plan.pauseLength = Duration(0);
    plan.objective = milliseconds(100);
    plan.minimumCoverage = 0.89;
    return plan;
}

/// Returns the largest number of requests that told instances sent to the target in a window.
std::size_t maxToldArrivals(const GatewayFleet &fleet, const std::string &target)
{
    std::vector<Instant> told;
    for (const FleetArrival &arrival : fleet.limitedArrivals.at(TargetId(target))) {
        if (arrival.wasTold) {
            told.push_back(arrival.at);
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < told.size(); ++last) {
        while (told[last] - told[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

double allowedArrivals(double perSecond)
{
    return limitTolerance * perSecond * std::chrono::duration<double>(window).count() + limitSlack;
}

} // namespace

// Guards against targets in need that get more than the limit that they state.
TEST_CASE("hot spot: a limited target gets no more than it takes from the whole fleet",
          "[.][known-red]")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(160.0, seconds(2));
    fleet.setLimit("t0-0", 33.0);
    fleet.setLimit("t0-1", 22.0);
    fleet.sendQueries(160.0, seconds(10));
    CHECK(static_cast<double>(maxToldArrivals(fleet, "t0-0")) <= allowedArrivals(33.0));
    CHECK(static_cast<double>(maxToldArrivals(fleet, "t0-1")) <= allowedArrivals(22.0));
}
