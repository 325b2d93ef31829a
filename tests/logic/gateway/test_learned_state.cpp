// What an instance that starts, or was away, learns from the other members.

#include "gateway_fleet.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr const char *crashingPath = "/p/crash";

/// Six instances before fifteen targets of a group.
FleetPlan plainFleet()
{
    FleetPlan plan;
    plan.instances = 6;
    plan.domains = 3;
    plan.shards = 1;
    plan.plainTargets = 15;
    plan.withCoordinators = false;
    return plan;
}

/// Sends other queries for a while, and one that crashes its targets at an instance.
void sendCrashing(GatewayFleet &fleet, std::size_t instance)
{
    fleet.sendPlainQuery(instance, crashingPath);
    fleet.sendQueries(40.0, milliseconds(1200), GatewayFleet::plain);
}

GatewaySettings restartedSettings()
{
    GatewaySettings settings = GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)});
    settings.firstStart = false;
    settings.seeds = {"10.0.0.9:1"};
    return settings;
}

RoutingConfig config()
{
    return configOf({plainRoute("/p/", "g", true)});
}

std::vector<TargetRecord> targets()
{
    return {target("t0", "g"), target("t1", "g"), target("t2", "g")};
}

/// A restarted instance that knows the members b to e.
GatewayHarness restartedHarness()
{
    GatewayHarness harness(restartedSettings(), config(), targets());
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001"),
                         GatewayHarness::memberChange("c", "127.0.0.1:7002"),
                         GatewayHarness::memberChange("d", "127.0.0.1:7003"),
                         GatewayHarness::memberChange("e", "127.0.0.1:7004")});
    return harness;
}

/// Returns what a harness tells a member that asks.
LearnedState stateOf(GatewayHarness &harness)
{
    harness.apply(LearnedStateRequested {"127.0.0.1:7009"});
    REQUIRE_FALSE(harness.learnedStates.empty());
    CHECK(harness.learnedStates.back().receiver == "127.0.0.1:7009");
    return harness.learnedStates.back().state;
}

/// Sends a request and breaks the connection of every attempt, as if it crashed its targets.
std::size_t crashTargets(GatewayHarness &harness)
{
    const std::size_t before = harness.started.size();
    harness.sendRequest(crashingPath);
    for (std::size_t next = before; next < harness.started.size(); ++next) {
        harness.apply(AttemptEnded {harness.started[next].attempt, AttemptEndKind::Lost});
    }
    return harness.started.size() - before;
}

} // namespace

// Guards against an instance that forgets with its restart which requests crash targets.
TEST_CASE(
        "rolling restart: a request that crashes targets is not tried again by restarted instances")
{
    GatewayFleet fleet(plainFleet());
    fleet.setCrashing(crashingPath);
    for (std::size_t i = 0; i < 4; ++i) {
        sendCrashing(fleet, i);
    }
    const std::size_t before = fleet.crashes;
    REQUIRE(before >= 3);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.restart(i);
        fleet.run(milliseconds(300));
        sendCrashing(fleet, i);
    }
    // The quarantine of 20 s is not over.
    CHECK(fleet.crashes == before);
}

// Guards against quarantines that are gone when no instance is left that knows them.
TEST_CASE(
        "mass restart: a request that crashes targets stays refused although all instances are new")
{
    GatewayFleet fleet(plainFleet());
    fleet.setCrashing(crashingPath);
    for (std::size_t i = 0; i < 4; ++i) {
        sendCrashing(fleet, i);
    }
    const std::size_t before = fleet.crashes;
    REQUIRE(before >= 3);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.restart(i);
    }
    fleet.run(milliseconds(300));
    for (std::size_t i = 0; i < 6; ++i) {
        sendCrashing(fleet, i);
    }
    CHECK(fleet.crashes == before);
}

TEST_CASE("an instance that was paused learns of requests that crashed targets meanwhile")
{
    GatewayFleet fleet(plainFleet());
    fleet.setCrashing(crashingPath);
    fleet.kill(5);
    for (std::size_t i = 0; i < 3; ++i) {
        sendCrashing(fleet, i);
    }
    const std::size_t before = fleet.crashes;
    REQUIRE(before >= 3);
    fleet.revive(5);
    fleet.run(milliseconds(300));
    sendCrashing(fleet, 5);
    CHECK(fleet.crashes == before);
}

TEST_CASE("a restarted instance learns what members know before it has met a target")
{
    GatewayHarness member(config(), targets());
    crashTargets(member);
    crashTargets(member);
    member.apply(LimitsReported {{InstanceId("x"), 1, {{TargetId("t0"), 0.25}}}});
    member.sendRequest("/p/x");
    auto leaving = std::make_shared<ForwardedReply>();
    leaving->kind = ReplyClass::Success;
    leaving->status = 200;
    leaving->signature = "s";
    leaving->isTargetLeaving = true;
    const TargetId leavingTarget = member.started.back().target;
    member.apply(AttemptReplied {member.started.back().attempt, leaving});
    member.advance(milliseconds(400));
    const LearnedState state = stateOf(member);
    CHECK(state.suspects.size() == 1);
    CHECK(state.limits == std::vector<StatedLimit> {{TargetId("t0"), 0.25}});
    CHECK(state.leavingTargets == std::vector<LeavingTarget> {{leavingTarget, 1}});

    // It may hear from the member before it has read the store.
    for (const bool isEarly : {true, false}) {
        GatewayHarness restarted(restartedSettings());
        if (isEarly) {
            restarted.apply(LearnedStateReceived {"127.0.0.1:7001", state});
        }
        restarted.answerRead(config(), targets());
        if (!isEarly) {
            restarted.apply(LearnedStateReceived {"127.0.0.1:7001", state});
        }
        CHECK(crashTargets(restarted) == 0);
        CHECK(restarted.gateway.status(restarted.now).limitedTargets == 1);
        for (int i = 0; i < 20; ++i) {
            restarted.sendRequest("/p/y");
            CHECK(restarted.started.back().target != leavingTarget);
            restarted.reply(restarted.started.back().attempt, ReplyClass::Success);
            restarted.advance(milliseconds(50));
        }
    }
}

TEST_CASE("a target that has started again is not taken for the one that was leaving")
{
    GatewayHarness harness = restartedHarness();
    LearnedState state;
    state.leavingTargets = {{TargetId("t0"), 0}, {TargetId("t1"), 0}, {TargetId("t2"), 0}};
    harness.apply(LearnedStateReceived {"127.0.0.1:7001", state});
    harness.sendRequest("/p/x");
    CHECK(harness.started.size() == 1);
}

TEST_CASE("the instance of a whole fleet that starts for the first time asks nobody")
{
    const GatewayHarness harness(config(), targets());
    CHECK(harness.learnedStateRequests.empty());
}

TEST_CASE("a restarted instance asks the seeds, then members, until three have replied")
{
    GatewayHarness harness = restartedHarness();
    REQUIRE_FALSE(harness.learnedStateRequests.empty());
    CHECK(harness.learnedStateRequests[0].receivers == std::vector<std::string> {"10.0.0.9:7000"});
    const auto &asked = harness.learnedStateRequests.back().receivers;
    CHECK(asked.size() == 3);
    for (const std::string &member : std::vector(asked)) {
        harness.apply(LearnedStateReceived {member, {}});
    }
    const std::size_t requests = harness.learnedStateRequests.size();
    harness.advance(std::chrono::seconds(10));
    CHECK(harness.learnedStateRequests.size() == requests);
}

TEST_CASE("the reply of the only seed does not keep an instance from asking members")
{
    GatewayHarness harness(restartedSettings());
    harness.apply(LearnedStateReceived {"10.0.0.9:7000", {}});
    harness.answerRead(config(), targets());
    harness.answerWatch({GatewayHarness::memberChange("b", "127.0.0.1:7001"),
                         GatewayHarness::memberChange("c", "127.0.0.1:7002")});
    REQUIRE(harness.learnedStateRequests.size() >= 2);
    CHECK(harness.learnedStateRequests.back().receivers.size() == 2);
}

// Guards against an instance that stops asking because those that started with it know nothing.
TEST_CASE("members that are asking themselves are asked again, and so are those that don't reply")
{
    GatewayHarness harness = restartedHarness();
    const std::size_t first = harness.learnedStateRequests.size();
    LearnedState incomplete;
    incomplete.isComplete = false;
    for (const char *member : {"127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"}) {
        harness.apply(LearnedStateReceived {member, incomplete});
    }
    harness.advance(milliseconds(700));
    REQUIRE(harness.learnedStateRequests.size() > first);
    std::set<std::string> asked;
    for (const RequestLearnedState &request : harness.learnedStateRequests) {
        asked.insert(request.receivers.begin(), request.receivers.end());
    }
    CHECK(asked.size() == 5);
    // Members of an older version never reply.
    harness.advance(std::chrono::seconds(20));
    const std::size_t requests = harness.learnedStateRequests.size();
    harness.advance(std::chrono::seconds(60));
    CHECK(harness.learnedStateRequests.size() == requests);
    CHECK(requests < 30);
}

TEST_CASE("an instance that is asking itself says so")
{
    GatewayHarness harness = restartedHarness();
    CHECK_FALSE(stateOf(harness).isComplete);
    harness.advance(std::chrono::seconds(10));
    CHECK(stateOf(harness).isComplete);
}
