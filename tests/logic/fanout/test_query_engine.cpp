#include "tests/logic/fanout/engine_fixture.h"

#include "logic/invariant.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

const std::vector<SnapshotAnnouncement> versionSeven {{SnapshotVersion(7), 3}};

const SendSubRequest &findByShard(const std::vector<SendSubRequest> &sent, std::uint32_t shard)
{
    return *std::ranges::find(sent, ShardId(shard), &SendSubRequest::shard);
}

} // namespace

TEST_CASE("A complete answer covers every shard of one snapshot")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    fixture.start(fixture.request(1));
    const auto sent = fixture.takeEffects<SendSubRequest>();
    REQUIRE(sent.size() == 3);
    for (const SendSubRequest &each : sent) {
        CHECK(each.snapshot == SnapshotVersion(7));
        fixture.reply(each);
    }
    const Answer answer = fixture.answer();
    CHECK(answer.outcome == Outcome::Answered);
    CHECK(answer.coverage.fraction() == 1.0);
    CHECK(answer.coverage.documentsAnswered == 30);
    CHECK(answer.hits.size() == 3);
}

TEST_CASE("At the deadline enough coverage is an answer, and less is a failure with its coverage")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.entry.minimumCoverage = GENERATE(0.5, 0.9);
    fixture.start(fixture.request(1));
    const auto sent = fixture.takeEffects<SendSubRequest>();
    fixture.reply(findByShard(sent, 0));
    fixture.reply(findByShard(sent, 2));
    CHECK_FALSE(fixture.answered());
    fixture.now += 147ms;
    fixture.reachDeadline(1);
    const Answer answer = fixture.answer();
    CHECK(answer.outcome
          == (fixture.entry.minimumCoverage < 0.6 ? Outcome::Answered : Outcome::Failed));
    CHECK(answer.coverage.shardsAnswered == 2);
    CHECK(answer.coverage.missing
          == std::vector<MissingShard> {{ShardId(1), MissingReason::DeadlinePassed}});
}

TEST_CASE("A refused sub-request goes to another replica, within the retry budget")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    fixture.start(fixture.request(1));
    const SendSubRequest first = findByShard(fixture.takeEffects<SendSubRequest>(), 1);
    fixture.reply(first, ReplyKind::Shed);
    const auto again = fixture.takeEffects<SendSubRequest>();
    REQUIRE(again.size() == 1);
    CHECK(again.front().shard == first.shard);
    CHECK(again.front().target != first.target);
}

TEST_CASE("The retry budget bounds the retries that an overload causes")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    std::size_t firstAttempts = 0;
    std::size_t retries = 0;
    for (std::uint64_t query = 1; query <= 200; ++query) {
        fixture.start(fixture.request(query));
        auto sent = fixture.takeEffects<SendSubRequest>();
        firstAttempts += sent.size();
        while (!sent.empty()) {
            for (const SendSubRequest &each : sent) {
                fixture.reply(each, ReplyKind::Shed);
            }
            sent = fixture.takeEffects<SendSubRequest>();
            retries += sent.size();
        }
    }
    CHECK(retries > 0);
    CHECK(static_cast<double>(retries) <= 0.1 * static_cast<double>(firstAttempts) + 10.0);
}

TEST_CASE("A sub-request that all replicas refuse is sent again after a delay")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.start(fixture.request(1));
    fixture.reply(findByShard(fixture.takeEffects<SendSubRequest>(), 1), ReplyKind::Shed);
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
    const auto timers = fixture.takeEffects<SetTimer>();
    REQUIRE(timers.back().timer == Timer {TimerKind::QueueCheck, 0});
    CHECK(timers.back().at > fixture.now);
    fixture.now = timers.back().at;
    fixture.fireQueueCheck();
    CHECK(fixture.takeEffects<SendSubRequest>().size() == 1);
}

TEST_CASE("A request that must run at most once is sent once, however its attempt ends")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    CallerRequest request = fixture.request(1);
    request.idempotent = false;
    request.shard = ShardId(1);
    fixture.start(request);
    const auto sent = fixture.takeEffects<SendSubRequest>();
    REQUIRE(sent.size() == 1);
    SECTION("refused")
    {
        fixture.reply(sent.front(), ReplyKind::Shed);
        CHECK(fixture.answer().outcome == Outcome::NotRun);
    }
    SECTION("lost while running")
    {
        fixture.loseConnection(sent.front());
        CHECK(fixture.answer().outcome == Outcome::Unknown);
    }
    SECTION("lost before a byte was sent")
    {
        fixture.loseConnection(sent.front(), false);
        CHECK(fixture.answer().outcome == Outcome::NotRun);
    }
    SECTION("failed")
    {
        fixture.reply(sent.front(), ReplyKind::Failed);
        CHECK(fixture.answer().outcome == Outcome::Failed);
    }
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
}

TEST_CASE("A query that lost two targets while they ran it is not sent to a third")
{
    EngineFixture fixture;
    fixture.addTargets(3, 3, versionSeven);
    CallerRequest request = fixture.request(1);
    request.shard = ShardId(0);
    fixture.start(request);
    fixture.loseConnection(fixture.takeEffects<SendSubRequest>().front());
    const auto second = fixture.takeEffects<SendSubRequest>();
    REQUIRE(second.size() == 1);
    fixture.loseConnection(second.front());
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
    const Answer answer = fixture.answer();
    CHECK(answer.outcome == Outcome::Unknown);
    CHECK(answer.reason == FailureReason::TargetsLost);
}

TEST_CASE("A whole query restarts when its snapshot is retired")
{
    EngineFixture fixture;
    fixture.addTargets(4, 1, versionSeven);
    fixture.start(fixture.request(1));
    const auto old = fixture.takeEffects<SendSubRequest>();
    REQUIRE(old.size() == 3);
    fixture.reply(findByShard(old, 0));
    // The shards are repartitioned: four shards in the new version.
    fixture.report.snapshots = {{SnapshotVersion(8), 4}};
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
        Context context = fixture.context();
        fixture.targets.onReport(TargetId(std::to_string(shard) + "-0"), fixture.report, context);
    }
    fixture.reply(findByShard(old, 1), ReplyKind::SnapshotRetired);
    const auto fresh = fixture.takeEffects<SendSubRequest>();
    REQUIRE(fresh.size() == 4);
    // A late reply from before the restart is ignored.
    fixture.reply(findByShard(old, 2));
    for (const SendSubRequest &each : fresh) {
        CHECK(each.snapshot == SnapshotVersion(8));
        fixture.reply(each);
    }
    const Answer answer = fixture.answer();
    CHECK(answer.outcome == Outcome::Answered);
    CHECK(answer.coverage.snapshot == SnapshotVersion(8));
    CHECK(answer.coverage.shardsNeeded == 4);
    CHECK(answer.hits.size() == 4);
}

TEST_CASE("A shard of a retired snapshot is missing when no time is left for a restart")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.entry.minimumCoverage = 0.5;
    fixture.start(fixture.request(1));
    const auto sent = fixture.takeEffects<SendSubRequest>();
    fixture.reply(findByShard(sent, 0));
    fixture.reply(findByShard(sent, 2));
    fixture.report.snapshots = {{SnapshotVersion(8), 3}};
    for (std::uint32_t shard = 0; shard < 3; ++shard) {
        Context context = fixture.context();
        fixture.targets.onReport(TargetId(std::to_string(shard) + "-0"), fixture.report, context);
    }
    fixture.now += 140ms;
    fixture.reply(findByShard(sent, 1), ReplyKind::SnapshotRetired);
    const Answer answer = fixture.answer();
    CHECK(answer.outcome == Outcome::Answered);
    CHECK(answer.coverage.snapshot == SnapshotVersion(7));
    CHECK(answer.coverage.missing
          == std::vector<MissingShard> {{ShardId(1), MissingReason::SnapshotRetired}});
}

TEST_CASE("A reply from another snapshot is not merged")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.start(fixture.request(1));
    const auto sent = fixture.takeEffects<SendSubRequest>();
    fixture.reply(findByShard(sent, 0));
    fixture.reply(findByShard(sent, 2));
    TargetReplied wrong;
    wrong.attempt = findByShard(sent, 1).attempt;
    wrong.connection = findByShard(sent, 1).connection;
    wrong.kind = ReplyKind::Answered;
    wrong.snapshot = SnapshotVersion(6);
    fixture.reply(wrong);
    CHECK_FALSE(fixture.answered());
    fixture.now += 147ms;
    fixture.reachDeadline(1);
    CHECK(fixture.answer().outcome == Outcome::Failed);
}

TEST_CASE("A waiting shard is missing at once when its last replica is removed from the list")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.entry.minimumCoverage = 0.5;
    // Each target has four connections, so the fifth query waits.
    for (std::uint64_t query = 1; query <= 5; ++query) {
        fixture.start(fixture.request(query));
    }
    const auto sent = fixture.takeEffects<SendSubRequest>();
    REQUIRE(sent.size() == 12);
    fixture.removeTarget("1-0");
    for (const SendSubRequest &each : sent) {
        if (each.shard != ShardId(1)) {
            fixture.reply(each);
        }
    }
    for (const SendSubRequest &each : fixture.takeEffects<SendSubRequest>()) {
        fixture.reply(each);
    }
    const auto answers = fixture.takeEffects<AnswerCaller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().query == QueryId(5));
    CHECK(answers.front().answer.coverage.missing
          == std::vector<MissingShard> {{ShardId(1), MissingReason::NoTarget}});
}

TEST_CASE("A query that can't finish in time is not sent and its outcome is not run")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.runQueries(20ms, 100, 40);
    CallerRequest request = fixture.request(1);
    request.timeLimit = 10ms;
    fixture.start(request);
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
    const Answer answer = fixture.answer();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == FailureReason::DeadlineTooShort);
}

TEST_CASE("Sub-requests carry the time that is left when they are sent")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.start(fixture.request(1));
    const auto sent = fixture.takeEffects<SendSubRequest>();
    CHECK(sent.front().deadline == 147ms);
    fixture.now += 50ms;
    fixture.reply(findByShard(sent, 1), ReplyKind::Shed);
    fixture.now += 20ms;
    fixture.fireQueueCheck();
    const auto again = fixture.takeEffects<SendSubRequest>();
    REQUIRE(again.size() == 1);
    CHECK(again.front().deadline == 77ms);
}

TEST_CASE("The sub-requests of a caller that left are cancelled, and its query is answered once")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.start(fixture.request(1));
    Context context = fixture.context();
    fixture.engine.onCallerGone(QueryId(1), context);
    CHECK(fixture.takeEffects<CancelSubRequest>().size() == 3);
    CHECK(fixture.takeEffects<AnswerCaller>().size() == 1);
    fixture.reachDeadline(1);
    CHECK(fixture.takeEffects<AnswerCaller>().empty());
}

TEST_CASE("A second query with an id that is in flight is an invariant violation")
{
    EngineFixture fixture;
    fixture.addTargets(3, 1, versionSeven);
    fixture.start(fixture.request(1));
    CHECK_THROWS_AS(fixture.start(fixture.request(1)), InvariantViolation);
}
