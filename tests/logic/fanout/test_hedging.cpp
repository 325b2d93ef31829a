#include "tests/logic/fanout/engine_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

const std::vector<SnapshotAnnouncement> versionSeven {{SnapshotVersion(7), 3}};

/// Runs enough queries for latency statistics, then starts one whose shard 1 does not reply, and
/// fires the hedge timer.
struct LateShard
{
    explicit LateShard(EngineFixture &fixture, CallerRequest request)
    {
        fixture.runQueries(4ms, 1000, 40);
        fixture.start(request);
        for (const SendSubRequest &each : fixture.takeEffects<SendSubRequest>()) {
            if (each.shard == ShardId(1)) {
                this->late = each;
            } else {
                fixture.now += 1ms;
                fixture.reply(each);
            }
        }
        fixture.now += 25ms;
        fixture.fireHedgeTimer(request.query.value);
    }

    SendSubRequest late;
};

} // namespace

TEST_CASE("A late shard is hedged once on another replica, and the slower attempt is cancelled")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    const LateShard shard(fixture, fixture.request(1));
    const auto hedges = fixture.takeEffects<SendSubRequest>();
    REQUIRE(hedges.size() == 1);
    CHECK(hedges.front().shard == ShardId(1));
    CHECK(hedges.front().target != shard.late.target);
    fixture.now += 50ms;
    fixture.fireHedgeTimer(1);
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
    fixture.reply(hedges.front());
    const Answer answer = fixture.answer();
    CHECK(answer.outcome == Outcome::Answered);
    CHECK(answer.hedgesSent == 1);
    const auto cancels = fixture.takeEffects<CancelSubRequest>();
    REQUIRE(cancels.size() == 1);
    CHECK(cancels.front().attempt == shard.late.attempt);
    CHECK(cancels.front().cancelConnection);
    // The cancelled attempt's reply arrives after the query has ended.
    fixture.reply(shard.late);
    CHECK(fixture.takeEffects<AnswerCaller>().empty());
}

TEST_CASE("No hedge is sent for an overloaded entry, without a budget, or with hedging off")
{
    EngineFixture fixture(GENERATE(Policy {}, Policy {true, false}));
    fixture.addTargets(3, 2, versionSeven);
    const int obstacle = GENERATE(0, 1);
    if (obstacle == 0) {
        fixture.overloaded = true;
    } else {
        fixture.entry.hedgeBudget = 0.0;
    }
    const LateShard shard(fixture, fixture.request(1));
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
}

TEST_CASE("A request that is not idempotent is never hedged")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    CallerRequest request = fixture.request(1);
    request.idempotent = false;
    request.shard = ShardId(1);
    const LateShard shard(fixture, request);
    CHECK(fixture.takeEffects<SendSubRequest>().empty());
}

TEST_CASE("Hedges stay within their ratio to the first sub-requests")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    fixture.runQueries(4ms, 1000, 40);
    std::size_t hedges = 0;
    for (std::uint64_t query = 1; query <= 200; ++query) {
        fixture.start(fixture.request(query));
        auto sent = fixture.takeEffects<SendSubRequest>();
        fixture.now += 25ms;
        fixture.fireHedgeTimer(query);
        const auto second = fixture.takeEffects<SendSubRequest>();
        hedges += second.size();
        sent.insert(sent.end(), second.begin(), second.end());
        for (const SendSubRequest &each : sent) {
            fixture.reply(each);
        }
    }
    CHECK(hedges > 0);
    CHECK(static_cast<double>(hedges) <= 0.05 * (240 * 3));
}

TEST_CASE("A late attempt that lost to its hedge is closed when no idle connection can cancel it")
{
    EngineFixture fixture;
    fixture.addTargets(3, 2, versionSeven);
    const LateShard shard(fixture, fixture.request(1));
    const auto hedges = fixture.takeEffects<SendSubRequest>();
    REQUIRE(hedges.size() == 1);
    while (fixture.targets.reserveForCancel(shard.late.target)) { }
    fixture.reply(hedges.front());
    const auto cancels = fixture.takeEffects<CancelSubRequest>();
    REQUIRE(cancels.size() == 1);
    CHECK_FALSE(cancels.front().cancelConnection);
}
