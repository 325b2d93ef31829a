// What targets say of themselves in their replies.

#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

GatewayHarness gatewayWith(const std::vector<TargetRecord> &targets)
{
    return GatewayHarness(configOf({plainRoute("/p/", "g", true)}, 5), targets);
}

/// Sends a request, lets its target reply and returns the target.
TargetId exchangeWith(GatewayHarness &harness, const ForwardedReply &reply)
{
    const std::size_t before = harness.started.size();
    harness.sendRequest("/p/x");
    REQUIRE(harness.started.size() == before + 1);
    const StartAttempt attempt = harness.started.back();
    harness.apply(AttemptReplied {attempt.attempt, std::make_shared<ForwardedReply>(reply)});
    return attempt.target;
}

ForwardedReply signedReply()
{
    ForwardedReply reply;
    reply.kind = ReplyClass::Success;
    reply.status = 200;
    reply.signature = "s";
    return reply;
}

std::set<TargetId> usedTargets(GatewayHarness &harness)
{
    std::set<TargetId> used;
    for (int i = 0; i < 20; ++i) {
        const std::size_t before = harness.started.size();
        harness.sendRequest("/p/y" + std::to_string(i));
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            used.insert(harness.started[at].target);
            harness.reply(harness.started[at].attempt, ReplyClass::Success);
        }
    }
    return used;
}

} // namespace

// Guards against requests to a target that ends soon, when its replies say so before the store
// does.
TEST_CASE("planned stop: a target whose reply says that it is leaving gets no new requests")
{
    GatewayHarness harness = gatewayWith({target("t", "g"), target("u", "g")});
    ForwardedReply leaving = signedReply();
    leaving.isTargetLeaving = true;
    SECTION("in a success") { }
    SECTION("in a refusal")
    {
        leaving.kind = ReplyClass::NotRun;
        leaving.status = 503;
        leaving.signature.clear();
    }
    const std::size_t before = harness.started.size();
    harness.sendRequest("/p/x");
    const StartAttempt attempt = harness.started.at(before);
    harness.apply(AttemptReplied {attempt.attempt, std::make_shared<ForwardedReply>(leaving)});
    const std::set<TargetId> others = usedTargets(harness);
    CHECK_FALSE(others.contains(attempt.target));
    CHECK(others.size() == 1);

    // The entry in the store is older than the reply.
    TargetRecord entry = target(attempt.target.value, "g");
    entry.warmupLeft = milliseconds(100);
    harness.answerWatch({GatewayHarness::targetChange(entry, 0)});
    CHECK_FALSE(usedTargets(harness).contains(attempt.target));
    harness.answerWatch({GatewayHarness::removal(attempt.target.value)});
    harness.answerWatch({GatewayHarness::targetChange(entry, 0)});
    CHECK_FALSE(usedTargets(harness).contains(attempt.target));

    // Another process under the same id is not leaving.
    entry.startedAtMs = 2;
    harness.answerWatch({GatewayHarness::targetChange(entry, 0)});
    CHECK(usedTargets(harness).contains(attempt.target));
}

TEST_CASE("a reply of another process says nothing about the target")
{
    GatewayHarness harness = gatewayWith({target("t", "g")});
    ForwardedReply reply = signedReply();
    reply.isTargetLeaving = true;
    SECTION("the address belongs to another target")
    {
        reply.kind = ReplyClass::NotRun;
        reply.otherInstance = true;
    }
    SECTION("the reply is not the target's")
    {
        reply.kind = ReplyClass::Unusable;
    }
    exchangeWith(harness, reply);
    harness.advance(milliseconds(500));
    CHECK_FALSE(usedTargets(harness).empty());
}

namespace {

ForwardedReply refusalWithPause(Duration pause)
{
    ForwardedReply reply;
    reply.kind = ReplyClass::NotRun;
    reply.status = 503;
    reply.requestedPause = pause;
    return reply;
}

} // namespace

// Guards against further requests to an overloaded target that asked for a pause.
TEST_CASE("overload: a target that asks for a pause gets no requests until it ends")
{
    GatewayHarness harness = gatewayWith({target("t", "g"), target("u", "g")});
    const std::size_t before = harness.started.size();
    harness.sendRequest("/p/x");
    const StartAttempt attempt = harness.started.at(before);
    harness.apply(AttemptReplied {
            attempt.attempt,
            std::make_shared<ForwardedReply>(refusalWithPause(std::chrono::seconds(2)))});
    harness.advance(milliseconds(1900));
    CHECK_FALSE(usedTargets(harness).contains(attempt.target));
    harness.advance(milliseconds(200));
    CHECK(usedTargets(harness).contains(attempt.target));
}

TEST_CASE("overload: a request whose only target paused is refused at once as not run")
{
    GatewayHarness harness = gatewayWith({target("t", "g")});
    exchangeWith(harness, refusalWithPause(std::chrono::seconds(2)));
    harness.advance(milliseconds(600));
    const std::size_t before = harness.started.size();
    const ExchangeId id = harness.sendRequest("/p/z");
    CHECK(harness.started.size() == before);
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
    CHECK(harness.answerOf(id)->retryAfter > Duration(0));
}

// Guards against parts that are sent for an answer that can't reach its minimum coverage.
TEST_CASE("overload: a query is refused before its parts are sent if too many shards paused")
{
    constexpr std::size_t shards = 4;
    GatewayHarness harness(configOf({gatherRoute("/q/", shards, 0.75)}), replicas(shards, 1));
    harness.sendRequest("/q/1");
    REQUIRE(harness.started.size() == shards);
    for (std::size_t i = 0; i < shards; ++i) {
        const AttemptId attempt = harness.started[i].attempt;
        if (i < 2) {
            harness.apply(AttemptReplied {
                    attempt,
                    std::make_shared<ForwardedReply>(refusalWithPause(std::chrono::seconds(2)))});
        } else {
            harness.reply(attempt, ReplyClass::Success);
        }
    }
    harness.advance(milliseconds(600));
    const std::size_t before = harness.started.size();
    const ExchangeId id = harness.sendRequest("/q/2");
    CHECK(harness.started.size() == before);
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
}
