// Guards against late answers of gathered requests that meet a straggler. The answer goes out with
// the parts that have arrived, so it must be sent early enough to reach its caller within the
// objective: the network path and this instance's own delays count as well.

#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr std::size_t shards = 10;
constexpr Duration objective = milliseconds(150);

GatewayHarness harnessWithObjective()
{
    Route route = gatherRoute("/g/", shards, 0.5);
    route.objective = objective;
    return GatewayHarness(configOf({route}), replicas(shards, 1));
}

/// Sends a request of which one part is never answered. Returns how long after its arrival the
/// answer is sent, with timers that fire `timerDelay` late.
Duration answerDelayWithStraggler(GatewayHarness &harness, const CallerPath &path,
                                  Duration timerDelay = {})
{
    harness.path = path;
    const Instant arrivedAt = harness.now;
    const std::size_t firstAttempt = harness.started.size();
    const ExchangeId id = harness.sendRequest("/g/x");
    harness.advance(milliseconds(20));
    for (std::size_t i = firstAttempt; i + 1 < firstAttempt + shards; ++i) {
        harness.reply(harness.started[i].attempt, ReplyClass::Success, 200, "", "s");
    }
    while (!harness.answerOf(id)) {
        harness.now = std::max(harness.now, harness.gateway.nextTimer() + timerDelay);
        harness.apply(TimerDue {});
    }
    return harness.now - arrivedAt;
}

} // namespace

TEST_CASE("an answer with missing parts leaves time for the way to its caller")
{
    const Duration roundTrip = std::chrono::microseconds(6200);
    GatewayHarness harness = harnessWithObjective();
    const Duration delay = answerDelayWithStraggler(harness, {roundTrip, false});
    CHECK(delay + roundTrip <= objective);
    // No part is left out earlier than necessary.
    CHECK(delay + roundTrip > objective - milliseconds(5));
}

TEST_CASE("the caller's connection setup is a part of its waiting time")
{
    const Duration roundTrip = std::chrono::microseconds(6200);
    GatewayHarness harness = harnessWithObjective();
    const Duration delay = answerDelayWithStraggler(harness, {roundTrip, true});
    CHECK(delay + 2 * roundTrip <= objective);
    CHECK(delay + 2 * roundTrip > objective - milliseconds(5));
}

TEST_CASE("a long round trip leaves most of the objective to the targets")
{
    GatewayHarness harness = harnessWithObjective();
    const Duration delay = answerDelayWithStraggler(harness, {milliseconds(400), true});
    CHECK(delay >= objective / 2);
}

TEST_CASE("an instance whose timers fire late sends its answers earlier")
{
    const Duration roundTrip = milliseconds(6);
    const Duration timerDelay = milliseconds(9);
    GatewayHarness harness = harnessWithObjective();
    // The first answer shows the delay.
    CHECK(answerDelayWithStraggler(harness, {roundTrip, false}, timerDelay) + roundTrip
          > objective);
    for (int i = 0; i < 10; ++i) {
        harness.advance(milliseconds(300));
        CHECK(answerDelayWithStraggler(harness, {roundTrip, false}, timerDelay) + roundTrip
              <= objective);
    }
    SECTION("and waits as long as before once they are punctual again")
    {
        harness.advance(std::chrono::seconds(60));
        CHECK(answerDelayWithStraggler(harness, {roundTrip, false}) + roundTrip
              > objective - milliseconds(5));
    }
}

TEST_CASE("an instance that needs long to write answers sends them earlier")
{
    const Duration roundTrip = milliseconds(6);
    const Duration writeDelay = milliseconds(7);
    GatewayHarness harness = harnessWithObjective();
    harness.apply(AnswerWritten {writeDelay});
    harness.advance(milliseconds(300));
    CHECK(answerDelayWithStraggler(harness, {roundTrip, false}) + writeDelay + roundTrip
          <= objective);
}

TEST_CASE("a pause of the process is not mistaken for a usual delay")
{
    const Duration roundTrip = milliseconds(6);
    GatewayHarness harness = harnessWithObjective();
    answerDelayWithStraggler(harness, {roundTrip, false}, std::chrono::seconds(4));
    harness.advance(milliseconds(300));
    CHECK(answerDelayWithStraggler(harness, {roundTrip, false}) >= objective / 2);
}
