// When a gateway takes targets for cold, and what it sends to them then.

#include "tests/logic/gateway/gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;
using std::chrono::seconds;

namespace {

constexpr const char *member = "127.0.0.1:7001";

RoutingConfig coldConfig(std::uint64_t version = 1)
{
    RoutingConfig config =
            configOf({plainRoute("/p/", "g", true), plainRoute("/w/", "w", true)}, version);
    config.coldLimits[GroupName("g")] = {seconds(10), 4.0};
    return config;
}

TargetRecord targetIn(const std::string &domain, const std::string &id,
                      Duration warmupLeft = Duration(0), std::int64_t startedAtMs = 1,
                      const std::string &group = "g")
{
    TargetRecord record = target(id, group);
    record.failureDomain = FailureDomain(domain);
    record.warmupLeft = warmupLeft;
    record.startedAtMs = startedAtMs;
    return record;
}

std::vector<StoreChange> membersAB()
{
    return {GatewayHarness::memberChange("a", "127.0.0.1:7000"),
            GatewayHarness::memberChange("b", member)};
}

/// A gateway with members, as shares of cold limits are divided among them.
GatewayHarness gatewayWith(std::vector<TargetRecord> targets)
{
    GatewayHarness harness(coldConfig(), std::move(targets));
    harness.answerWatch(membersAB());
    return harness;
}

StoreChange evacuation(const std::string &domain, bool isRemoved)
{
    StoreChange change;
    change.kind = StoreKeyKind::Evacuation;
    change.id = domain;
    change.key = "op/evacuate/" + domain;
    change.removed = isRemoved;
    return change;
}

std::size_t coldTargets(const GatewayHarness &harness)
{
    return harness.gateway.status(harness.now).coldTargets;
}

} // namespace

TEST_CASE("cold target: its entry says until when, also of a process that becomes cold again")
{
    GatewayHarness harness = gatewayWith({targetIn("x", "t", seconds(5)), targetIn("x", "u")});
    CHECK(coldTargets(harness) == 1);
    harness.advance(seconds(5));
    CHECK(coldTargets(harness) == 0);
    harness.updates.clear();
    harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "u", seconds(8)), 0)});
    CHECK(coldTargets(harness) == 1);
    // The other members don't watch the store and are told.
    REQUIRE(harness.updates.size() == 1);
    REQUIRE(harness.updates[0].update->changes.size() == 1);
    CHECK(harness.updates[0].update->changes[0].id == "u");
    // A heartbeat of the cold target is no news for them.
    harness.updates.clear();
    harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "u", seconds(7)), 0)});
    REQUIRE(harness.updates.size() == 1);
    CHECK(harness.updates[0].update->changes.empty());
}

TEST_CASE("cold target: a new process is cold, one whose entry was written again is not")
{
    GatewayHarness harness = gatewayWith({targetIn("x", "t"), targetIn("x", "u")});
    REQUIRE(coldTargets(harness) == 0);
    SECTION("a new target")
    {
        harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "v"), 0)});
        CHECK(coldTargets(harness) == 1);
        harness.advance(seconds(10));
        CHECK(coldTargets(harness) == 0);
    }
    SECTION("a new process under a known id")
    {
        harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "t", Duration(0), 2), 0)});
        CHECK(coldTargets(harness) == 1);
    }
    SECTION("an entry that had expired")
    {
        harness.answerWatch({GatewayHarness::removal("t")});
        harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "t"), 0)});
        CHECK(coldTargets(harness) == 0);
    }
}

TEST_CASE("cold target: all targets of a domain are cold after all of them were away")
{
    GatewayHarness harness =
            gatewayWith({targetIn("x", "t"), targetIn("x", "u"), targetIn("y", "v")});
    harness.answerWatch({GatewayHarness::removal("t"), GatewayHarness::removal("u")});
    harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "t"), 0)});
    harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "u"), 0)});
    CHECK(coldTargets(harness) == 2);
}

TEST_CASE("cold target: a domain's targets are cold after its evacuation")
{
    GatewayHarness harness = gatewayWith(
            {targetIn("x", "t"), targetIn("y", "v"), targetIn("x", "w", Duration(0), 1, "w")});
    harness.answerWatch({evacuation("x", false)});
    harness.answerWatch({evacuation("x", true)});
    CHECK(coldTargets(harness) == 1);
    harness.advance(seconds(10));
    CHECK(coldTargets(harness) == 0);
}

TEST_CASE("cold target: what is beyond the limit goes to other replicas or is refused as not run")
{
    GatewayHarness harness = gatewayWith({targetIn("x", "t", seconds(9))});
    const std::size_t before = harness.started.size();
    std::vector<ExchangeId> ids;
    for (int i = 0; i < 50; ++i) {
        ids.push_back(harness.sendRequest("/p/" + std::to_string(i)));
    }
    harness.advance(milliseconds(100));
    CHECK(harness.started.size() - before <= 2);
    std::size_t refused = 0;
    for (const ExchangeId id : ids) {
        const auto answer = harness.answerOf(id);
        refused += answer && answer->status == 503 && answer->detail.starts_with("not run") ? 1 : 0;
    }
    CHECK(refused >= 48);
    CHECK(harness.gateway.status(harness.now).placement.cold >= 48);
}

TEST_CASE("cold target: a group without a limit is served as before")
{
    GatewayHarness harness = gatewayWith({targetIn("x", "t", seconds(9), 1, "w")});
    for (int i = 0; i < 50; ++i) {
        const std::size_t before = harness.started.size();
        harness.sendRequest("/w/" + std::to_string(i));
        REQUIRE(harness.started.size() == before + 1);
        harness.reply(harness.started.back().attempt, ReplyClass::Success);
    }
    CHECK(coldTargets(harness) == 0);
}

TEST_CASE("cold target: an instance that starts hears from a member until when a target is cold")
{
    GatewayHarness known = gatewayWith({targetIn("x", "t"), targetIn("y", "v")});
    known.answerWatch({evacuation("x", false)});
    known.answerWatch({evacuation("x", true)});
    known.apply(LearnedStateRequested {member});
    REQUIRE(known.learnedStates.size() == 1);
    // The store's entries don't say that the target is cold.
    GatewayHarness fresh = gatewayWith({targetIn("x", "t"), targetIn("y", "v")});
    REQUIRE(coldTargets(fresh) == 0);
    fresh.apply(LearnedStateReceived {member, known.learnedStates[0].state});
    CHECK(coldTargets(fresh) == 1);
    // A heartbeat does not end it.
    fresh.answerWatch({GatewayHarness::targetChange(targetIn("x", "t"), 0)});
    CHECK(coldTargets(fresh) == 1);
    fresh.advance(seconds(10));
    CHECK(coldTargets(fresh) == 0);
}

TEST_CASE("cold target: a configuration that changes the limit applies to cold targets")
{
    GatewayHarness harness = gatewayWith({targetIn("x", "t", seconds(9))});
    REQUIRE(coldTargets(harness) == 1);
    RoutingConfig config = coldConfig(2);
    config.coldLimits.clear();
    harness.answerWatch({GatewayHarness::configChange(config, 0)});
    CHECK(coldTargets(harness) == 0);
    harness.answerWatch({GatewayHarness::configChange(coldConfig(3), 0)});
    CHECK(coldTargets(harness) == 1);
}
