#include "tests/logic/selection/table_fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

/// The target "a" is ten times slower than the others.
Duration slowA(const TargetId &target)
{
    return target.value == "a" ? 200ms : 20ms;
}

Duration allFast(const TargetId &)
{
    return 20ms;
}

/// Has "a" observed, which the choice alone would avoid.
void observeA(TableFixture &fixture, Duration latency, int times)
{
    const std::vector<TargetId> others {TargetId("b"), TargetId("c")};
    for (int i = 0; i < times; ++i) {
        if (const auto reservation = fixture.reserve(others)) {
            fixture.release(*reservation, latency);
        }
    }
}

/// Three replicas of which "a" has just been slow.
void putAOnProbation(TableFixture &fixture)
{
    fixture.addReplicas(3);
    fixture.exercise(100, allFast);
    observeA(fixture, 20ms, 8);
    observeA(fixture, 200ms, 8);
}

} // namespace

TEST_CASE("A target much slower than its replicas goes on probation and gets probes only")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    REQUIRE(fixture.logged(LogEvent::TargetOnProbation) == 1);
    std::map<std::string, int> chosen;
    fixture.exercise(300, [&](const TargetId &target) {
        ++chosen[target.value];
        return slowA(target);
    });
    CHECK(chosen["a"] == 0);
    CHECK(chosen["b"] > 50);
    CHECK(chosen["c"] > 50);
    const auto probe = fixture.reserveProbe();
    REQUIRE(probe);
    CHECK(probe->target == TargetId("a"));
    CHECK_FALSE(fixture.reserveProbe());
}

TEST_CASE("Fast probes end the probation, slow ones grow rarer")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    int slowProbes = 0;
    for (int i = 0; i < 400; ++i) {
        fixture.now += 50ms;
        if (const auto probe = fixture.reserveProbe()) {
            fixture.release(*probe, 200ms);
            ++slowProbes;
        }
    }
    CHECK(slowProbes >= 3);
    CHECK(slowProbes <= 10);
    CHECK(fixture.logged(LogEvent::TargetReturned) == 0);
    for (int i = 0; i < 400 && fixture.logged(LogEvent::TargetReturned) == 0; ++i) {
        fixture.now += 50ms;
        if (const auto probe = fixture.reserveProbe()) {
            fixture.release(*probe, 20ms);
        }
    }
    REQUIRE(fixture.logged(LogEvent::TargetReturned) == 1);
    fixture.now += LoadRamp::length;
    std::map<std::string, int> chosen;
    fixture.exercise(300, [&](const TargetId &target) {
        ++chosen[target.value];
        return allFast(target);
    });
    CHECK(chosen["a"] > 30);
}

TEST_CASE("A target on probation returns also where no probe can go beside an attempt")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    REQUIRE(fixture.logged(LogEvent::TargetOnProbation) == 1);
    // Requests that run at most once have no second attempt, and "a" is fast again.
    int chosen = 0;
    for (int second = 0; second < 60; ++second) {
        fixture.exercise(200, [&](const TargetId &target) {
            chosen += target.value == "a" ? 1 : 0;
            return 20ms;
        });
    }
    CHECK(fixture.logged(LogEvent::TargetReturned) == 1);
    CHECK(chosen > 1000);
}

TEST_CASE("A target that stays slow gets few attempts of its own")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    int chosen = 0;
    for (int second = 0; second < 60; ++second) {
        fixture.exercise(200, [&](const TargetId &target) {
            chosen += target.value == "a" ? 1 : 0;
            return slowA(target);
        });
    }
    // One in ten seconds at most, of 12,000.
    CHECK(chosen > 0);
    CHECK(chosen <= 6);
}

TEST_CASE("A cancelled attempt tells that a target is slow")
{
    TableFixture fixture;
    fixture.addReplicas(3);
    fixture.exercise(100, allFast);
    observeA(fixture, 20ms, 8);
    const std::vector<TargetId> others {TargetId("b"), TargetId("c")};
    for (int i = 0; i < 8; ++i) {
        fixture.release(*fixture.reserve(others), 60ms, SubRequestEnd::Cancelled);
    }
    CHECK(fixture.logged(LogEvent::TargetOnProbation) == 1);
}

TEST_CASE("A slow target is used when its replicas are no choice")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    REQUIRE(fixture.logged(LogEvent::TargetOnProbation) == 1);
    {
        Context context = fixture.context();
        fixture.table.markLeaving(TargetId("b"), context);
        fixture.table.markLeaving(TargetId("c"), context);
    }
    const auto reservation = fixture.reserve();
    REQUIRE(reservation);
    CHECK(reservation->target == TargetId("a"));
}

TEST_CASE("Whatever the latencies, a shard with an idle usable replica is served")
{
    const bool holds = rc::check("probation never starves a shard", [] {
        Policy policy;
        policy.adaptiveLimits = false;
        TableFixture fixture(policy);
        const auto replicas = *rc::gen::inRange<std::size_t>(1, 5);
        fixture.addReplicas(replicas);
        std::size_t leaving = 0;
        for (int step = 0; step < 120; ++step) {
            fixture.now += 1ms * *rc::gen::inRange(1, 300);
            if (leaving + 1 < replicas && *rc::gen::inRange(0, 60) == 0) {
                Context context = fixture.context();
                fixture.table.markLeaving(TableFixture::nameOf(leaving), context);
                ++leaving;
            }
            const auto reservation = fixture.reserve();
            RC_ASSERT(reservation.has_value());
            // A name below the first one that stays is a leaving target's.
            RC_ASSERT(reservation->target >= TableFixture::nameOf(leaving));
            const auto latency = 1ms * *rc::gen::inRange(1, 500);
            fixture.release(*reservation, latency,
                            *rc::gen::element(SubRequestEnd::Answered, SubRequestEnd::Cancelled,
                                              SubRequestEnd::Failed));
        }
    });
    CHECK(holds);
}
