// Requests whose route or account allows only some regions.

#include "tests/logic/gateway/gateway_fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

TargetRecord targetIn(const std::string &domain, const std::string &id,
                      const std::string &group = "g")
{
    TargetRecord record = target(id, group);
    record.failureDomain = FailureDomain(domain);
    return record;
}

std::vector<Region> regions(std::initializer_list<const char *> names)
{
    std::vector<Region> list;
    for (const char *name : names) {
        list.emplace_back(name);
    }
    return list;
}

/// The domains x and z are in the region north, y is in south, and the region of u is unknown.
GatewaySettings settingsWithRegions()
{
    GatewaySettings settings = GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)});
    settings.failureDomain = FailureDomain("x");
    settings.regions = {{FailureDomain("x"), Region("north")},
                        {FailureDomain("z"), Region("north")},
                        {FailureDomain("y"), Region("south")}};
    return settings;
}

RoutingConfig configWith(std::vector<Region> routeRegions, std::vector<Region> accountRegions)
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    config.routes[0].allowedRegions = std::move(routeRegions);
    ClientAccount account;
    account.name = "acme";
    account.keys = {"k"};
    account.allowedRegions = std::move(accountRegions);
    config.accounts.push_back(std::move(account));
    return config;
}

GatewayHarness gatewayWith(std::vector<Region> routeRegions, std::vector<Region> accountRegions)
{
    return {settingsWithRegions(),
            configWith(std::move(routeRegions), std::move(accountRegions)),
            {targetIn("x", "tx"), targetIn("y", "ty"), targetIn("z", "tz"), targetIn("u", "tu")}};
}

ExchangeId sendRequest(GatewayHarness &harness, const std::string &path)
{
    ForwardedRequest request;
    request.method = "GET";
    request.path = path;
    request.host = "h";
    request.requestId = "r" + std::to_string(++harness.lastExchange);
    request.timeLimit = std::chrono::seconds(2);
    request.accountKey = "k";
    const ExchangeId id(harness.lastExchange);
    harness.apply(
            RequestArrived {id, std::make_shared<const ForwardedRequest>(std::move(request)), {}});
    return id;
}

/// Sends some requests of the account and returns the targets that get them.
std::set<std::string> usedTargets(GatewayHarness &harness)
{
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        const std::size_t before = harness.started.size();
        sendRequest(harness, "/p/" + std::to_string(i));
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            used.insert(harness.started[at].target.value);
        }
        // Failures make the other allowed targets be tried, by retries too.
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            harness.reply(harness.started[at].attempt,
                          i % 2 == 0 ? ReplyClass::NotRun : ReplyClass::Success);
            used.insert(harness.started.back().target.value);
        }
        harness.advance(milliseconds(50));
    }
    return used;
}

} // namespace

TEST_CASE("regions: without lists every target is used")
{
    GatewayHarness harness = gatewayWith({}, {});
    CHECK(usedTargets(harness) == std::set<std::string> {"tu", "tx", "ty", "tz"});
    CHECK(harness.gateway.status(harness.now).placement.farRegion == 0);
}

TEST_CASE("regions: the list of the route binds, and an unknown region is not allowed")
{
    GatewayHarness harness = gatewayWith(regions({"north"}), {});
    CHECK(usedTargets(harness) == std::set<std::string> {"tx", "tz"});
    CHECK(harness.gateway.status(harness.now).placement.farRegion >= 40);
}

TEST_CASE("regions: the list of the account binds")
{
    GatewayHarness harness = gatewayWith({}, regions({"south"}));
    CHECK(usedTargets(harness) == std::set<std::string> {"ty"});
}

TEST_CASE("regions: the lists of route and account bind both")
{
    GatewayHarness harness = gatewayWith(regions({"north", "south"}), regions({"south", "west"}));
    CHECK(usedTargets(harness) == std::set<std::string> {"ty"});
    GatewayHarness none = gatewayWith(regions({"north"}), regions({"south"}));
    const ExchangeId id = sendRequest(none, "/p/1");
    CHECK(none.started.empty());
    REQUIRE(none.answerOf(id));
    CHECK(none.answerOf(id)->status == 503);
    CHECK(none.answerOf(id)->detail.starts_with("not run"));
}

TEST_CASE("regions: a gathered query that can't be complete in them sends nothing")
{
    RoutingConfig config = configOf({gatherRoute("/g/", 2, 1.0)});
    config.routes[0].allowedRegions = regions({"north"});
    GatewayHarness harness(settingsWithRegions(), config,
                           {targetIn("x", "t0", "shard0"), targetIn("y", "t1", "shard1")});
    const ExchangeId id = harness.sendRequest("/g/1");
    CHECK(harness.started.empty());
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
}

TEST_CASE("regions: help is asked only of members in allowed regions or in the own one")
{
    GatewayHarness harness(
            settingsWithRegions(), configWith(regions({"south"}), {}),
            {targetIn("y", "t1"), targetIn("y", "t2"), targetIn("y", "t3"), targetIn("y", "t4")});
    std::vector<StoreChange> changes;
    for (const auto &[id, domain] : {std::pair("a", "x"), std::pair("b", "y"), std::pair("c", "z"),
                                     std::pair("d", "u"), std::pair("e", "w")}) {
        StoreChange change = GatewayHarness::memberChange(id, std::string("127.0.0.1:70") + id);
        change.content = MemberRecord {InstanceId(id), std::string("127.0.0.1:70") + id,
                                       FailureDomain(domain)};
        changes.push_back(change);
    }
    harness.answerWatch(changes);
    // No target can be reached, so that the path is down and members are asked.
    for (int i = 0; i < 40; ++i) {
        const std::size_t probes = harness.probes.size();
        const std::size_t before = harness.started.size();
        sendRequest(harness, "/p/" + std::to_string(i));
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            harness.apply(AttemptEnded {harness.started[at].attempt, AttemptEndKind::Unreachable});
        }
        for (std::size_t at = probes; at < harness.probes.size(); ++at) {
            harness.apply(PathProbed {harness.probes[at].number, false});
        }
        harness.advance(milliseconds(60));
    }
    REQUIRE_FALSE(harness.inquiries.empty());
    std::set<std::string> asked;
    for (const SendInquiry &inquiry : harness.inquiries) {
        asked.insert(inquiry.receiver);
    }
    // b is in an allowed region, c in the own one.
    CHECK(asked == std::set<std::string> {"127.0.0.1:70b", "127.0.0.1:70c"});
}
