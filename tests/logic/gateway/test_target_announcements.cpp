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
