#include "tests/logic/gateway/gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr const char *member = "127.0.0.1:7001";

TargetRecord targetIn(const std::string &domain, const std::string &id,
                      const std::string &group = "g")
{
    TargetRecord record = target(id, group);
    record.failureDomain = FailureDomain(domain);
    return record;
}

StoreChange evacuation(const std::string &domain)
{
    StoreChange change;
    change.kind = StoreKeyKind::Evacuation;
    change.id = domain;
    change.key = "op/evacuate/" + domain;
    change.encodedValue = std::make_shared<const std::string>("{}");
    return change;
}

StoreChange evacuationEnd(const std::string &domain)
{
    StoreChange change = evacuation(domain);
    change.removed = true;
    return change;
}

/// A gateway with one target in each of the domains x and y.
GatewayHarness gatewayWithTwoDomains()
{
    return GatewayHarness(configOf({plainRoute("/p/", "g", true)}),
                          {targetIn("x", "tx"), targetIn("y", "ty")});
}

void sendRequests(GatewayHarness &harness, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t before = harness.started.size();
        harness.sendRequest("/p/" + std::to_string(i));
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            harness.reply(harness.started[at].attempt, ReplyClass::Success);
        }
    }
}

/// Sends some requests and returns how many attempts each target gets.
std::map<std::string, std::size_t> targetsInUse(GatewayHarness &harness)
{
    const std::size_t before = harness.started.size();
    sendRequests(harness, 20);
    std::map<std::string, std::size_t> counts;
    for (std::size_t at = before; at < harness.started.size(); ++at) {
        ++counts[harness.started[at].target.value];
    }
    return counts;
}

bool usesOnlyY(GatewayHarness &harness)
{
    const auto counts = targetsInUse(harness);
    return counts.size() == 1 && counts.contains("ty");
}

bool usesBoth(GatewayHarness &harness)
{
    return targetsInUse(harness).size() == 2;
}

StoreAnswer listing(std::uint64_t revision, std::vector<StoreChange> changes)
{
    StoreAnswer answer;
    answer.status = StoreCallStatus::Done;
    answer.revision = revision;
    for (StoreChange &change : changes) {
        change.revision = revision;
    }
    answer.changes = std::move(changes);
    return answer;
}

std::vector<StoreChange> twoDomains()
{
    return {GatewayHarness::configChange(configOf({plainRoute("/p/", "g", true)}), 1),
            GatewayHarness::targetChange(targetIn("x", "tx"), 1),
            GatewayHarness::targetChange(targetIn("y", "ty"), 1)};
}

std::size_t countLogs(const GatewayHarness &harness, LogEvent event)
{
    return static_cast<std::size_t>(
            std::ranges::count(harness.logs, event, [](const WriteLog &log) { return log.event; }));
}

} // namespace

TEST_CASE("evacuation: a domain's targets get no new requests until the key is removed")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    REQUIRE(usesBoth(harness));
    harness.answerWatch({evacuation("x")});
    CHECK(usesOnlyY(harness));
    CHECK(harness.gateway.status(harness.now).evacuatedDomains == 1);
    CHECK(harness.gateway.status(harness.now).placement.evacuated >= 20);
    // A heartbeat of the target must not bring it back.
    harness.answerWatch({GatewayHarness::targetChange(targetIn("x", "tx"), 0)});
    CHECK(usesOnlyY(harness));
    harness.answerWatch({evacuationEnd("x")});
    CHECK(usesBoth(harness));
    CHECK(harness.gateway.status(harness.now).evacuatedDomains == 0);
    CHECK(countLogs(harness, LogEvent::DomainEvacuated) == 1);
    CHECK(countLogs(harness, LogEvent::EvacuationEnded) == 1);
}

TEST_CASE("evacuation: a target that registers in the domain later gets no requests")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    harness.answerWatch({evacuation("x"), GatewayHarness::targetChange(targetIn("x", "tz"), 0)});
    CHECK(usesOnlyY(harness));
}

TEST_CASE("evacuation: a running request ends normally, and its retry goes to another domain")
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    config.routes[0].objective = config.routes[0].timeout = std::chrono::seconds(60);
    GatewayHarness harness(config, {targetIn("x", "tx")});
    const ExchangeId served = harness.sendRequest("/p/1", std::chrono::seconds(60));
    const ExchangeId retried = harness.sendRequest("/p/2", std::chrono::seconds(60));
    REQUIRE(harness.started.size() == 2);
    harness.answerWatch({evacuation("x"), GatewayHarness::targetChange(targetIn("y", "ty"), 0)});
    REQUIRE(harness.started.size() == 2);
    CHECK(harness.closed.empty());
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(served)->status == 200);
    harness.apply(AttemptEnded {harness.started[1].attempt, AttemptEndKind::Lost});
    REQUIRE(harness.started.size() == 3);
    CHECK(harness.started.back().target == TargetId("ty"));
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
    CHECK(harness.answerOf(retried)->status == 200);
}

TEST_CASE("evacuation: a late request is not hedged to the domain")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    sendRequests(harness, 40);
    harness.answerWatch({evacuation("x")});
    const std::size_t before = harness.started.size();
    harness.sendRequest("/p/late");
    harness.advance(milliseconds(500));
    REQUIRE(harness.started.size() == before + 1);
    CHECK(harness.started.back().target == TargetId("ty"));
}

TEST_CASE("evacuation: a group without other replicas is refused at once as not run")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}), {targetIn("x", "tx")});
    harness.answerWatch({evacuation("x")});
    const ExchangeId id = harness.sendRequest("/p/1");
    CHECK(harness.started.empty());
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
    CHECK(harness.answerOf(id)->detail.starts_with("not run"));
}

TEST_CASE("evacuation: a gathered query that can't be complete sends nothing")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 2, 1.0)}),
                           {targetIn("x", "t0", "shard0"), targetIn("y", "t1", "shard1")});
    harness.answerWatch({evacuation("x")});
    const ExchangeId id = harness.sendRequest("/g/1");
    CHECK(harness.started.empty());
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
    CHECK(harness.answerOf(id)->detail.starts_with("not run"));
}

TEST_CASE("evacuation: a request that waits for capacity is answered at once as not run")
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    config.connectionCaps[GroupName("g")] = 1;
    Route &route = config.routes[0];
    route.objective = std::chrono::seconds(60);
    route.timeout = std::chrono::seconds(60);
    route.idempotent = false;
    GatewayHarness harness(config, {targetIn("x", "tx")});
    const ExchangeId running = harness.sendRequest("/p/1", std::chrono::seconds(60));
    const ExchangeId waiting = harness.sendRequest("/p/2", std::chrono::seconds(60));
    REQUIRE(harness.started.size() == 1);
    REQUIRE_FALSE(harness.answerOf(waiting));
    harness.answerWatch({evacuation("x")});
    REQUIRE(harness.answerOf(waiting));
    CHECK(harness.answerOf(waiting)->status == 503);
    CHECK(harness.answerOf(waiting)->detail.starts_with("not run"));
    REQUIRE_FALSE(harness.answerOf(running));
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(running)->status == 200);
    CHECK(harness.started.size() == 1);
}

TEST_CASE("evacuation: a request that waits for a loan is not sent to the domain when it arrives")
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    config.coldLimits[GroupName("g")] = {std::chrono::seconds(60), 1.0};
    TargetRecord cold = targetIn("x", "tx");
    cold.warmupLeft = std::chrono::seconds(60);
    GatewayHarness harness(config, {cold});
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", member)});
    // Once the instance's share is used up, requests wait for a loan.
    std::vector<ExchangeId> ids;
    for (int i = 0; i < 5; ++i) {
        ids.push_back(harness.sendRequest("/p/" + std::to_string(i)));
    }
    REQUIRE_FALSE(harness.limitRequests.empty());
    REQUIRE_FALSE(harness.answerOf(ids.back()));
    const std::size_t before = harness.started.size();
    StoreUpdate update;
    update.fromRevision = harness.revision;
    update.toRevision = harness.revision + 1;
    update.changes = {evacuation("x")};
    update.changes[0].revision = update.toRevision;
    harness.apply(StoreUpdateReceived {member, update});
    REQUIRE(harness.answerOf(ids.back()));
    CHECK(harness.answerOf(ids.back())->status == 503);
    CHECK(harness.answerOf(ids.back())->detail.starts_with("not run"));
    harness.apply(LimitLent {
            harness.limitRequests.back().number, {{TargetId("tx"), 3}}, milliseconds(500)});
    harness.advance(milliseconds(100));
    CHECK(harness.started.size() == before);
}

TEST_CASE("evacuation: a member's delegated request is served in another domain")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    harness.answerWatch({evacuation("x")});
    for (std::uint64_t number = 1; number <= 10; ++number) {
        auto request = std::make_shared<ForwardedRequest>();
        request->method = "GET";
        request->path = "/p/" + std::to_string(number);
        request->host = "h";
        DelegatedRequest query;
        query.number = number;
        query.request = request;
        query.sentAt = harness.now;
        query.objectiveLeft = milliseconds(100);
        query.timeLeft = milliseconds(500);
        harness.apply(RequestDelegated {InstanceId("b"), member, query});
    }
    for (const StartAttempt &attempt : harness.started) {
        CHECK(attempt.target == TargetId("ty"));
    }
}

TEST_CASE("evacuation: a domain is not covering while it is evacuated")
{
    TargetRegistry targets;
    std::vector<GatewayEffect> effects;
    RandomEngine random(1);
    IdSource ids;
    GatewayContext context {Instant(std::chrono::seconds(1)), effects, random, ids};
    const RoutingConfig config = configOf({gatherRoute("/g/", 2, 1.0)});
    for (const char *domain : {"x", "y"}) {
        for (const char *shard : {"shard0", "shard1"}) {
            targets.update(targetIn(domain, std::string(domain) + shard, shard), context.now);
        }
    }
    const std::uint64_t revision = targets.revision();
    targets.beginEvacuation(FailureDomain("x"), context);
    CHECK(targets.coveringDomains(config) == std::vector {FailureDomain("y")});
    // The ranking of coordinators is computed again only if the revision has changed.
    CHECK(targets.revision() != revision);
    targets.endEvacuation(FailureDomain("x"), context);
    CHECK(targets.coveringDomains(config).size() == 2);
}

TEST_CASE("evacuation: it is passed on to members and applies when a member tells it")
{
    GatewayHarness first = gatewayWithTwoDomains();
    first.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                       GatewayHarness::memberChange("b", member)});
    GatewayHarness second = gatewayWithTwoDomains();
    second.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                        GatewayHarness::memberChange("b", member)});
    first.updates.clear();
    first.answerWatch({evacuation("x")});
    REQUIRE(first.updates.size() == 1);
    second.apply(StoreUpdateReceived {member, *first.updates[0].update});
    CHECK(usesOnlyY(second));
    first.updates.clear();
    first.answerWatch({evacuationEnd("x")});
    REQUIRE(first.updates.size() == 1);
    second.apply(StoreUpdateReceived {member, *first.updates[0].update});
    CHECK(usesBoth(second));
}

TEST_CASE("evacuation: an instance that starts hears of it from the store or from a member")
{
    GatewayHarness fresh(GatewayHarness::settingsOf({}));
    std::vector<StoreChange> state = twoDomains();
    state.push_back(evacuation("x"));
    SECTION("from the store")
    {
        fresh.answerStore<ReadStore>(listing(3, state));
    }
    SECTION("from a member")
    {
        GatewayHarness known = gatewayWithTwoDomains();
        known.answerWatch({evacuation("x")});
        known.updates.clear();
        StoreUpdate request;
        request.isStateRequest = true;
        known.apply(StoreUpdateReceived {"127.0.0.1:7000", request});
        REQUIRE(known.updates.size() == 1);
        fresh.apply(StoreUpdateReceived {member, *known.updates[0].update});
    }
    REQUIRE(fresh.gateway.isReady());
    CHECK(usesOnlyY(fresh));
}

TEST_CASE("evacuation: it stays in force while the store does not answer")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    harness.answerWatch({evacuation("x")});
    const Instant end = harness.now + std::chrono::seconds(20);
    StoreAnswer none;
    none.status = StoreCallStatus::NoAnswer;
    while (harness.now < end) {
        harness.advance(milliseconds(100));
        while (harness.answerStore<WatchStore>(none)) { }
    }
    REQUIRE(harness.gateway.status(harness.now).storeUnavailable);
    CHECK(usesOnlyY(harness));
}

TEST_CASE("evacuation: a full read after missed changes begins and ends evacuations")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    const auto readAgain = [&](std::vector<StoreChange> state) {
        harness.advance(milliseconds(1200));
        StoreAnswer tooOld;
        tooOld.status = StoreCallStatus::HistoryGone;
        REQUIRE(harness.answerStore<WatchStore>(tooOld));
        harness.revision += 10;
        REQUIRE(harness.answerStore<ReadStore>(listing(harness.revision, std::move(state))));
    };
    std::vector<StoreChange> state = twoDomains();
    state.push_back(evacuation("x"));
    readAgain(state);
    CHECK(usesOnlyY(harness));
    readAgain(twoDomains());
    CHECK(usesBoth(harness));
}

TEST_CASE("evacuation: after a restore of the store, what it lists is in force")
{
    GatewayHarness harness = gatewayWithTwoDomains();
    const auto restore = [&](std::uint64_t history, std::vector<StoreChange> state) {
        harness.advance(milliseconds(1200));
        StoreAnswer restored = listing(1, {});
        restored.history = history;
        REQUIRE(harness.answerStore<WatchStore>(restored));
        StoreAnswer all = listing(1, std::move(state));
        all.history = history;
        REQUIRE(harness.answerStore<ReadStore>(all));
        harness.revision = 1;
    };
    harness.answerWatch({evacuation("x")});
    REQUIRE(usesOnlyY(harness));
    // The copy is older than the key, which the operator has to write again.
    restore(2, twoDomains());
    CHECK(usesBoth(harness));
    std::vector<StoreChange> state = twoDomains();
    state.push_back(evacuation("x"));
    restore(3, state);
    CHECK(usesOnlyY(harness));
}

TEST_CASE("evacuation: an instance that missed it reads everything when a member's digest differs")
{
    // A member of an older version that read the store left the key out of its update.
    GatewayHarness informed = gatewayWithTwoDomains();
    informed.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                          GatewayHarness::memberChange("b", member)});
    GatewayHarness missed = gatewayWithTwoDomains();
    missed.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                        GatewayHarness::memberChange("b", member)});
    informed.answerWatch({evacuation("x")});
    missed.answerWatch({});
    REQUIRE(informed.revision == missed.revision);
    std::vector<StoreChange> state = twoDomains();
    state.push_back(evacuation("x"));
    state.push_back(GatewayHarness::memberChange("a", "127.0.0.1:7000"));
    state.push_back(GatewayHarness::memberChange("b", member));

    SECTION("the other member sends an update")
    {
        informed.updates.clear();
        informed.answerWatch({});
        REQUIRE(informed.updates.size() == 1);
        missed.calls.clear();
        missed.apply(StoreUpdateReceived {member, *informed.updates[0].update});
    }
    SECTION("the instance itself sends an update, and the receiver tells it")
    {
        missed.updates.clear();
        missed.answerWatch({});
        REQUIRE(missed.updates.size() == 1);
        informed.updates.clear();
        informed.apply(StoreUpdateReceived {member, *missed.updates[0].update});
        REQUIRE(informed.updates.size() == 1);
        CHECK(informed.updates[0].receivers == std::vector<std::string> {member});
        missed.calls.clear();
        missed.apply(StoreUpdateReceived {member, *informed.updates[0].update});
    }
    REQUIRE(missed.answerStore<ReadStore>(listing(missed.revision, state)));
    CHECK(usesOnlyY(missed));
}

TEST_CASE("evacuation: the state of a member that does not know evacuations ends none")
{
    GatewayHarness known = gatewayWithTwoDomains();
    known.answerWatch({});
    known.updates.clear();
    StoreUpdate request;
    request.isStateRequest = true;
    known.apply(StoreUpdateReceived {member, request});
    REQUIRE(known.updates.size() == 1);
    StoreUpdate state = *known.updates[0].update;
    state.evacuationDigest = 0;
    GatewayHarness harness = gatewayWithTwoDomains();
    harness.answerWatch({evacuation("x")});
    StoreAnswer none;
    none.status = StoreCallStatus::NoAnswer;
    for (int i = 0; i < 50 && !harness.gateway.status(harness.now).storeUnavailable; ++i) {
        harness.advance(milliseconds(200));
        while (harness.answerStore<WatchStore>(none)) { }
    }
    REQUIRE(harness.gateway.status(harness.now).storeUnavailable);
    harness.apply(StoreUpdateReceived {member, state});
    CHECK(usesOnlyY(harness));
}
