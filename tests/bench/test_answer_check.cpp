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

/// Makes a correct answer that covers the first shards.
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

RequestRecord checkAnswerJson(const nlohmann::json &answer)
{
    return checkAnswer(makeStream(), makeArrival(), answer.dump());
}

TargetObservations makeObservations(std::uint32_t shards, std::uint32_t runsOfEach, bool idempotent)
{
    TargetObservations observations;
    RequestRuns &runs = observations.runsByRequest[runKey("fit", "caller", "request-1")];
    runs.idempotent = idempotent;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        runs.shards.push_back({shard, version, runsOfEach});
    }
    observations.shardCounts["fit"][std::to_string(version)] = shards;
    return observations;
}

LoadResult summarizeOne(const RequestRecord &record, const TargetObservations &observations)
{
    LoadPlan plan;
    plan.streams.push_back(makeStream());
    return summarize(plan, {makeArrival()}, {record}, observations);
}

} // namespace

TEST_CASE("any correct answer passes the check")
{
    rc::prop("a correct answer has no mixed snapshot, wrong request or false coverage", [] {
        const auto needed = *rc::gen::inRange<std::uint32_t>(1, 30);
        const auto answered = *rc::gen::inRange<std::uint32_t>(0, needed + 1);
        const RequestRecord record = checkAnswerJson(makeAnswer(answered, needed));
        RC_ASSERT(record.outcome == ObservedOutcome::Answered);
        RC_ASSERT(!record.mixedSnapshot);
        RC_ASSERT(!record.misrouted);
        RC_ASSERT(!record.falseCoverage);
        RC_ASSERT(record.shards.size() == answered);
    });
}

TEST_CASE("each kind of wrong answer is detected")
{
    nlohmann::json answer = makeAnswer(3, 4);
    SECTION("a hit of another version")
    {
        answer["hits"][1]["version"] = version + 1;
        CHECK(checkAnswerJson(answer).mixedSnapshot);
    }
    SECTION("a hit of another request")
    {
        answer["hits"][1]["requestId"] = "request-2";
        CHECK(checkAnswerJson(answer).misrouted);
    }
    SECTION("the answer of another request")
    {
        answer["requestId"] = "request-2";
        CHECK(checkAnswerJson(answer).misrouted);
    }
    SECTION("a shard is counted that returned no hit")
    {
        answer["coverage"]["shardsAnswered"] = 4;
        answer["coverage"]["fraction"] = 1.0;
        answer["coverage"]["missing"] = nlohmann::json::array();
        CHECK(checkAnswerJson(answer).falseCoverage);
    }
    SECTION("a document count that does not match the shards")
    {
        answer["coverage"]["documents"] = 1;
        CHECK(checkAnswerJson(answer).falseCoverage);
    }
    SECTION("a fraction that does not match the shard counts")
    {
        answer["coverage"]["fraction"] = 1.0;
        CHECK(checkAnswerJson(answer).falseCoverage);
    }
    SECTION("the same hit twice")
    {
        answer["hits"].push_back(answer["hits"][0]);
        CHECK(checkAnswerJson(answer).falseCoverage);
    }
    SECTION("a missing shard with hits")
    {
        answer["coverage"]["missing"][0]["shard"] = 0;
        CHECK(checkAnswerJson(answer).falseCoverage);
    }
}

TEST_CASE("a malformed reply counts as no reply")
{
    rc::prop("any bytes are handled without a crash",
             [](const std::string &bytes) { checkAnswer(makeStream(), makeArrival(), bytes); });
    CHECK(checkAnswer(makeStream(), makeArrival(), "{").outcome == ObservedOutcome::NoReply);
    CHECK(checkAnswer(makeStream(), makeArrival(), "[]").outcome == ObservedOutcome::NoReply);
}

TEST_CASE("lost, doubled and false not-run requests are counted from the targets' records")
{
    const RequestRecord answered = checkAnswerJson(makeAnswer(4, 4));
    RequestRecord notRun;
    notRun.outcome = ObservedOutcome::NotRun;

    SECTION("a correct answer")
    {
        const LoadResult result = summarizeOne(answered, makeObservations(4, 1, true));
        CHECK(result.isCorrect());
        CHECK(result.extraLoad == 0.0);
    }
    SECTION("the answer claims a shard that never ran")
    {
        CHECK(summarizeOne(answered, makeObservations(3, 1, true)).lost == 1);
    }
    SECTION("the version has more shards than the answer states")
    {
        CHECK(summarizeOne(answered, makeObservations(5, 1, true)).falseCoverage == 1);
    }
    SECTION("no reply arrived")
    {
        CHECK(summarizeOne(RequestRecord(), makeObservations(4, 1, true)).lost == 1);
    }
    SECTION("a request that may run only once ran twice")
    {
        CHECK(summarizeOne(answered, makeObservations(1, 2, false)).doubled == 1);
        CHECK(summarizeOne(answered, makeObservations(1, 1, false)).doubled == 0);
    }
    SECTION("an idempotent request that ran twice is extra load")
    {
        const LoadResult result = summarizeOne(answered, makeObservations(4, 2, true));
        CHECK(result.doubled == 0);
        CHECK(result.extraLoad == Approx(1.0));
    }
    SECTION("a request was reported as not run but ran")
    {
        CHECK(summarizeOne(notRun, makeObservations(1, 1, true)).falseNotRun == 1);
        CHECK(summarizeOne(notRun, TargetObservations()).falseNotRun == 0);
    }
}
