#include "gateway_fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

GatewayHarness plainHarness(bool idempotent, std::size_t targets = 3)
{
    std::vector<TargetRecord> records;
    for (std::size_t i = 0; i < targets; ++i) {
        records.push_back(target("t" + std::to_string(i), "g"));
    }
    return GatewayHarness(configOf({plainRoute("/p/", "g", idempotent)}), records);
}

std::string record(char c)
{
    return std::string(16, c);
}

} // namespace

TEST_CASE("a target's successful reply is passed on unchanged")
{
    GatewayHarness harness = plainHarness(true);
    const ExchangeId id = harness.sendRequest("/p/x");
    REQUIRE(harness.started.size() == 1);
    harness.reply(harness.started[0].attempt, ReplyClass::Success, 200, "body");
    const auto answer = harness.answerOf(id);
    REQUIRE(answer);
    REQUIRE(answer->forwarded != nullptr);
    CHECK(answer->forwarded->body == "body");
}

TEST_CASE("a request that matches no route is answered with 404 and not sent")
{
    GatewayHarness harness = plainHarness(true);
    const ExchangeId id = harness.sendRequest("/other/x");
    CHECK(harness.answerOf(id)->status == 404);
    CHECK(harness.started.empty());
}

TEST_CASE("an instance without a configuration answers 503 instead of 404")
{
    GatewayHarness harness(configOf({}));
    Gateway fresh(GatewayHarness::settingsOf({}));
    const auto effects =
            fresh.apply(RequestArrived {ExchangeId(1), std::make_shared<const ForwardedRequest>()},
                        harness.now);
    // One effect writes a log entry, the other answers the caller.
    REQUIRE(effects.size() == 2);
    const auto &answer = std::get<AnswerExchange>(effects.back());
    CHECK(answer.reply.status == 503);
    CHECK(answer.reply.retryAfter > Duration(0));
    CHECK_FALSE(fresh.isReady());
}

TEST_CASE("a non-idempotent request is not retried after its connection broke")
{
    GatewayHarness harness = plainHarness(false);
    const ExchangeId id = harness.sendRequest("/p/x");
    harness.apply(AttemptEnded {harness.started[0].attempt, AttemptEndKind::Lost});
    CHECK(harness.started.size() == 1);
    // The request may have run, so the answer is neither a refusal nor a success.
    CHECK(harness.answerOf(id)->status == 502);
}

TEST_CASE("a non-idempotent request is retried if it certainly did not run")
{
    GatewayHarness harness = plainHarness(false);
    const ExchangeId id = harness.sendRequest("/p/x");
    SECTION("the target refused it")
    {
        harness.reply(harness.started[0].attempt, ReplyClass::NotRun, 503);
    }
    SECTION("no connection could be made")
    {
        harness.apply(AttemptEnded {harness.started[0].attempt, AttemptEndKind::Unreachable});
    }
    REQUIRE(harness.started.size() == 2);
    CHECK(harness.started[0].target != harness.started[1].target);
    harness.reply(harness.started[1].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(id)->status == 200);
}

TEST_CASE("a request that no target ran is refused with a retry delay")
{
    GatewayHarness harness = plainHarness(false, 2);
    const ExchangeId id = harness.sendRequest("/p/x");
    harness.reply(harness.started[0].attempt, ReplyClass::NotRun, 503);
    REQUIRE(harness.started.size() == 2);
    harness.reply(harness.started[1].attempt, ReplyClass::NotRun, 503);
    const auto answer = harness.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->retryAfter > Duration(0));
}

TEST_CASE("a target's failure reply is passed on if the request can't be retried")
{
    GatewayHarness harness = plainHarness(false);
    const ExchangeId id = harness.sendRequest("/p/x");
    harness.reply(harness.started[0].attempt, ReplyClass::Failure, 500, "why");
    const auto answer = harness.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->status == 500);
    REQUIRE(answer->forwarded != nullptr);
    CHECK(answer->forwarded->body == "why");
}

TEST_CASE("a late attempt is hedged, and only the first reply is used")
{
    GatewayHarness harness = plainHarness(true);
    const ExchangeId id = harness.sendRequest("/p/x");
    harness.advance(milliseconds(150));
    REQUIRE(harness.started.size() == 2);
    CHECK(harness.started[0].target != harness.started[1].target);
    harness.reply(harness.started[1].attempt, ReplyClass::Success, 200, "second");
    CHECK(harness.answerOf(id)->forwarded->body == "second");
    // The second reply is ignored.
    harness.reply(harness.started[0].attempt, ReplyClass::Success, 200, "first");
    CHECK(harness.answers[id].size() == 1);
}

TEST_CASE("a request is sent to at most as many targets as the route allows attempts")
{
    GatewayHarness harness = plainHarness(true, 5);
    harness.sendRequest("/p/x");
    for (std::size_t i = 0; i < harness.started.size() && i < 10; ++i) {
        harness.apply(AttemptEnded {harness.started[i].attempt, AttemptEndKind::Lost});
        harness.advance(milliseconds(1));
    }
    CHECK(harness.started.size() == 2);
}

TEST_CASE("a request without a reply is answered at its route's timeout")
{
    GatewayHarness harness = plainHarness(false);
    const ExchangeId id = harness.sendRequest("/p/x", std::chrono::seconds(30));
    harness.advance(milliseconds(1010));
    CHECK(harness.answerOf(id)->status == 504);
}

TEST_CASE("an attempt's time limit is shorter than the caller's remaining time")
{
    GatewayHarness harness = plainHarness(true);
    const Instant callerLeavesAt = harness.now + milliseconds(500);
    harness.sendRequest("/p/x", milliseconds(500));
    CHECK(harness.started[0].deadlineAt < callerLeavesAt);
    harness.advance(milliseconds(150));
    REQUIRE(harness.started.size() == 2);
    CHECK(harness.started[1].deadlineAt < callerLeavesAt);
}

// Guards against a caller's time that starts when its request is read, not when it arrives.
TEST_CASE("the time that a request waited unread is not handed to the targets")
{
    GatewayHarness harness = plainHarness(true);
    const Instant callerLeavesAt = harness.now + milliseconds(200);
    harness.maxWait = milliseconds(300);
    harness.sendRequest("/p/x", milliseconds(500));
    REQUIRE(harness.started.size() == 1);
    CHECK(harness.started[0].deadlineAt < callerLeavesAt);
}

// Guards against requests that are sent to targets after their callers have left, for example when
// a process continues after a pause.
TEST_CASE("a request that may have been read after its caller's deadline is refused at once")
{
    GatewayHarness harness = plainHarness(true);
    harness.maxWait = std::chrono::seconds(3);
    const ExchangeId id = harness.sendRequest("/p/x", milliseconds(600));
    CHECK(harness.started.empty());
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
    CHECK(harness.answerOf(id)->retryAfter > Duration(0));
}

TEST_CASE("attempts are closed within half a second after their caller left")
{
    GatewayHarness harness = plainHarness(true);
    const ExchangeId id = harness.sendRequest("/p/x");
    harness.advance(milliseconds(10));
    harness.apply(CallerLeft {id});
    harness.advance(milliseconds(450));
    CHECK(harness.closed == std::vector {harness.started[0].attempt});
    CHECK(harness.answers.empty());
}

TEST_CASE("a gathered answer contains the greatest records of all parts")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 3, 0.6)}), replicas(3, 2));
    const ExchangeId id = harness.sendRequest("/g/x");
    REQUIRE(harness.started.size() == 3);
    harness.reply(harness.started[0].attempt, ReplyClass::Success, 200, record('a') + record('e'),
                  "1");
    harness.reply(harness.started[1].attempt, ReplyClass::Success, 200, record('d') + "rest", "2");
    CHECK_FALSE(harness.answerOf(id));
    harness.reply(harness.started[2].attempt, ReplyClass::Success, 200,
                  record('e') + record('b') + record('c'), "3");
    const auto answer = harness.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->mergedBody == record('e') + record('e') + record('d') + record('c'));
    CHECK(answer->partsMissing == 0);
    CHECK(std::set<std::string>(answer->partSignatures.begin(), answer->partSignatures.end())
          == std::set<std::string> {"1", "2", "3"});
}

TEST_CASE("a gathered request is answered at its objective with the parts answered so far")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 3, 0.6)}), replicas(3, 2));
    const ExchangeId id = harness.sendRequest("/g/x");
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    harness.reply(harness.started[1].attempt, ReplyClass::Success);
    harness.advance(milliseconds(100));
    CHECK_FALSE(harness.answerOf(id));
    harness.advance(milliseconds(100));
    const auto answer = harness.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->partsMissing == 1);
}

TEST_CASE("a gathered request below the minimum coverage waits beyond its objective")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 3, 0.9)}), replicas(3, 2));
    const ExchangeId id = harness.sendRequest("/g/x");
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    harness.reply(harness.started[1].attempt, ReplyClass::Success);
    harness.advance(milliseconds(400));
    CHECK_FALSE(harness.answerOf(id));
    harness.reply(harness.started[2].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(id)->partsMissing == 0);
}

TEST_CASE("a failure reply is not merged into a gathered answer")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 2, 0.5)}), replicas(2, 1));
    const ExchangeId id = harness.sendRequest("/g/x");
    harness.reply(harness.started[0].attempt, ReplyClass::Failure, 500, record('z'), "failed");
    harness.reply(harness.started[1].attempt, ReplyClass::Success, 200, record('a'), "good");
    const auto answer = harness.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->partSignatures == std::vector<std::string> {"good"});
    CHECK(answer->partsMissing == 1);
    CHECK(answer->mergedBody == record('a'));
}

TEST_CASE("all parts of a request use the configuration that was in force when it arrived")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 2, 1.0)}), replicas(4, 2));
    const ExchangeId id = harness.sendRequest("/g/x", std::chrono::seconds(30));
    Route movedRoute = gatherRoute("/g/", 2, 1.0);
    movedRoute.gather = {GroupName("shard2"), GroupName("shard3")};
    StoreAnswer storeAnswer;
    storeAnswer.status = StoreCallStatus::Done;
    storeAnswer.revision = 9;
    storeAnswer.changes.push_back(GatewayHarness::configChange(configOf({movedRoute}, 2), 9));
    // The new configuration is published while the request runs.
    harness.advance(milliseconds(10));
    for (const StartAttempt &attempt : harness.started) {
        CHECK((attempt.target.value.starts_with("t0") || attempt.target.value.starts_with("t1")));
    }
    const std::size_t before = harness.started.size();
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    harness.reply(harness.started[1].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(id)->partsMissing == 0);
    harness.advance(milliseconds(1200));
    REQUIRE(harness.answerStore<WatchStore>(storeAnswer));
    harness.sendRequest("/g/x");
    for (std::size_t i = before; i < harness.started.size(); ++i) {
        CHECK((harness.started[i].target.value.starts_with("t2")
               || harness.started[i].target.value.starts_with("t3")));
    }
}

TEST_CASE("a request is refused at once if no usable target is known")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}));
    const ExchangeId id = harness.sendRequest("/p/x");
    CHECK(harness.answerOf(id)->status == 503);
}

TEST_CASE("a queued request is refused early enough to be served by another instance")
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    config.connectionCaps[GroupName("g")] = 1;
    GatewayHarness harness(std::move(config), {target("t", "g")});
    harness.sendRequest("/p/1");
    const ExchangeId second = harness.sendRequest("/p/2");
    CHECK(harness.started.size() == 1);
    SECTION("the target becomes free")
    {
        harness.reply(harness.started[0].attempt, ReplyClass::Success);
        CHECK(harness.started.size() == 2);
    }
    SECTION("the target stays busy")
    {
        harness.advance(milliseconds(60));
        CHECK(harness.answerOf(second)->status == 503);
    }
}

namespace {

/// Returns a gateway that has no retry budget and knows one other member.
GatewayHarness harnessWithoutBudget()
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}),
                           {target("t0", "g"), target("t1", "g")},
                           {0.0, 0.0, std::chrono::seconds(10)});
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    return harness;
}

} // namespace

TEST_CASE("a retry without budget is sent once another member grants a loan")
{
    GatewayHarness harness = harnessWithoutBudget();
    const ExchangeId id = harness.sendRequest("/p/x");
    harness.apply(AttemptEnded {harness.started[0].attempt, AttemptEndKind::Lost});
    REQUIRE(harness.budgetRequests.size() == 1);
    CHECK(harness.budgetRequests[0].receiver == "127.0.0.1:7001");
    CHECK(harness.budgetRequests[0].extras == GroupExtras {{GroupName("g"), 1}});
    CHECK(harness.started.size() == 1);
    CHECK_FALSE(harness.answerOf(id));
    SECTION("the member lends")
    {
        harness.apply(BudgetLent {harness.budgetRequests[0].number,
                                  {{GroupName("g"), 1}},
                                  RetryBudget::loanLifetime});
        REQUIRE(harness.started.size() == 2);
        harness.reply(harness.started[1].attempt, ReplyClass::Success);
        CHECK(harness.answerOf(id)->status == 200);
    }
    SECTION("two members refuse")
    {
        harness.apply(BudgetLent {harness.budgetRequests[0].number, {}, RetryBudget::loanLifetime});
        REQUIRE(harness.budgetRequests.size() == 2);
        harness.apply(BudgetLent {harness.budgetRequests[1].number, {}, RetryBudget::loanLifetime});
        CHECK(harness.budgetRequests.size() == 2);
    }
    SECTION("no member replies")
    {
        harness.advance(milliseconds(50));
        CHECK(harness.answerOf(id)->status == 502);
    }
}

// Guards against a hedge that waits for a loan while a retry uses the last attempt of its part.
TEST_CASE("a loan that arrives after a retry starts no attempt beyond the route's limit")
{
    // The share of the slack covers one retry. Hedges must leave that one to retries.
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}),
                           {target("t0", "g"), target("t1", "g"), target("t2", "g")},
                           {0.0, 12.0, std::chrono::seconds(10)});
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    harness.sendRequest("/p/x");
    while (harness.budgetRequests.empty()) {
        harness.advance(milliseconds(1));
        REQUIRE(harness.started.size() == 1);
    }
    harness.apply(AttemptEnded {harness.started[0].attempt, AttemptEndKind::Lost});
    REQUIRE(harness.started.size() == 2);
    harness.apply(BudgetLent {
            harness.budgetRequests[0].number, {{GroupName("g"), 1}}, RetryBudget::loanLifetime});
    CHECK(harness.started.size() == 2);
}

TEST_CASE("an instance lends unused retry budget")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}), {target("t0", "g")},
                           {0.0, 20.0, std::chrono::seconds(10)});
    harness.apply(BudgetRequested {"127.0.0.1:7009", 5, {{GroupName("g"), 1}}});
    REQUIRE(harness.grantedLoans.size() == 1);
    CHECK(harness.grantedLoans[0].receiver == "127.0.0.1:7009");
    CHECK(harness.grantedLoans[0].loan.number == 5);
    CHECK(harness.grantedLoans[0].loan.lent == GroupExtras {{GroupName("g"), 1}});
}

// Guards against an instance that spends the retry budget of members whose registrations expired.
TEST_CASE("the share of the retry budget doesn't grow while registrations have expired")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}), {target("t0", "g")},
                           {0.0, 160.0, std::chrono::seconds(10)});
    std::vector<StoreChange> registrations;
    std::vector<StoreChange> removals;
    for (int i = 0; i < 16; ++i) {
        registrations.push_back(
                GatewayHarness::memberChange("m" + std::to_string(i), "127.0.0.1:1"));
        removals.push_back(registrations.back());
        removals.back().removed = true;
        removals.back().content = std::monostate();
    }
    harness.answerWatch(registrations);
    harness.advance(std::chrono::seconds(6));
    harness.answerWatch(removals);
    harness.apply(BudgetRequested {"127.0.0.1:7009", 5, {{GroupName("g"), 1000}}});
    REQUIRE(harness.grantedLoans.size() == 1);
    CHECK(harness.grantedLoans[0].loan.lent.at(GroupName("g")) <= 160 / 16);
}

TEST_CASE("a target whose attempt was closed for being slow is avoided afterwards")
{
    GatewayHarness harness = plainHarness(true, 2);
    // One reply in ten is late, so a single late attempt does not mark a target as slow.
    for (int i = 0; i < 128; ++i) {
        harness.sendRequest("/p/x");
        const AttemptId attempt = harness.started.back().attempt;
        harness.advance(milliseconds(i % 10 == 9 ? 20 : 5));
        harness.reply(attempt, ReplyClass::Success);
    }
    harness.advance(std::chrono::seconds(20));
    harness.sendRequest("/p/x");
    const StartAttempt slow = harness.started.back();
    harness.advance(milliseconds(24));
    REQUIRE(harness.started.back().attempt != slow.attempt);
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
    harness.advance(milliseconds(12));
    REQUIRE(harness.closed.back() == slow.attempt);
    int sentAgain = 0;
    for (int i = 0; i < 20; ++i) {
        harness.sendRequest("/p/x");
        sentAgain += harness.started.back().target == slow.target ? 1 : 0;
        const AttemptId attempt = harness.started.back().attempt;
        harness.advance(milliseconds(5));
        harness.reply(attempt, ReplyClass::Success);
    }
    CHECK(sentAgain == 0);
}

TEST_CASE("replies of normal latency are not hedged while some targets are slow")
{
    Route route = plainRoute("/p/", "g", true);
    route.objective = milliseconds(150);
    GatewayHarness harness(configOf({route}),
                           {target("t0", "g"), target("t1", "g"), target("t2", "g")});
    // One reply in five takes six times as long as the others, which raises the late threshold.
    for (int i = 0; i < 130; ++i) {
        harness.sendRequest("/p/x");
        const AttemptId attempt = harness.started.back().attempt;
        harness.advance(milliseconds(i % 5 == 4 ? 120 : 20));
        harness.reply(attempt, ReplyClass::Success);
        harness.advance(milliseconds(200));
    }
    const std::size_t before = harness.started.size();
    harness.sendRequest("/p/x");
    harness.advance(milliseconds(40));
    CHECK(harness.started.size() == before + 1);
    harness.advance(milliseconds(40));
    CHECK(harness.started.size() == before + 2);
}
