#include "tests/logic/claims/claim_world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t nodeCount = 4;
constexpr Duration wholeRun = ClaimWorld::retention * 8;

Instant end()
{
    return ClaimWorld::at(wholeRun);
}

/// Ids that ran more than once.
std::size_t doubled(const ClaimWorld &world)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(world.runs, [](const auto &item) { return item.second > 1; }));
}

std::size_t doubledInRuns(ClaimFaults faults, double leaseScale, bool ignoreCompares)
{
    std::size_t total = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        ClaimWorld world(nodeCount, seed, faults);
        world.store.leaseScale = leaseScale;
        world.store.ignoreCompares = ignoreCompares;
        world.scatter(20);
        world.runUntil(end());
        total += doubled(world);
    }
    return total;
}

void check(ClaimFaults faults)
{
    const bool holds = rc::check([faults](std::uint64_t seed) {
        ClaimWorld world(nodeCount, seed, faults);
        world.scatter(20);
        world.runUntil(end());
        RC_ASSERT(doubled(world) == 0U);
        RC_ASSERT(world.ends.size() == world.sendings);
        for (const auto &[query, told] : world.ends) {
            RC_ASSERT(!(told.outcome == Outcome::NotRun && told.ran));
            const bool toldRan = told.firstOutcome && *told.firstOutcome != Outcome::Unknown;
            RC_ASSERT(!toldRan || world.runs[told.key] == 1);
            RC_ASSERT(told.reason != FailureReason::AlreadyClaimed
                      || told.outcome != Outcome::NotRun);
        }
    });
    REQUIRE(holds);
}

SendingEnd only(const ClaimWorld &world, std::uint64_t sending)
{
    return world.ends.at(QueryId(sending));
}

} // namespace

TEST_CASE("A request is never run twice, whatever fails")
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

TEST_CASE("The runs above can find a double run")
{
    const ClaimFaults pauses {0.0, 0.0, false, true};
    SECTION("without the compare-and-swap")
    {
        REQUIRE(doubledInRuns({}, 1.0, true) > 0);
    }
    SECTION("with claims that end too early")
    {
        REQUIRE(doubledInRuns({}, 0.3, false) > 0);
    }
    SECTION("with a re-check against a clock read before the pause")
    {
        ClaimFaults broken = pauses;
        broken.stalePresent = true;
        REQUIRE(doubledInRuns(pauses, 1.0, false) == 0);
        REQUIRE(doubledInRuns(broken, 1.0, false) > 0);
    }
}

TEST_CASE("One of several sendings at once runs; the others learn that it was claimed")
{
    ClaimWorld world(nodeCount, 1, {});
    world.nextOutcome = Outcome::Answered;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        world.send(node, "a", ClaimWorld::at(seconds(1)), ClaimWorld::wall(seconds(1)));
        world.send(node, "a", ClaimWorld::at(seconds(1)), ClaimWorld::wall(seconds(1)));
    }
    world.runUntil(ClaimWorld::at(seconds(3)));
    std::size_t answered = 0;
    std::size_t claimed = 0;
    for (const auto &[query, told] : world.ends) {
        answered += told.reason == FailureReason::None ? 1 : 0;
        claimed += told.reason == FailureReason::AlreadyClaimed ? 1 : 0;
    }
    REQUIRE(answered == 1);
    REQUIRE(claimed == 2 * nodeCount - 1);
}

TEST_CASE("A later sending is told what came of the first")
{
    ClaimWorld world(nodeCount, 1, {});
    world.nextOutcome = Outcome::Answered;
    world.send(0, "a", ClaimWorld::at(seconds(1)), ClaimWorld::wall(seconds(1)));
    world.send(1, "a", ClaimWorld::at(seconds(3)), ClaimWorld::wall(seconds(1)));
    world.runUntil(ClaimWorld::at(seconds(5)));
    REQUIRE(only(world, 2).reason == FailureReason::AlreadyClaimed);
    REQUIRE(only(world, 2).outcome == Outcome::Failed);
    REQUIRE(only(world, 2).firstOutcome == Outcome::Answered);
}

TEST_CASE("A request that was proved not to have run can be sent again")
{
    ClaimWorld world(nodeCount, 1, {});
    world.nextOutcome = Outcome::NotRun;
    world.send(0, "a", ClaimWorld::at(seconds(1)), ClaimWorld::wall(seconds(1)));
    world.runUntil(ClaimWorld::at(seconds(2)));
    world.nextOutcome = Outcome::Answered;
    world.send(1, "a", ClaimWorld::at(seconds(2)), ClaimWorld::wall(seconds(1)));
    world.runUntil(ClaimWorld::at(seconds(4)));
    REQUIRE(only(world, 2).outcome == Outcome::Answered);
    REQUIRE(world.runs.begin()->second == 1);
}

TEST_CASE("A claim left by lost replies does not block the request for long")
{
    ClaimWorld world(2, 1, {});
    world.nextOutcome = Outcome::Answered;
    world.send(0, "lease", ClaimWorld::at(seconds(1)), ClaimWorld::wall(seconds(1)));
    world.runUntil(ClaimWorld::at(seconds(2)));
    world.faults.lostReplies = 1.0;
    world.send(0, "a", ClaimWorld::at(seconds(2)), ClaimWorld::wall(seconds(2)));
    world.runUntil(ClaimWorld::at(seconds(3)));
    REQUIRE(only(world, 2).reason == FailureReason::ClaimUnavailable);
    REQUIRE(only(world, 2).outcome == Outcome::NotRun);
    REQUIRE(world.store.has(claimKey(CallerName("van"), RequestId("a"))));
    world.faults.lostReplies = 0.0;
    world.send(1, "a", ClaimWorld::at(seconds(6)), ClaimWorld::wall(seconds(2)));
    world.runUntil(ClaimWorld::at(seconds(8)));
    REQUIRE(only(world, 3).outcome == Outcome::Answered);
}

TEST_CASE("With the store down a request is refused as not run")
{
    ClaimWorld world(2, 1, {});
    world.addOutage(ClaimWorld::at(Duration(0)), ClaimWorld::at(seconds(5)));
    world.send(0, "a", ClaimWorld::at(seconds(1)), ClaimWorld::wall(seconds(1)));
    world.send(0, "a", ClaimWorld::at(seconds(6)), ClaimWorld::wall(seconds(1)));
    world.nextOutcome = Outcome::Answered;
    world.runUntil(ClaimWorld::at(seconds(9)));
    REQUIRE(only(world, 1).reason == FailureReason::ClaimUnavailable);
    REQUIRE(only(world, 1).outcome == Outcome::NotRun);
    REQUIRE(only(world, 2).outcome == Outcome::Answered);
}

TEST_CASE("A request that is too old or from the future is not claimed")
{
    ClaimWorld world(1, 1, {});
    world.send(0, "old", ClaimWorld::at(seconds(20)), ClaimWorld::wall(seconds(8)));
    world.send(0, "early", ClaimWorld::at(seconds(20)), ClaimWorld::wall(seconds(23)));
    world.runUntil(ClaimWorld::at(seconds(25)));
    REQUIRE(only(world, 1).reason == FailureReason::RequestTooOld);
    REQUIRE(only(world, 2).reason == FailureReason::BadRequest);
    REQUIRE(world.store.transactions == 0);
}

TEST_CASE("Claims of one moment share transactions")
{
    ClaimWorld world(1, 1, {});
    world.nextOutcome = Outcome::Answered;
    for (int i = 0; i < 100; ++i) {
        world.send(0, "r" + std::to_string(i), ClaimWorld::at(seconds(1)),
                   ClaimWorld::wall(seconds(1)));
    }
    world.runUntil(ClaimWorld::at(seconds(4)));
    REQUIRE(world.runs.size() == 100);
    REQUIRE(world.store.transactions <= 12);
}

TEST_CASE("Keys of claims keep caller and id apart")
{
    REQUIRE(claimKey(CallerName("a/b"), RequestId("c"))
            != claimKey(CallerName("a"), RequestId("b/c")));
    REQUIRE(claimKey(CallerName("a%2Fb"), RequestId("c"))
            != claimKey(CallerName("a/b"), RequestId("c")));
}

TEST_CASE("A claim is read as it was written")
{
    const ClaimRecord record {InstanceId("entry-1"), "entry-1:5:6:7", Outcome::Failed};
    REQUIRE(parseClaim(writeClaim(record)) == record);
    REQUIRE_FALSE(parseClaim("{}").has_value());
    REQUIRE_FALSE(parseClaim("not json").has_value());
}
