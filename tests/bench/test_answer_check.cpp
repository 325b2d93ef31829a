#include "bench/answer_check.h"
#include "bench/load_result.h"
#include "standins/topology.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace lagoondeck;

namespace {

constexpr std::uint64_t version = 7;

LoadStream makeStream()
{
    LoadStream stream;
    stream.entry = "fit-check";
    stream.service = "fit";
    return stream;
}

Arrival makeArrival()
{
    return {Duration(0), 0, "caller", "request-1", 0};
}

/// A true answer that covers the first shards.
nlohmann::json makeAnswer(std::uint32_t answered, std::uint32_t needed)
{
    nlohmann::json hits = nlohmann::json::array();
    nlohmann::json missing = nlohmann::json::array();
    std::uint64_t documents = 0;
    for (std::uint32_t shard = 0; shard < needed; ++shard) {
        if (shard >= answered) {
            missing.push_back({{"shard", shard}, {"reason", "deadline-passed"}});
            continue;
        }
        documents += documentsOf("fit", shard, version);
        hits.push_back({{"id", "hit-" + std::to_string(shard)},
                        {"shard", shard},
                        {"version", version},
                        {"caller", "caller"},
                        {"requestId", "request-1"}});
    }
    return {{"requestId", "request-1"},
            {"outcome", "answered"},
            {"reason", "none"},
            {"snapshot", version},
            {"coverage",
             {{"fraction", static_cast<double>(answered) / needed},
              {"shardsNeeded", needed},
              {"shardsAnswered", answered},
              {"documents", documents},
              {"missing", missing}}},
            {"hits", hits},
            {"elapsedMs", 20.0},
            {"slowestTargetMs", 19.0}};
}

RequestRecord check(const nlohmann::json &answer)
{
    return checkAnswer(makeStream(), makeArrival(), answer.dump());
}

TargetsTestimony makeTestimony(std::uint32_t shards, std::uint32_t runsOfEach, bool idempotent)
{
    TargetsTestimony testimony;
    RequestRuns &runs = testimony.ran[runKey("fit", "caller", "request-1")];
    runs.idempotent = idempotent;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        runs.shards.push_back({shard, version, runsOfEach});
    }
    testimony.shardCounts["fit"][std::to_string(version)] = shards;
    return testimony;
}

LoadResult summarizeOne(const RequestRecord &record, const TargetsTestimony &testimony)
{
    LoadPlan plan;
    plan.streams.push_back(makeStream());
    return summarize(plan, {makeArrival()}, {record}, testimony);
}

} // namespace

TEST_CASE("any true answer passes the check")
{
    rc::prop("a true answer is neither mixed, misrouted nor falsely covered", [] {
        const auto needed = *rc::gen::inRange<std::uint32_t>(1, 30);
        const auto answered = *rc::gen::inRange<std::uint32_t>(0, needed + 1);
        const RequestRecord record = check(makeAnswer(answered, needed));
        RC_ASSERT(record.outcome == SeenOutcome::Answered);
        RC_ASSERT(!record.mixedSnapshot);
        RC_ASSERT(!record.misrouted);
        RC_ASSERT(!record.falseCoverage);
        RC_ASSERT(record.shards.size() == answered);
    });
}

TEST_CASE("each untruth of an answer is noticed")
{
    nlohmann::json answer = makeAnswer(3, 4);
    SECTION("a hit of another version")
    {
        answer["hits"][1]["version"] = version + 1;
        CHECK(check(answer).mixedSnapshot);
    }
    SECTION("a hit of another request")
    {
        answer["hits"][1]["requestId"] = "request-2";
        CHECK(check(answer).misrouted);
    }
    SECTION("the answer of another request")
    {
        answer["requestId"] = "request-2";
        CHECK(check(answer).misrouted);
    }
    SECTION("a shard counted that gave no hit")
    {
        answer["coverage"]["shardsAnswered"] = 4;
        answer["coverage"]["fraction"] = 1.0;
        answer["coverage"]["missing"] = nlohmann::json::array();
        CHECK(check(answer).falseCoverage);
    }
    SECTION("documents that the shards don't hold")
    {
        answer["coverage"]["documents"] = 1;
        CHECK(check(answer).falseCoverage);
    }
    SECTION("a fraction that doesn't follow")
    {
        answer["coverage"]["fraction"] = 1.0;
        CHECK(check(answer).falseCoverage);
    }
    SECTION("the same hit twice")
    {
        answer["hits"].push_back(answer["hits"][0]);
        CHECK(check(answer).falseCoverage);
    }
    SECTION("a missing shard with hits")
    {
        answer["coverage"]["missing"][0]["shard"] = 0;
        CHECK(check(answer).falseCoverage);
    }
}

TEST_CASE("a reply that can't be read counts as none")
{
    rc::prop("any bytes are survived",
             [](const std::string &bytes) { checkAnswer(makeStream(), makeArrival(), bytes); });
    CHECK(checkAnswer(makeStream(), makeArrival(), "{").outcome == SeenOutcome::NoReply);
    CHECK(checkAnswer(makeStream(), makeArrival(), "[]").outcome == SeenOutcome::NoReply);
}

TEST_CASE("lost, doubled and false not run are counted from what the targets say")
{
    const RequestRecord answered = check(makeAnswer(4, 4));
    RequestRecord notRun;
    notRun.outcome = SeenOutcome::NotRun;

    SECTION("all is well")
    {
        const LoadResult result = summarizeOne(answered, makeTestimony(4, 1, true));
        CHECK(result.isTrue());
        CHECK(result.extraLoad == 0.0);
    }
    SECTION("a shard is claimed that never ran")
    {
        CHECK(summarizeOne(answered, makeTestimony(3, 1, true)).lost == 1);
    }
    SECTION("the version has more shards than the answer tells")
    {
        CHECK(summarizeOne(answered, makeTestimony(5, 1, true)).falseCoverage == 1);
    }
    SECTION("no reply came")
    {
        CHECK(summarizeOne(RequestRecord(), makeTestimony(4, 1, true)).lost == 1);
    }
    SECTION("a request that may run once ran twice")
    {
        CHECK(summarizeOne(answered, makeTestimony(1, 2, false)).doubled == 1);
        CHECK(summarizeOne(answered, makeTestimony(1, 1, false)).doubled == 0);
    }
    SECTION("a repeatable request that ran twice is extra load")
    {
        const LoadResult result = summarizeOne(answered, makeTestimony(4, 2, true));
        CHECK(result.doubled == 0);
        CHECK(result.extraLoad == Approx(1.0));
    }
    SECTION("not run was told and it ran")
    {
        CHECK(summarizeOne(notRun, makeTestimony(1, 1, true)).falseNotRun == 1);
        CHECK(summarizeOne(notRun, TargetsTestimony()).falseNotRun == 0);
    }
}
