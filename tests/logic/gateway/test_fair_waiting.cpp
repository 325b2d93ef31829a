// Tests the order of the parts that wait for a target, and the refusal of those that wait in vain.

#include "gateway_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// Waiting parts take turns only in a configuration with accounts. Its routes need no keys here.
RoutingConfig withAccounts(RoutingConfig config)
{
    config.accounts.push_back({"account", {"key"}});
    for (Route &route : config.routes) {
        route.isPublic = true;
    }
    return config;
}

/// One route to one group whose target takes one request at a time.
RoutingConfig narrowConfig()
{
    RoutingConfig config = configOf({plainRoute("/a/", "shard0", false)});
    config.connectionCaps[GroupName("shard0")] = 1;
    return withAccounts(config);
}

ExchangeId sendFrom(GatewayHarness &harness, const std::string &host,
                    const std::string &path = "/a/x")
{
    harness.path.host = host;
    return harness.sendRequest(path);
}

/// Lets the target answer its running request, and the next one start.
void answerRunning(GatewayHarness &harness)
{
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
}

/// Keeps one request waiting while others complete, one in 10 ms, so that the rate is known.
void measureRate(GatewayHarness &harness)
{
    sendFrom(harness, "busy");
    for (int i = 0; i < 30; ++i) {
        sendFrom(harness, "busy");
        harness.advance(milliseconds(10));
        answerRunning(harness);
    }
}

std::size_t countLogged(const GatewayHarness &harness, LogEvent event)
{
    return static_cast<std::size_t>(std::ranges::count(harness.logs, event, &WriteLog::event));
}

} // namespace

// Guards against a caller that is served later because another one sends more.
TEST_CASE("callers that wait for a target take turns")
{
    GatewayHarness harness(narrowConfig(), {target("t", "shard0")});
    sendFrom(harness, "many");
    for (int i = 0; i < 4; ++i) {
        sendFrom(harness, "many");
    }
    const ExchangeId few = sendFrom(harness, "few");
    REQUIRE(harness.started.size() == 1);
    answerRunning(harness);
    answerRunning(harness);
    answerRunning(harness);
    CHECK(harness.answerOf(few).has_value());
}

// Guards against waits that are certain to be in vain, and against callers that return at once.
TEST_CASE("a request that can't be sent in time is refused at once")
{
    GatewayHarness harness(narrowConfig(), {target("t", "shard0")});
    measureRate(harness);
    REQUIRE(harness.gateway.status(harness.now).counts.refusedTooLate == 0);
    std::vector<ExchangeId> sent;
    for (int i = 0; i < 60; ++i) {
        sent.push_back(sendFrom(harness, "many"));
    }
    CHECK_FALSE(harness.answerOf(sent.front()).has_value());
    const auto refused = harness.answerOf(sent.back());
    REQUIRE(refused.has_value());
    CHECK(refused->status == 503);
    CHECK(refused->detail.starts_with("not run"));
    CHECK(refused->retryAfter > milliseconds(40));
    const GatewayStatus status = harness.gateway.status(harness.now);
    CHECK(status.counts.refusedTooLate > 20);
    // About 4 can be sent until their time has passed; clearly more wait.
    CHECK(status.waitingByRank.at(0) > 8);
    CHECK(countLogged(harness, LogEvent::WaitTooLong) == status.counts.refusedTooLate);

    // A caller that sends little waits instead, and is the next one.
    const ExchangeId few = sendFrom(harness, "few");
    CHECK_FALSE(harness.answerOf(few).has_value());
    answerRunning(harness);
    answerRunning(harness);
    answerRunning(harness);
    CHECK(harness.answerOf(few).has_value());
}

// Guards against refusals that displace the caller that came later but is not the last by turns.
TEST_CASE("a caller that sends little displaces the last request of another one")
{
    GatewayHarness harness(narrowConfig(), {target("t", "shard0")});
    measureRate(harness);
    std::vector<ExchangeId> sent;
    while (harness.gateway.status(harness.now).counts.refusedTooLate == 0) {
        sent.push_back(sendFrom(harness, "many"));
    }
    sent.pop_back();
    sendFrom(harness, "few");
    harness.advance(Duration(0));
    const auto answered = harness.answerOf(sent.back());
    REQUIRE(answered.has_value());
    CHECK(answered->status == 503);
    CHECK(answered->detail.starts_with("not run"));
}

// Guards against parts of ended requests that count as waiting.
TEST_CASE("a request whose caller has left no longer waits")
{
    GatewayHarness harness(narrowConfig(), {target("t", "shard0")});
    sendFrom(harness, "a");
    const ExchangeId left = sendFrom(harness, "a");
    const ExchangeId next = sendFrom(harness, "a");
    harness.apply(CallerLeft {left});
    CHECK(harness.gateway.status(harness.now).waitingByRank.at(0) == 1);
    answerRunning(harness);
    answerRunning(harness);
    CHECK(harness.answerOf(next).has_value());
    CHECK(harness.started.size() == 2);
}

// Guards against work that is done at some targets for an answer that can't reach its coverage.
TEST_CASE("a gathered request is refused before it is sent if the missing parts are too many")
{
    RoutingConfig config =
            withAccounts(configOf({plainRoute("/a/", "shard0", false), gatherRoute("/all/", 2, 1.0),
                                   gatherRoute("/some/", 2, 0.5)}));
    config.connectionCaps[GroupName("shard0")] = 1;
    GatewayHarness harness(config, {target("t", "shard0"), target("u", "shard1")});
    measureRate(harness);
    for (int i = 0; i < 60; ++i) {
        sendFrom(harness, "many");
    }
    const std::size_t started = harness.started.size();
    const ExchangeId all = sendFrom(harness, "many", "/all/x");
    const auto refused = harness.answerOf(all);
    REQUIRE(refused.has_value());
    CHECK(refused->status == 503);
    CHECK(harness.started.size() == started);

    const ExchangeId some = sendFrom(harness, "many", "/some/x");
    CHECK_FALSE(harness.answerOf(some).has_value());
    CHECK(harness.started.size() == started + 1);
}

// Guards against a change of what happens while no request waits.
TEST_CASE("nothing is refused early while the targets have capacity")
{
    GatewayHarness harness(withAccounts(configOf({plainRoute("/a/", "shard0", false)})),
                           {target("t", "shard0")});
    for (int i = 0; i < 200; ++i) {
        const ExchangeId id = sendFrom(harness, "busy");
        harness.advance(milliseconds(5));
        answerRunning(harness);
        CHECK(harness.answerOf(id)->status == 200);
    }
    CHECK(harness.gateway.status(harness.now).waitingByRank.empty());
}

// Guards against a change for deployments without client accounts.
TEST_CASE("without client accounts waiting requests are served first come, first served")
{
    RoutingConfig config = narrowConfig();
    config.accounts.clear();
    GatewayHarness harness(config, {target("t", "shard0")});
    measureRate(harness);
    std::vector<ExchangeId> requests;
    for (int i = 0; i < 60; ++i) {
        requests.push_back(sendFrom(harness, i == 59 ? "few" : "many"));
    }
    for (const ExchangeId &request : requests) {
        CHECK_FALSE(harness.answerOf(request).has_value());
    }
    answerRunning(harness);
    answerRunning(harness);
    CHECK(harness.answerOf(requests.front()).has_value());
    CHECK_FALSE(harness.answerOf(requests.back()).has_value());
}
