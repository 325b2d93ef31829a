#include "gateway_fixture.h"
#include "logic/gateway/store_answer_time.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

TEST_CASE("a slow store gets more time to answer on a kept connection")
{
    constexpr Duration limit = milliseconds(1500);
    StoreAnswerTime answerTime;
    CHECK(answerTime.keptConnectionTimeout(limit) == milliseconds(500));
    answerTime.onAnswered(milliseconds(4));
    CHECK(answerTime.keptConnectionTimeout(limit) == milliseconds(500));
    answerTime.onAnswered(milliseconds(320));
    CHECK(answerTime.keptConnectionTimeout(limit) == milliseconds(960));
    answerTime.onAnswered(milliseconds(800));
    CHECK(answerTime.keptConnectionTimeout(limit) == limit);
    answerTime.onAnswered(milliseconds(4));
    CHECK(answerTime.keptConnectionTimeout(limit) == milliseconds(500));
}

// Guards against an instance that learns nothing from the store while it waits on a dead
// connection.
TEST_CASE(
        "dead connections: an unanswered call is repeated at once and without waiting for changes")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}, 5), {target("t", "g")});
    harness.advance(milliseconds(400));
    StoreAnswer unanswered;
    unanswered.status = StoreCallStatus::NoAnswer;
    unanswered.onKeptConnection = true;
    REQUIRE(harness.answerStore<WatchStore>(unanswered));
    CHECK_FALSE(harness.gateway.status(harness.now).storeUnavailable);
    const auto repeated = std::ranges::find_if(harness.calls, [](const CallStore &call) {
        return std::holds_alternative<WatchStore>(call.call);
    });
    REQUIRE(repeated != harness.calls.end());
    CHECK(std::get<WatchStore>(repeated->call).wait == Duration(0));

    SECTION("a failure on a new connection counts as an outage")
    {
        unanswered.onKeptConnection = false;
        REQUIRE(harness.answerStore<WatchStore>(unanswered));
        CHECK(harness.gateway.status(harness.now).storeUnavailable);
        CHECK_FALSE(harness.answerStore<WatchStore>(unanswered));
    }
    SECTION("after an answer, calls wait for changes again")
    {
        harness.answerStore<WatchStore>({StoreCallStatus::Done, {}, harness.revision});
        harness.advance(milliseconds(400));
        const auto next = std::ranges::find_if(harness.calls, [](const CallStore &call) {
            return std::holds_alternative<WatchStore>(call.call);
        });
        REQUIRE(next != harness.calls.end());
        CHECK(std::get<WatchStore>(next->call).wait > Duration(0));
    }
}

// Guards against an undisturbed instance that learns of a configuration too late, because its own
// call and its connection to the store fail one after the other.
TEST_CASE("dead connections: a later member's own call ends within the reaction time")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}, 5), {target("t", "g")});
    harness.answerWatch({GatewayHarness::memberChange("0", "127.0.0.1:7009"),
                         GatewayHarness::memberChange("1", "127.0.0.1:7008"),
                         GatewayHarness::memberChange("2", "127.0.0.1:7007"),
                         GatewayHarness::memberChange("3", "127.0.0.1:7006"),
                         GatewayHarness::memberChange("a", "127.0.0.1:7000")});
    harness.calls.clear();
    StoreUpdateReceived update {"127.0.0.1:7009", {harness.revision, harness.revision, {}}};
    harness.apply(update);
    const Instant lastUpdateAt = harness.now;
    while (harness.calls.empty()) {
        harness.advance(milliseconds(10));
    }
    REQUIRE(std::holds_alternative<WatchStore>(harness.calls.back().call));
    constexpr Duration reactionTime = std::chrono::seconds(3);
    CHECK(harness.now - lastUpdateAt + harness.calls.back().keptConnectionTimeout < reactionTime);
}
