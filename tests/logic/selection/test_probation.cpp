#include "tests/logic/selection/table_fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

/// Returns a latency that is ten times higher for the target "a" than for the others.
Duration latencyWithSlowA(const TargetId &target)
{
    return target.value == "a" ? 200ms : 20ms;
}

Duration fastLatency(const TargetId &)
{
    return 20ms;
}

/// Sends sub-requests to "a" only, which the choice of replicas would avoid.
void addResultsForA(TableFixture &fixture, Duration latency, int times)
{
    const std::vector<TargetId> exceptA {TargetId("b"), TargetId("c")};
    for (int i = 0; i < times; ++i) {
        if (const auto reservation = fixture.reserve(exceptA)) {
            fixture.release(*reservation, latency);
        }
    }
}

/// Adds three replicas and makes "a" slow, so that it goes on probation.
void putAOnProbation(TableFixture &fixture)
{
    fixture.addReplicas(3);
    fixture.runSubRequests(100, fastLatency);
    addResultsForA(fixture, 20ms, 8);
    addResultsForA(fixture, 200ms, 8);
}

} // namespace

TEST_CASE("A target much slower than its replicas goes on probation and gets probes only")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    REQUIRE(fixture.countLogEvents(LogEvent::TargetOnProbation) == 1);
    std::map<std::string, int> chosen;
    fixture.runSubRequests(300, [&](const TargetId &target) {
        ++chosen[target.value];
        return latencyWithSlowA(target);
    });
    CHECK(chosen["a"] == 0);
    CHECK(chosen["b"] > 50);
    CHECK(chosen["c"] > 50);
    const auto probe = fixture.reserveProbe();
    REQUIRE(probe);
    CHECK(probe->target == TargetId("a"));
    CHECK_FALSE(fixture.reserveProbe());
}

TEST_CASE("Fast probes end the probation, and slow ones make further probes rarer")
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
    CHECK(fixture.countLogEvents(LogEvent::TargetReturned) == 0);
    for (int i = 0; i < 400 && fixture.countLogEvents(LogEvent::TargetReturned) == 0; ++i) {
        fixture.now += 50ms;
        if (const auto probe = fixture.reserveProbe()) {
            fixture.release(*probe, 20ms);
        }
    }
    REQUIRE(fixture.countLogEvents(LogEvent::TargetReturned) == 1);
    fixture.now += LoadRamp::rampDuration;
    std::map<std::string, int> chosen;
    fixture.runSubRequests(300, [&](const TargetId &target) {
        ++chosen[target.value];
        return fastLatency(target);
    });
    CHECK(chosen["a"] > 30);
}

TEST_CASE("A target on probation also returns when the requests allow no probes")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    REQUIRE(fixture.countLogEvents(LogEvent::TargetOnProbation) == 1);
    // Requests that run at most once allow no second attempt, so no probe is sent. "a" is fast
    // again.
    int chosen = 0;
    for (int second = 0; second < 60; ++second) {
        fixture.runSubRequests(200, [&](const TargetId &target) {
            chosen += target.value == "a" ? 1 : 0;
            return 20ms;
        });
    }
    CHECK(fixture.countLogEvents(LogEvent::TargetReturned) == 1);
    CHECK(chosen > 1000);
}

TEST_CASE("A target that stays slow gets few ordinary attempts")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    int chosen = 0;
    for (int second = 0; second < 60; ++second) {
        fixture.runSubRequests(200, [&](const TargetId &target) {
            chosen += target.value == "a" ? 1 : 0;
            return latencyWithSlowA(target);
        });
    }
    // Of the 12,000 attempts in 60 seconds, at most one per ten seconds goes to the slow target.
    CHECK(chosen > 0);
    CHECK(chosen <= 6);
}

TEST_CASE("Cancelled attempts put a slow target on probation")
{
    TableFixture fixture;
    fixture.addReplicas(3);
    fixture.runSubRequests(100, fastLatency);
    addResultsForA(fixture, 20ms, 8);
    const std::vector<TargetId> exceptA {TargetId("b"), TargetId("c")};
    for (int i = 0; i < 8; ++i) {
        fixture.release(*fixture.reserve(exceptA), 60ms, SubRequestOutcome::Cancelled);
    }
    CHECK(fixture.countLogEvents(LogEvent::TargetOnProbation) == 1);
}

TEST_CASE("A target on probation is used when all other replicas are leaving")
{
    TableFixture fixture;
    putAOnProbation(fixture);
    REQUIRE(fixture.countLogEvents(LogEvent::TargetOnProbation) == 1);
    {
        Context context = fixture.context();
        fixture.table.markLeaving(TargetId("b"), context);
        fixture.table.markLeaving(TargetId("c"), context);
    }
    const auto reservation = fixture.reserve();
    REQUIRE(reservation);
    CHECK(reservation->target == TargetId("a"));
}

TEST_CASE("A shard with an idle usable replica is served, whatever the latencies")
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
            // Targets leave in the order of their names, so that a smaller name is that of a
            // leaving target.
            RC_ASSERT(reservation->target >= TableFixture::nameOf(leaving));
            const auto latency = 1ms * *rc::gen::inRange(1, 500);
            fixture.release(*reservation, latency,
                            *rc::gen::element(SubRequestOutcome::Answered,
                                              SubRequestOutcome::Cancelled,
                                              SubRequestOutcome::Failed));
        }
    });
    CHECK(holds);
}
