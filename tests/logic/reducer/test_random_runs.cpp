#include "tests/support/fake_world.h"
#include "tests/support/world_faults.h"

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

TEST_CASE("Complete nodes violate no invariant while several faults happen at once")
{
    const std::uint64_t seed = firstSeed + GENERATE(range<std::uint64_t>(0, seeds));
    FakeWorld world(seed);
    WorldFaults faults(world);
    faults.start();
    world.runFor(30s);
    faults.stop();
    world.finish();
    INFO("replay: lagoondeck-soak --seed " << seed << " --seconds 30");
    INFO(joinLines(world.violations()));
    CHECK(world.violations().empty());
    // Guards against a run that exercises nothing.
    CHECK(world.counts().answered > 1000);
    CHECK(world.counts().notRun > 0);
    CHECK(world.counts().hedges > 0);
}

TEST_CASE("The random runs include node restarts")
{
    std::size_t restarts = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        FakeWorld world(seed);
        WorldFaults faults(world);
        faults.start();
        world.runFor(20s);
        restarts += world.counts().restarts;
    }
    CHECK(restarts > 10);
}

TEST_CASE("Without faults nearly every request gets a complete answer")
{
    FakeWorld world(1);
    // A repeated at-most-once request is answered as already claimed, which is not a complete
    // answer.
    world.resending = false;
    world.runFor(20s);
    world.finish();
    INFO(joinLines(world.violations()));
    CHECK(world.violations().empty());
    const WorldCounts &counts = world.counts();
    CHECK(counts.asked > 1000);
    // Some requests name a shard that does not exist in the index; they never run.
    CHECK(counts.failed + counts.unknown <= counts.asked / 100);
    CHECK(static_cast<double>(counts.hedges) <= 0.05 * static_cast<double>(counts.subRequests));
}

TEST_CASE("The same seed replays the same run")
{
    const auto eventsOf = [](std::uint64_t seed) {
        FakeWorld world(seed);
        WorldFaults faults(world);
        faults.start();
        world.runFor(10s);
        faults.stop();
        world.finish();
        return std::tuple(world.counts().events, world.counts().runs, world.counts().answered);
    };
    CHECK(eventsOf(5) == eventsOf(5));
    CHECK(eventsOf(5) != eventsOf(6));
}
