// Loads of a large fleet in which each instance sees few queries, on a simulated clock.

#include "gateway_fleet.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// The way to the caller and back, as in the fleet's queries.
constexpr Duration callerRoundTrip = milliseconds(6);
constexpr double queriesPerSecond = 90.0;

struct FleetResult
{
    /// The fraction of the queries that were answered within the objective.
    double inTime = 0.0;
    /// The same, weighted by the square of the coverage.
    double worth = 0.0;
    double extraLoad = 0.0;
    double remoteAttempts = 0.0;
};

FleetResult resultOf(const GatewayFleet &fleet, const FleetPlan &plan)
{
    FleetResult result;
    for (const auto &[number, answer] : fleet.answers) {
        if (answer.status == 200 && answer.elapsed + callerRoundTrip <= plan.objective) {
            const double coverage = 1.0 - static_cast<double>(answer.missing) / plan.shards;
            result.inTime += 1.0;
            result.worth += coverage * coverage;
        }
    }
    const auto queries = static_cast<double>(fleet.queries);
    result.inTime /= queries;
    result.worth /= queries;
    result.extraLoad = static_cast<double>(fleet.attempts) / (queries * plan.shards) - 1.0;
    result.remoteAttempts =
            static_cast<double>(fleet.remoteAttempts) / static_cast<double>(fleet.attempts);
    return result;
}

FleetResult play(const FleetPlan &plan)
{
    GatewayFleet fleet(plan);
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(12));
    fleet.run(std::chrono::seconds(3));
    return resultOf(fleet, plan);
}

/// Returns the largest number of attempts of one query at one shard.
std::uint32_t maxRuns(const GatewayFleet &fleet)
{
    std::uint32_t most = 0;
    for (const auto &[part, runs] : fleet.runs) {
        most = std::max(most, runs);
    }
    return most;
}

} // namespace

TEST_CASE("straggler: coordinators know which replicas pause, where single instances can't")
{
    FleetPlan plan;
    plan.slowShare = 0.15;
    const FleetResult coordinated = play(plan);
    plan.withCoordinators = false;
    const FleetResult alone = play(plan);
    INFO("coordinated " << coordinated.inTime << " " << coordinated.worth << " "
                        << coordinated.extraLoad << ", alone " << alone.inTime << " " << alone.worth
                        << " " << alone.extraLoad);
    // The loss against a fleet in which every answer is complete and in time is at least halved.
    CHECK(1.0 - coordinated.worth < 0.5 * (1.0 - alone.worth));
    CHECK(coordinated.inTime >= alone.inTime);
}

TEST_CASE(
        "hot spot: an instance in a domain without replicas leaves the parts to the other domains")
{
    FleetPlan plan;
    const FleetResult coordinated = play(plan);
    plan.withCoordinators = false;
    const FleetResult alone = play(plan);
    INFO("remote attempts: coordinated " << coordinated.remoteAttempts << ", alone "
                                         << alone.remoteAttempts);
    CHECK(coordinated.remoteAttempts < 0.5 * alone.remoteAttempts);
}

TEST_CASE("the loss of all coordinators costs no query and no attempt too many")
{
    const FleetPlan plan;
    GatewayFleet fleet(plan);
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(4));
    fleet.run(std::chrono::seconds(1));
    const std::vector<std::size_t> coordinators = fleet.coordinators();
    REQUIRE(coordinators.size() >= 3);
    const std::uint64_t before = fleet.queries;
    const std::size_t answeredBefore = fleet.answers.size();
    CHECK(answeredBefore == before);
    for (const std::size_t coordinator : coordinators) {
        fleet.kill(coordinator);
    }
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(4));
    fleet.run(std::chrono::seconds(3));
    CHECK(fleet.answers.size() == fleet.queries);
    std::size_t failed = 0;
    for (const auto &[number, answer] : fleet.answers) {
        failed += answer.status == 200 ? 0 : 1;
    }
    CHECK(failed == 0);
    CHECK(maxRuns(fleet) <= plan.attempts);
}

TEST_CASE("coordinators that die with queries under way leave no query without an answer")
{
    const FleetPlan plan;
    GatewayFleet fleet(plan);
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(4));
    const std::vector<std::size_t> coordinators = fleet.coordinators();
    fleet.sendQueries(queriesPerSecond * 2, milliseconds(400));
    for (const std::size_t coordinator : coordinators) {
        fleet.kill(coordinator);
    }
    fleet.run(std::chrono::seconds(3));
    // Queries of the killed instances' own callers are lost with them.
    std::size_t unanswered = 0;
    for (std::uint64_t number = 1; number <= fleet.queries; ++number) {
        unanswered += fleet.answers.contains(number) ? 0 : 1;
    }
    CHECK(unanswered <= 2);
    CHECK(maxRuns(fleet) <= plan.attempts);
}

TEST_CASE(
        "a coordinator that was paused sends nothing for queries that are served elsewhere by then")
{
    const Duration pauseLength = GENERATE(milliseconds(300), milliseconds(600), milliseconds(4000));
    const FleetPlan plan;
    GatewayFleet fleet(plan);
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(4));
    const std::vector<std::size_t> coordinators = fleet.coordinators();
    // Some queries are under way and some offers have been made when the coordinators are paused.
    fleet.sendQueries(queriesPerSecond, milliseconds(100));
    const Instant pausedAt = fleet.now;
    for (const std::size_t coordinator : coordinators) {
        fleet.pause(coordinator, pauseLength);
    }
    fleet.sendQueries(queriesPerSecond, milliseconds(50));
    fleet.run(std::chrono::seconds(6));
    for (const std::size_t coordinator : coordinators) {
        CHECK((fleet.lastAttemptAt[coordinator] <= pausedAt));
    }
    CHECK(maxRuns(fleet) <= plan.attempts);
    CHECK(fleet.answers.size() == fleet.queries);
}

TEST_CASE("lost answers of a coordinator don't lead to more attempts than allowed")
{
    FleetPlan plan;
    plan.slowShare = 0.15;
    GatewayFleet fleet(plan);
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(4));
    const std::vector<std::size_t> coordinators = fleet.coordinators();
    fleet.sendQueries(queriesPerSecond * 4, milliseconds(100));
    for (const std::size_t coordinator : coordinators) {
        fleet.silence(coordinator);
    }
    fleet.sendQueries(queriesPerSecond, std::chrono::seconds(2));
    fleet.run(std::chrono::seconds(3));
    CHECK(maxRuns(fleet) <= plan.attempts);
    CHECK(fleet.answers.size() == fleet.queries);
    // Nobody is told that a request has not run if a coordinator may have sent it.
    for (const auto &[number, answer] : fleet.answers) {
        CHECK((answer.status == 200 || answer.status == 502));
    }
}
