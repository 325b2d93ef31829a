#include "gateway_fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

World plainWorld(bool idempotent, std::size_t targets = 3)
{
    std::vector<TargetRecord> records;
    for (std::size_t i = 0; i < targets; ++i) {
        records.push_back(target("t" + std::to_string(i), "g"));
    }
    return World(configOf({plainRoute("/p/", "g", idempotent)}), records);
}

std::string record(char c)
{
    return std::string(16, c);
}

} // namespace

TEST_CASE("a target's successful reply is passed on unchanged")
{
    World world = plainWorld(true);
    const ExchangeId id = world.ask("/p/x");
    REQUIRE(world.started.size() == 1);
    world.reply(world.started[0].attempt, ReplyClass::Success, 200, "body");
    const auto answer = world.answerOf(id);
    REQUIRE(answer);
    REQUIRE(answer->forwarded != nullptr);
    CHECK(answer->forwarded->body == "body");
}

TEST_CASE("a request that matches no route is answered with 404 and not sent")
{
    World world = plainWorld(true);
    const ExchangeId id = world.ask("/other/x");
    CHECK(world.answerOf(id)->status == 404);
    CHECK(world.started.empty());
}

TEST_CASE("an instance without a configuration answers 503 instead of 404")
{
    World world(configOf({}));
    Gateway fresh(World::settingsOf({}));
    const auto effects = fresh.apply(
            RequestArrived {ExchangeId(1), std::make_shared<const ForwardedRequest>()}, world.now);
    // The log entry and the answer.
    REQUIRE(effects.size() == 2);
    const auto &answer = std::get<AnswerExchange>(effects.back());
    CHECK(answer.reply.status == 503);
    CHECK(answer.reply.retryAfter > Duration(0));
    CHECK_FALSE(fresh.ready());
}

TEST_CASE("a non-idempotent request is not retried after its connection broke")
{
    World world = plainWorld(false);
    const ExchangeId id = world.ask("/p/x");
    world.apply(AttemptEnded {world.started[0].attempt, AttemptEndKind::Lost});
    CHECK(world.started.size() == 1);
    // The request may have run, so the answer is neither a refusal nor a success.
    CHECK(world.answerOf(id)->status == 502);
}

TEST_CASE("a non-idempotent request is retried if it certainly did not run")
{
    World world = plainWorld(false);
    const ExchangeId id = world.ask("/p/x");
    SECTION("the target refused it")
    {
        world.reply(world.started[0].attempt, ReplyClass::NotRun, 503);
    }
    SECTION("no connection could be made")
    {
        world.apply(AttemptEnded {world.started[0].attempt, AttemptEndKind::Unreachable});
    }
    REQUIRE(world.started.size() == 2);
    CHECK(world.started[0].target != world.started[1].target);
    world.reply(world.started[1].attempt, ReplyClass::Success);
    CHECK(world.answerOf(id)->status == 200);
}

TEST_CASE("a request that no target ran is refused with a retry delay")
{
    World world = plainWorld(false, 2);
    const ExchangeId id = world.ask("/p/x");
    world.reply(world.started[0].attempt, ReplyClass::NotRun, 503);
    REQUIRE(world.started.size() == 2);
    world.reply(world.started[1].attempt, ReplyClass::NotRun, 503);
    const auto answer = world.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->retryAfter > Duration(0));
}

TEST_CASE("a target's failure reply is passed on if the request can't be retried")
{
    World world = plainWorld(false);
    const ExchangeId id = world.ask("/p/x");
    world.reply(world.started[0].attempt, ReplyClass::Failure, 500, "why");
    const auto answer = world.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->status == 500);
    REQUIRE(answer->forwarded != nullptr);
    CHECK(answer->forwarded->body == "why");
}

TEST_CASE("a late attempt is hedged, and only the first reply is used")
{
    World world = plainWorld(true);
    const ExchangeId id = world.ask("/p/x");
    world.pass(milliseconds(150));
    REQUIRE(world.started.size() == 2);
    CHECK(world.started[0].target != world.started[1].target);
    world.reply(world.started[1].attempt, ReplyClass::Success, 200, "second");
    CHECK(world.answerOf(id)->forwarded->body == "second");
    // The second reply is ignored.
    world.reply(world.started[0].attempt, ReplyClass::Success, 200, "first");
    CHECK(world.answers[id].size() == 1);
}

TEST_CASE("a request is sent to at most as many targets as the route allows attempts")
{
    World world = plainWorld(true, 5);
    world.ask("/p/x");
    for (std::size_t i = 0; i < world.started.size() && i < 10; ++i) {
        world.apply(AttemptEnded {world.started[i].attempt, AttemptEndKind::Lost});
        world.pass(milliseconds(1));
    }
    CHECK(world.started.size() == 2);
}

TEST_CASE("a request without a reply is answered at its route's timeout")
{
    World world = plainWorld(false);
    const ExchangeId id = world.ask("/p/x", std::chrono::seconds(30));
    world.pass(milliseconds(1010));
    CHECK(world.answerOf(id)->status == 504);
}

TEST_CASE("an attempt's time limit is shorter than the caller's remaining time")
{
    World world = plainWorld(true);
    world.ask("/p/x", milliseconds(500));
    CHECK(world.started[0].timeLeft < milliseconds(500));
    world.pass(milliseconds(150));
    REQUIRE(world.started.size() == 2);
    CHECK(world.started[1].timeLeft
          < milliseconds(500) - (world.startedAt[1] - world.startedAt[0]));
}

TEST_CASE("attempts are closed within half a second after their caller left")
{
    World world = plainWorld(true);
    const ExchangeId id = world.ask("/p/x");
    world.pass(milliseconds(10));
    world.apply(CallerLeft {id});
    world.pass(milliseconds(450));
    CHECK(world.closed == std::vector {world.started[0].attempt});
    CHECK(world.answers.empty());
}

TEST_CASE("a gathered answer contains the greatest records of all parts")
{
    World world(configOf({gatherRoute("/g/", 3, 0.6)}), replicas(3, 2));
    const ExchangeId id = world.ask("/g/x");
    REQUIRE(world.started.size() == 3);
    world.reply(world.started[0].attempt, ReplyClass::Success, 200, record('a') + record('e'), "1");
    world.reply(world.started[1].attempt, ReplyClass::Success, 200, record('d') + "rest", "2");
    CHECK_FALSE(world.answerOf(id));
    world.reply(world.started[2].attempt, ReplyClass::Success, 200,
                record('e') + record('b') + record('c'), "3");
    const auto answer = world.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->mergedBody == record('e') + record('e') + record('d') + record('c'));
    CHECK(answer->partsMissing == 0);
    CHECK(std::set<std::string>(answer->partSignatures.begin(), answer->partSignatures.end())
          == std::set<std::string> {"1", "2", "3"});
}

TEST_CASE("a gathered request is answered at its objective with the parts answered so far")
{
    World world(configOf({gatherRoute("/g/", 3, 0.6)}), replicas(3, 2));
    const ExchangeId id = world.ask("/g/x");
    world.reply(world.started[0].attempt, ReplyClass::Success);
    world.reply(world.started[1].attempt, ReplyClass::Success);
    world.pass(milliseconds(100));
    CHECK_FALSE(world.answerOf(id));
    world.pass(milliseconds(100));
    const auto answer = world.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->partsMissing == 1);
}

TEST_CASE("a gathered request below the minimum coverage waits beyond its objective")
{
    World world(configOf({gatherRoute("/g/", 3, 0.9)}), replicas(3, 2));
    const ExchangeId id = world.ask("/g/x");
    world.reply(world.started[0].attempt, ReplyClass::Success);
    world.reply(world.started[1].attempt, ReplyClass::Success);
    world.pass(milliseconds(400));
    CHECK_FALSE(world.answerOf(id));
    world.reply(world.started[2].attempt, ReplyClass::Success);
    CHECK(world.answerOf(id)->partsMissing == 0);
}

TEST_CASE("a failure reply is not merged into a gathered answer")
{
    World world(configOf({gatherRoute("/g/", 2, 0.5)}), replicas(2, 1));
    const ExchangeId id = world.ask("/g/x");
    world.reply(world.started[0].attempt, ReplyClass::Failure, 500, record('z'), "failed");
    world.reply(world.started[1].attempt, ReplyClass::Success, 200, record('a'), "good");
    const auto answer = world.answerOf(id);
    REQUIRE(answer);
    CHECK(answer->partSignatures == std::vector<std::string> {"good"});
    CHECK(answer->partsMissing == 1);
    CHECK(answer->mergedBody == record('a'));
}

TEST_CASE("all parts of a request use the configuration that was in force when it arrived")
{
    World world(configOf({gatherRoute("/g/", 2, 1.0)}), replicas(4, 2));
    const ExchangeId id = world.ask("/g/x", std::chrono::seconds(30));
    Route movedRoute = gatherRoute("/g/", 2, 1.0);
    movedRoute.gather = {GroupName("shard2"), GroupName("shard3")};
    StoreAnswer storeAnswer;
    storeAnswer.verdict = StoreVerdict::Done;
    storeAnswer.revision = 9;
    storeAnswer.changes.push_back(World::configChange(configOf({movedRoute}, 2), 9));
    // The new configuration is published while the request runs.
    world.pass(milliseconds(10));
    for (const StartAttempt &attempt : world.started) {
        CHECK((attempt.target.value.starts_with("t0") || attempt.target.value.starts_with("t1")));
    }
    const std::size_t before = world.started.size();
    world.reply(world.started[0].attempt, ReplyClass::Success);
    world.reply(world.started[1].attempt, ReplyClass::Success);
    CHECK(world.answerOf(id)->partsMissing == 0);
    world.pass(milliseconds(1200));
    REQUIRE(world.answerStore<WatchWorld>(storeAnswer));
    world.ask("/g/x");
    for (std::size_t i = before; i < world.started.size(); ++i) {
        CHECK((world.started[i].target.value.starts_with("t2")
               || world.started[i].target.value.starts_with("t3")));
    }
}

TEST_CASE("a request is refused at once if no usable target is known")
{
    World world(configOf({plainRoute("/p/", "g", true)}));
    const ExchangeId id = world.ask("/p/x");
    CHECK(world.answerOf(id)->status == 503);
}

TEST_CASE("a queued request is refused early enough to be served by another instance")
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    config.connectionCaps[GroupName("g")] = 1;
    World world(std::move(config), {target("t", "g")});
    world.ask("/p/1");
    const ExchangeId second = world.ask("/p/2");
    CHECK(world.started.size() == 1);
    SECTION("the target becomes free")
    {
        world.reply(world.started[0].attempt, ReplyClass::Success);
        CHECK(world.started.size() == 2);
    }
    SECTION("the target stays busy")
    {
        world.pass(milliseconds(60));
        CHECK(world.answerOf(second)->status == 503);
    }
}

namespace {

/// Returns a gateway that has no retry budget and knows one other member.
World worldWithoutBudget()
{
    World world(configOf({plainRoute("/p/", "g", true)}), {target("t0", "g"), target("t1", "g")},
                {0.0, 0.0, std::chrono::seconds(10)});
    world.tell({World::memberChange("a", "127.0.0.1:7000"),
                World::memberChange("b", "127.0.0.1:7001")});
    return world;
}

} // namespace

TEST_CASE("a retry without budget is sent once another member grants a loan")
{
    World world = worldWithoutBudget();
    const ExchangeId id = world.ask("/p/x");
    world.apply(AttemptEnded {world.started[0].attempt, AttemptEndKind::Lost});
    REQUIRE(world.budgetRequests.size() == 1);
    CHECK(world.budgetRequests[0].receiver == "127.0.0.1:7001");
    CHECK(world.budgetRequests[0].wanted == GroupExtras {{GroupName("g"), 1}});
    CHECK(world.started.size() == 1);
    CHECK_FALSE(world.answerOf(id));
    SECTION("the member lends")
    {
        world.apply(BudgetLent {
                world.budgetRequests[0].number, {{GroupName("g"), 1}}, RetryBudget::loanTime});
        REQUIRE(world.started.size() == 2);
        world.reply(world.started[1].attempt, ReplyClass::Success);
        CHECK(world.answerOf(id)->status == 200);
    }
    SECTION("two members refuse")
    {
        world.apply(BudgetLent {world.budgetRequests[0].number, {}, RetryBudget::loanTime});
        REQUIRE(world.budgetRequests.size() == 2);
        world.apply(BudgetLent {world.budgetRequests[1].number, {}, RetryBudget::loanTime});
        CHECK(world.budgetRequests.size() == 2);
    }
    SECTION("no member replies")
    {
        world.pass(milliseconds(50));
        CHECK(world.answerOf(id)->status == 502);
    }
}

TEST_CASE("an instance lends unused retry budget")
{
    World world(configOf({plainRoute("/p/", "g", true)}), {target("t0", "g")},
                {0.0, 20.0, std::chrono::seconds(10)});
    world.apply(BudgetAsked {"127.0.0.1:7009", 5, {{GroupName("g"), 1}}});
    REQUIRE(world.grantedLoans.size() == 1);
    CHECK(world.grantedLoans[0].receiver == "127.0.0.1:7009");
    CHECK(world.grantedLoans[0].loan.number == 5);
    CHECK(world.grantedLoans[0].loan.lent == GroupExtras {{GroupName("g"), 1}});
}

TEST_CASE("a target whose attempt was closed for being slow is avoided afterwards")
{
    World world = plainWorld(true, 2);
    // One reply in ten is late, so a single late attempt does not mark a target as slow.
    for (int i = 0; i < 128; ++i) {
        world.ask("/p/x");
        const AttemptId attempt = world.started.back().attempt;
        world.pass(milliseconds(i % 10 == 9 ? 20 : 5));
        world.reply(attempt, ReplyClass::Success);
    }
    world.pass(std::chrono::seconds(20));
    world.ask("/p/x");
    const StartAttempt slow = world.started.back();
    world.pass(milliseconds(24));
    REQUIRE(world.started.back().attempt != slow.attempt);
    world.reply(world.started.back().attempt, ReplyClass::Success);
    world.pass(milliseconds(12));
    REQUIRE(world.closed.back() == slow.attempt);
    int sentAgain = 0;
    for (int i = 0; i < 20; ++i) {
        world.ask("/p/x");
        sentAgain += world.started.back().target == slow.target ? 1 : 0;
        const AttemptId attempt = world.started.back().attempt;
        world.pass(milliseconds(5));
        world.reply(attempt, ReplyClass::Success);
    }
    CHECK(sentAgain == 0);
}

TEST_CASE("replies of normal latency are not hedged while some targets are slow")
{
    Route route = plainRoute("/p/", "g", true);
    route.objective = milliseconds(150);
    World world(configOf({route}), {target("t0", "g"), target("t1", "g"), target("t2", "g")});
    // One reply in five takes six times as long as the others, which raises the late threshold.
    for (int i = 0; i < 130; ++i) {
        world.ask("/p/x");
        const AttemptId attempt = world.started.back().attempt;
        world.pass(milliseconds(i % 5 == 4 ? 120 : 20));
        world.reply(attempt, ReplyClass::Success);
        world.pass(milliseconds(200));
    }
    const std::size_t before = world.started.size();
    world.ask("/p/x");
    world.pass(milliseconds(40));
    CHECK(world.started.size() == before + 1);
    world.pass(milliseconds(40));
    CHECK(world.started.size() == before + 2);
}
