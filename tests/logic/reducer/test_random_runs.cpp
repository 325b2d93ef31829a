#include "tests/support/fault_injector.h"
#include "tests/support/simulated_cell.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSeed = 20261204;
constexpr std::uint64_t seeds = 16;

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("Complete instances violate no invariant while several faults happen at once")
{
    const std::uint64_t seed = firstSeed + GENERATE(range<std::uint64_t>(0, seeds));
    SimulatedCell simulation(seed);
    FaultInjector faultInjector(simulation);
    faultInjector.start();
    simulation.runFor(30s);
    faultInjector.stop();
    simulation.finish();
    INFO("replay: lagoondeck-soak --seed " << seed << " --seconds 30");
    INFO(joinLines(simulation.violations()));
    CHECK(simulation.violations().empty());
    // Guards against a run that exercises nothing.
    CHECK(simulation.counts().answered > 1000);
    CHECK(simulation.counts().notRun > 0);
    CHECK(simulation.counts().hedges > 0);
}

TEST_CASE("The random runs include instance restarts")
{
    std::size_t restarts = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        SimulatedCell simulation(seed);
        FaultInjector faultInjector(simulation);
        faultInjector.start();
        simulation.runFor(20s);
        restarts += simulation.counts().restarts;
    }
    CHECK(restarts > 10);
}

TEST_CASE("Without faults nearly every request gets a complete answer")
{
    SimulatedCell simulation(1);
    // A repeated at-most-once request is answered as already claimed, which is not a complete
    // answer.
    simulation.resendsAtMostOnceRequests = false;
    simulation.runFor(20s);
    simulation.finish();
    INFO(joinLines(simulation.violations()));
    CHECK(simulation.violations().empty());
    const SimulationCounts &counts = simulation.counts();
    CHECK(counts.requests > 1000);
    // Some requests name a shard that does not exist in the index; they never run.
    CHECK(counts.failed + counts.unknown <= counts.requests / 100);
    CHECK(static_cast<double>(counts.hedges) <= 0.05 * static_cast<double>(counts.subRequests));
}

TEST_CASE("The same seed replays the same run")
{
    const auto eventsOf = [](std::uint64_t seed) {
        SimulatedCell simulation(seed);
        FaultInjector faultInjector(simulation);
        faultInjector.start();
        simulation.runFor(10s);
        faultInjector.stop();
        simulation.finish();
        return std::tuple(simulation.counts().events, simulation.counts().runs,
                          simulation.counts().answered);
    };
    CHECK(eventsOf(5) == eventsOf(5));
    CHECK(eventsOf(5) != eventsOf(6));
}
