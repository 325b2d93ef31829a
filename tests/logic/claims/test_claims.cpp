#include "tests/logic/claims/claim_simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t nodeCount = 4;
constexpr Duration runDuration = ClaimSimulation::retention * 8;

Instant end()
{
    return ClaimSimulation::at(runDuration);
}

/// Returns the number of request ids that ran more than once.
std::size_t countDuplicateRuns(const ClaimSimulation &simulation)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            simulation.runs, [](const auto &item) { return item.second > 1; }));
}

std::size_t countDuplicateRunsOverSeeds(ClaimFaults faults, double leaseScale, bool ignoreCompares)
{
    std::size_t total = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        ClaimSimulation simulation(nodeCount, seed, faults);
        simulation.store.leaseScale = leaseScale;
        simulation.store.ignoreCompares = ignoreCompares;
        simulation.sendRandomly(20);
        simulation.runUntil(end());
        total += countDuplicateRuns(simulation);
    }
    return total;
}

void check(ClaimFaults faults)
{
    const bool holds = rc::check([faults](std::uint64_t seed) {
        ClaimSimulation simulation(nodeCount, seed, faults);
        simulation.sendRandomly(20);
        simulation.runUntil(end());
        RC_ASSERT(countDuplicateRuns(simulation) == 0U);
        RC_ASSERT(simulation.results.size() == simulation.sendCount);
        for (const auto &[query, result] : simulation.results) {
            RC_ASSERT(!(result.outcome == Outcome::NotRun && result.ran));
            const bool reportedRan =
                    result.firstOutcome && *result.firstOutcome != Outcome::Unknown;
            RC_ASSERT(!reportedRan || simulation.runs[result.key] == 1);
            RC_ASSERT(result.reason != FailureReason::AlreadyClaimed
                      || result.outcome != Outcome::NotRun);
        }
    });
    REQUIRE(holds);
}

SendResult resultOf(const ClaimSimulation &simulation, std::uint64_t sendNumber)
{
    return simulation.results.at(QueryId(sendNumber));
}

} // namespace

TEST_CASE("An at-most-once request never runs twice under any injected fault")
{
    SECTION("no faults")
    {
        check({});
    }
    SECTION("lost replies")
    {
        check({0.3, 0.0, false, false});
    }
    SECTION("late replies")
    {
        check({0.0, 0.3, false, false});
    }
    SECTION("outages")
    {
        check({0.0, 0.0, true, false});
    }
    SECTION("pauses")
    {
        check({0.0, 0.0, false, true});
    }
    SECTION("all at once")
    {
        check({0.2, 0.2, true, true});
    }
}

TEST_CASE("The random runs detect duplicate runs when a safety mechanism is broken")
{
    const ClaimFaults pauses {0.0, 0.0, false, true};
    SECTION("without the compare-and-swap")
    {
        REQUIRE(countDuplicateRunsOverSeeds({}, 1.0, true) > 0);
    }
    SECTION("with claims that expire too early")
    {
        REQUIRE(countDuplicateRunsOverSeeds({}, 0.3, false) > 0);
    }
    SECTION("with a check against a clock read before the pause")
    {
        ClaimFaults broken = pauses;
        broken.staleClock = true;
        REQUIRE(countDuplicateRunsOverSeeds(pauses, 1.0, false) == 0);
        REQUIRE(countDuplicateRunsOverSeeds(broken, 1.0, false) > 0);
    }
}

TEST_CASE("Of several identical requests at once one runs and the others get AlreadyClaimed")
{
    ClaimSimulation simulation(nodeCount, 1, {});
    simulation.nextOutcome = Outcome::Answered;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        simulation.send(node, "a", ClaimSimulation::at(seconds(1)),
                        ClaimSimulation::wall(seconds(1)));
        simulation.send(node, "a", ClaimSimulation::at(seconds(1)),
                        ClaimSimulation::wall(seconds(1)));
    }
    simulation.runUntil(ClaimSimulation::at(seconds(3)));
    std::size_t answered = 0;
    std::size_t claimed = 0;
    for (const auto &[query, result] : simulation.results) {
        answered += result.reason == FailureReason::None ? 1 : 0;
        claimed += result.reason == FailureReason::AlreadyClaimed ? 1 : 0;
    }
    REQUIRE(answered == 1);
    REQUIRE(claimed == 2 * nodeCount - 1);
}

TEST_CASE("A repeated request gets the outcome of the first one")
{
    ClaimSimulation simulation(nodeCount, 1, {});
    simulation.nextOutcome = Outcome::Answered;
    simulation.send(0, "a", ClaimSimulation::at(seconds(1)), ClaimSimulation::wall(seconds(1)));
    simulation.send(1, "a", ClaimSimulation::at(seconds(3)), ClaimSimulation::wall(seconds(1)));
    simulation.runUntil(ClaimSimulation::at(seconds(5)));
    REQUIRE(resultOf(simulation, 2).reason == FailureReason::AlreadyClaimed);
    REQUIRE(resultOf(simulation, 2).outcome == Outcome::Failed);
    REQUIRE(resultOf(simulation, 2).firstOutcome == Outcome::Answered);
}

TEST_CASE("A request that provably did not run can be sent again")
{
    ClaimSimulation simulation(nodeCount, 1, {});
    simulation.nextOutcome = Outcome::NotRun;
    simulation.send(0, "a", ClaimSimulation::at(seconds(1)), ClaimSimulation::wall(seconds(1)));
    simulation.runUntil(ClaimSimulation::at(seconds(2)));
    simulation.nextOutcome = Outcome::Answered;
    simulation.send(1, "a", ClaimSimulation::at(seconds(2)), ClaimSimulation::wall(seconds(1)));
    simulation.runUntil(ClaimSimulation::at(seconds(4)));
    REQUIRE(resultOf(simulation, 2).outcome == Outcome::Answered);
    REQUIRE(simulation.runs.begin()->second == 1);
}

TEST_CASE(
        "A claim left in the store by lost replies is released, so that the request can run later")
{
    ClaimSimulation simulation(2, 1, {});
    simulation.nextOutcome = Outcome::Answered;
    simulation.send(0, "lease", ClaimSimulation::at(seconds(1)), ClaimSimulation::wall(seconds(1)));
    simulation.runUntil(ClaimSimulation::at(seconds(2)));
    simulation.faults.lostReplies = 1.0;
    simulation.send(0, "a", ClaimSimulation::at(seconds(2)), ClaimSimulation::wall(seconds(2)));
    simulation.runUntil(ClaimSimulation::at(seconds(3)));
    REQUIRE(resultOf(simulation, 2).reason == FailureReason::ClaimUnavailable);
    REQUIRE(resultOf(simulation, 2).outcome == Outcome::NotRun);
    REQUIRE(simulation.store.has(claimKey(CallerName("van"), RequestId("a"))));
    simulation.faults.lostReplies = 0.0;
    simulation.send(1, "a", ClaimSimulation::at(seconds(6)), ClaimSimulation::wall(seconds(2)));
    simulation.runUntil(ClaimSimulation::at(seconds(8)));
    REQUIRE(resultOf(simulation, 3).outcome == Outcome::Answered);
}

TEST_CASE("With the store down a request is refused with outcome NotRun")
{
    ClaimSimulation simulation(2, 1, {});
    simulation.addOutage(ClaimSimulation::at(Duration(0)), ClaimSimulation::at(seconds(5)));
    simulation.send(0, "a", ClaimSimulation::at(seconds(1)), ClaimSimulation::wall(seconds(1)));
    simulation.send(0, "a", ClaimSimulation::at(seconds(6)), ClaimSimulation::wall(seconds(1)));
    simulation.nextOutcome = Outcome::Answered;
    simulation.runUntil(ClaimSimulation::at(seconds(9)));
    REQUIRE(resultOf(simulation, 1).reason == FailureReason::ClaimUnavailable);
    REQUIRE(resultOf(simulation, 1).outcome == Outcome::NotRun);
    REQUIRE(resultOf(simulation, 2).outcome == Outcome::Answered);
}

TEST_CASE("A request that is too old or issued in the future is refused without a claim")
{
    ClaimSimulation simulation(1, 1, {});
    simulation.send(0, "old", ClaimSimulation::at(seconds(20)), ClaimSimulation::wall(seconds(8)));
    simulation.send(0, "early", ClaimSimulation::at(seconds(20)),
                    ClaimSimulation::wall(seconds(23)));
    simulation.runUntil(ClaimSimulation::at(seconds(25)));
    REQUIRE(resultOf(simulation, 1).reason == FailureReason::RequestTooOld);
    REQUIRE(resultOf(simulation, 2).reason == FailureReason::BadRequest);
    REQUIRE(simulation.store.transactions == 0);
}

TEST_CASE("Claims made at the same time share transactions")
{
    ClaimSimulation simulation(1, 1, {});
    simulation.nextOutcome = Outcome::Answered;
    for (int i = 0; i < 100; ++i) {
        simulation.send(0, "r" + std::to_string(i), ClaimSimulation::at(seconds(1)),
                        ClaimSimulation::wall(seconds(1)));
    }
    simulation.runUntil(ClaimSimulation::at(seconds(4)));
    REQUIRE(simulation.runs.size() == 100);
    REQUIRE(simulation.store.transactions <= 12);
}

TEST_CASE("Claim keys of different caller and id pairs never collide")
{
    REQUIRE(claimKey(CallerName("a/b"), RequestId("c"))
            != claimKey(CallerName("a"), RequestId("b/c")));
    REQUIRE(claimKey(CallerName("a%2Fb"), RequestId("c"))
            != claimKey(CallerName("a/b"), RequestId("c")));
}

TEST_CASE("A claim record survives writing and parsing")
{
    const ClaimRecord record {InstanceId("entry-1"), "entry-1:5:6:7", Outcome::Failed};
    REQUIRE(parseClaim(writeClaim(record)) == record);
    REQUIRE_FALSE(parseClaim("{}").has_value());
    REQUIRE_FALSE(parseClaim("not json").has_value());
}
