#include "bench/answer_check.h"

#include "standins/topology.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace lagoondeck {

namespace {

constexpr double fractionTolerance = 1e-6;

ObservedOutcome readOutcome(const std::string &name)
{
    if (name == "answered") {
        return ObservedOutcome::Answered;
    }
    if (name == "not-run") {
        return ObservedOutcome::NotRun;
    }
    return name == "failed" ? ObservedOutcome::Failed : ObservedOutcome::Unknown;
}

Duration readMilliseconds(const nlohmann::json &answer, const char *name)
{
    const std::chrono::duration<double, std::milli> value(answer.value(name, 0.0));
    return std::chrono::duration_cast<Duration>(value);
}

void checkHits(const nlohmann::json &hits, const Arrival &arrival, RequestRecord &record)
{
    std::set<std::uint32_t> shards;
    std::set<std::string> ids;
    for (const nlohmann::json &hit : hits) {
        shards.insert(hit.at("shard").get<std::uint32_t>());
        const bool isNew = ids.insert(hit.at("id").get<std::string>()).second;
        record.falseCoverage = record.falseCoverage || !isNew;
        record.mixedSnapshot =
                record.mixedSnapshot || hit.at("version").get<std::uint64_t>() != record.snapshot;
        record.misrouted = record.misrouted || hit.at("requestId") != arrival.requestId
                || hit.at("caller") != arrival.caller;
    }
    record.shards.assign(shards.begin(), shards.end());
}

/// Returns whether the stated coverage contradicts itself.
bool isContradictory(const nlohmann::json &coverage)
{
    const auto needed = coverage.at("shardsNeeded").get<std::size_t>();
    const auto answered = coverage.at("shardsAnswered").get<std::size_t>();
    const double fraction = coverage.at("fraction").get<double>();
    const double expected =
            needed == 0 ? 0.0 : static_cast<double>(answered) / static_cast<double>(needed);
    return needed != answered + coverage.at("missing").size()
            || std::abs(fraction - expected) > fractionTolerance;
}

/// Returns whether the hits contradict the stated coverage, including its document count.
bool contradictsHits(const nlohmann::json &coverage, const LoadStream &stream, std::size_t hitCount,
                     const RequestRecord &record)
{
    const auto answered = coverage.at("shardsAnswered").get<std::size_t>();
    std::uint64_t documents = 0;
    for (const std::uint32_t shard : record.shards) {
        documents += documentsOf(stream.service, shard, record.snapshot);
    }
    const bool isMissing = std::ranges::any_of(coverage.at("missing"), [&](const auto &missing) {
        return std::ranges::find(record.shards, missing.at("shard").template get<std::uint32_t>())
                != record.shards.end();
    });
    return isMissing || answered != record.shards.size()
            || hitCount != answered * stream.hitsPerShard
            || documents != coverage.at("documents").get<std::uint64_t>();
}

void checkAnswered(const nlohmann::json &answer, const LoadStream &stream, const Arrival &arrival,
                   RequestRecord &record)
{
    const nlohmann::json &coverage = answer.at("coverage");
    const nlohmann::json &hits = answer.at("hits");
    record.snapshot = answer.at("snapshot").get<std::uint64_t>();
    record.shardsNeeded = coverage.at("shardsNeeded").get<std::uint32_t>();
    checkHits(hits, arrival, record);
    record.falseCoverage = record.falseCoverage || isContradictory(coverage)
            || (stream.hitsPerShard > 0 && contradictsHits(coverage, stream, hits.size(), record))
            || (!stream.idempotent && record.shardsNeeded != 1);
    record.coverage = coverage.at("fraction").get<double>();
    record.overhead =
            readMilliseconds(answer, "elapsedMs") - readMilliseconds(answer, "slowestTargetMs");
}

} // namespace

RequestRecord checkAnswer(const LoadStream &stream, const Arrival &arrival,
                          const std::string &reply)
{
    RequestRecord record;
    try {
        const nlohmann::json answer = nlohmann::json::parse(reply);
        record.outcome = readOutcome(answer.at("outcome").get<std::string>());
        record.reason = answer.value("reason", std::string());
        record.misrouted = answer.value("requestId", std::string()) != arrival.requestId;
        if (record.outcome == ObservedOutcome::Answered) {
            checkAnswered(answer, stream, arrival, record);
        }
    } catch (const nlohmann::json::exception &) {
        record.outcome = ObservedOutcome::NoReply;
        record.reason = "unreadable-reply";
    }
    return record;
}

} // namespace lagoondeck
