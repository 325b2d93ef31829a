#include "bench/load_result.h"

#include "bench/goodput.h"

#include <algorithm>
#include <unordered_map>

namespace lagoondeck {

namespace {

/// Summarizes all replies to one request id, which may be sent twice.
struct RequestReplies
{
    bool allNotRun = true;
    bool ran = false;
};

void countOutcome(const LoadStream &stream, const RequestRecord &record, OutcomeCounts &counts)
{
    ++counts.sent;
    counts.answered += record.outcome == ObservedOutcome::Answered ? 1 : 0;
    counts.notRun += record.outcome == ObservedOutcome::NotRun ? 1 : 0;
    counts.failed += record.outcome == ObservedOutcome::Failed ? 1 : 0;
    counts.unknown += record.outcome == ObservedOutcome::Unknown ? 1 : 0;
    counts.noReply += record.outcome == ObservedOutcome::NoReply ? 1 : 0;
    counts.good += isGood(stream, record) ? 1 : 0;
}

void addLatency(const RequestRecord &record, StreamResult &result)
{
    if (record.outcome == ObservedOutcome::Answered) {
        result.latencies.add(record.latency);
        result.overheads.add(record.overhead);
    } else if (record.outcome == ObservedOutcome::NotRun) {
        result.refusals.add(record.latency);
    }
}

/// Returns whether the query ran on every shard that the answer claims, at the answer's version.
bool claimsOnlyShardsThatRan(const RequestRecord &record, const RequestRuns *runs)
{
    return std::ranges::all_of(record.shards, [&](std::uint32_t shard) {
        return runs != nullptr
                && std::ranges::any_of(runs->shards, [&](const ShardRuns &shardRuns) {
                       return shardRuns.shard == shard && shardRuns.version == record.snapshot;
                   });
    });
}

/// Returns whether the answer states the number of shards that its version really has.
bool hasCorrectShardCount(const LoadStream &stream, const RequestRecord &record,
                          const TargetObservations &observations)
{
    const auto service = observations.shardCounts.find(stream.service);
    if (service == observations.shardCounts.end() || !stream.idempotent) {
        return true;
    }
    const auto version = service->second.find(std::to_string(record.snapshot));
    return version != service->second.end() && version->second == record.shardsNeeded;
}

void checkAgainstTargets(const LoadStream &stream, const RequestRecord &record,
                         const RequestRuns *runs, const TargetObservations &observations,
                         LoadResult &result)
{
    const bool answered = record.outcome == ObservedOutcome::Answered;
    const bool falseClaim = answered && !claimsOnlyShardsThatRan(record, runs);
    const bool wrongShardCount = answered && !hasCorrectShardCount(stream, record, observations);
    result.lost += falseClaim || record.outcome == ObservedOutcome::NoReply ? 1 : 0;
    result.misrouted += record.misrouted ? 1 : 0;
    result.mixedSnapshot += record.mixedSnapshot ? 1 : 0;
    result.falseCoverage += record.falseCoverage || wrongShardCount ? 1 : 0;
}

/// Returns the number of a request's runs on each shard, over all versions.
std::map<std::uint32_t, std::uint64_t> runsByShard(const RequestRuns &request)
{
    std::map<std::uint32_t, std::uint64_t> runs;
    for (const ShardRuns &shardRuns : request.shards) {
        runs[shardRuns.shard] += shardRuns.runs;
    }
    return runs;
}

void countRuns(const RunsByRequest &runsByRequest, LoadResult &result)
{
    std::uint64_t firstRuns = 0;
    std::uint64_t allRuns = 0;
    for (const auto &[key, request] : runsByRequest) {
        std::uint64_t requestRuns = 0;
        const auto runs = runsByShard(request);
        for (const auto &[shard, count] : runs) {
            requestRuns += count;
        }
        firstRuns += runs.size();
        allRuns += requestRuns;
        result.doubled += !request.idempotent && requestRuns > 1 ? 1 : 0;
    }
    result.extraLoad = firstRuns == 0
            ? 0.0
            : static_cast<double>(allRuns - firstRuns) / static_cast<double>(firstRuns);
}

void computeCoverage(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                     const std::vector<RequestRecord> &records, LoadResult &result)
{
    double sum = 0.0;
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (records[i].outcome == ObservedOutcome::Answered && arrivals[i].at >= plan.warmUp) {
            sum += records[i].coverage;
            ++count;
            result.coverageMin = std::min(result.coverageMin, records[i].coverage);
        }
    }
    result.coverageMean = count == 0 ? 0.0 : sum / static_cast<double>(count);
    result.coverageMin = count == 0 ? 0.0 : result.coverageMin;
}

nlohmann::json streamToJson(const StreamResult &stream)
{
    nlohmann::json json = stream.counts;
    json["entry"] = stream.entry;
    json["p50Ms"] = stream.latencies.quantileMs(0.5);
    json["p99Ms"] = stream.latencies.quantileMs(0.99);
    json["refusalP99Ms"] = stream.refusals.quantileMs(0.99);
    json["overheadP50Ms"] = stream.overheads.quantileMs(0.5);
    json["overheadP99Ms"] = stream.overheads.quantileMs(0.99);
    json["reasons"] = stream.reasons;
    return json;
}

} // namespace

bool isGood(const LoadStream &stream, const RequestRecord &record)
{
    return record.outcome == ObservedOutcome::Answered && record.coverage >= 1.0
            && record.latency <= stream.deadline;
}

bool LoadResult::isCorrect() const
{
    return this->lost + this->doubled + this->misrouted + this->mixedSnapshot + this->falseCoverage
            + this->falseNotRun
            == 0;
}

OutcomeCounts LoadResult::total() const
{
    OutcomeCounts total;
    for (const StreamResult &stream : this->streams) {
        total.sent += stream.counts.sent;
        total.answered += stream.counts.answered;
        total.notRun += stream.counts.notRun;
        total.failed += stream.counts.failed;
        total.unknown += stream.counts.unknown;
        total.noReply += stream.counts.noReply;
        total.good += stream.counts.good;
    }
    return total;
}

LatencyHistogram LoadResult::latencies() const
{
    LatencyHistogram sum;
    for (const StreamResult &stream : this->streams) {
        sum += stream.latencies;
    }
    return sum;
}

nlohmann::json LoadResult::toJson() const
{
    const LatencyHistogram latencies = this->latencies();
    LatencyHistogram refusals;
    LatencyHistogram overheads;
    nlohmann::json streamList = nlohmann::json::array();
    for (const StreamResult &stream : this->streams) {
        refusals += stream.refusals;
        overheads += stream.overheads;
        streamList.push_back(streamToJson(stream));
    }
    nlohmann::json json = this->total();
    json["lost"] = this->lost;
    json["doubled"] = this->doubled;
    json["misrouted"] = this->misrouted;
    json["mixedSnapshot"] = this->mixedSnapshot;
    json["falseCoverage"] = this->falseCoverage;
    json["falseNotRun"] = this->falseNotRun;
    json["p50Ms"] = latencies.quantileMs(0.5);
    json["p99Ms"] = latencies.quantileMs(0.99);
    json["p999Ms"] = latencies.quantileMs(0.999);
    json["refusalP99Ms"] = refusals.quantileMs(0.99);
    json["overheadP50Ms"] = overheads.quantileMs(0.5);
    json["overheadP99Ms"] = overheads.quantileMs(0.99);
    json["coverageMean"] = this->coverageMean;
    json["coverageMin"] = this->coverageMin;
    json["extraLoad"] = this->extraLoad;
    json["goodputRatio"] = this->goodputRatio;
    json["targetsCrashed"] = this->targets.crashes;
    json["targets"] = this->targets;
    json["streams"] = std::move(streamList);
    for (const LatencyBar &bar : latencies.bars()) {
        json["latencyBars"].push_back({{"fromMs", bar.fromMs}, {"count", bar.count}});
    }
    return json;
}

LoadResult summarize(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                     const std::vector<RequestRecord> &records,
                     const TargetObservations &observations)
{
    LoadResult result;
    result.targets = observations.counts;
    for (const LoadStream &stream : plan.streams) {
        result.streams.push_back({stream.entry, {}, {}, {}, {}, {}});
    }
    std::unordered_map<std::string, RequestReplies> replies;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Arrival &arrival = arrivals[i];
        const RequestRecord &record = records[i];
        const LoadStream &stream = plan.streams[arrival.stream];
        StreamResult &streamResult = result.streams[arrival.stream];
        const std::string key = runKey(stream.service, arrival.caller, arrival.requestId);
        const auto runs = observations.runsByRequest.find(key);
        const bool ran = runs != observations.runsByRequest.end();
        countOutcome(stream, record, streamResult.counts);
        checkAgainstTargets(stream, record, ran ? &runs->second : nullptr, observations, result);
        if (record.outcome != ObservedOutcome::Answered) {
            ++streamResult.reasons[record.reason];
        }
        if (arrival.at >= plan.warmUp) {
            addLatency(record, streamResult);
        }
        RequestReplies &requestReplies = replies[key];
        requestReplies.allNotRun =
                requestReplies.allNotRun && record.outcome == ObservedOutcome::NotRun;
        requestReplies.ran = ran;
    }
    for (const auto &[key, requestReplies] : replies) {
        result.falseNotRun += requestReplies.allNotRun && requestReplies.ran ? 1 : 0;
    }
    countRuns(observations.runsByRequest, result);
    computeCoverage(plan, arrivals, records, result);
    result.goodputRatio = goodputRatio(plan, arrivals, records);
    return result;
}

} // namespace lagoondeck
