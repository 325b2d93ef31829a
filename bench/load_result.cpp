#include "bench/load_result.h"

#include "bench/goodput.h"

#include <algorithm>
#include <unordered_map>

namespace lagoondeck {

namespace {

/// What all replies of one request id together said; an id may be sent twice.
struct RequestReplies
{
    bool allNotRun = true;
    bool ran = false;
};

void countOutcome(const LoadStream &stream, const RequestRecord &record, OutcomeCounts &counts)
{
    ++counts.sent;
    counts.answered += record.outcome == SeenOutcome::Answered ? 1 : 0;
    counts.notRun += record.outcome == SeenOutcome::NotRun ? 1 : 0;
    counts.failed += record.outcome == SeenOutcome::Failed ? 1 : 0;
    counts.unknown += record.outcome == SeenOutcome::Unknown ? 1 : 0;
    counts.noReply += record.outcome == SeenOutcome::NoReply ? 1 : 0;
    counts.good += isGood(stream, record) ? 1 : 0;
}

void addLatency(const RequestRecord &record, StreamResult &result)
{
    if (record.outcome == SeenOutcome::Answered) {
        result.latencies.add(record.latency);
        result.overheads.add(record.overhead);
    } else if (record.outcome == SeenOutcome::NotRun) {
        result.refusals.add(record.latency);
    }
}

/// Says whether every shard that the answer claims ran at the answer's version.
bool claimsOnlyWhatRan(const RequestRecord &record, const RequestRuns *runs)
{
    return std::ranges::all_of(record.shards, [&](std::uint32_t shard) {
        return runs != nullptr && std::ranges::any_of(runs->shards, [&](const ShardRuns &one) {
                   return one.shard == shard && one.version == record.snapshot;
               });
    });
}

/// Says whether the answer tells the number of shards that its version truly has.
bool tellsTrueShardCount(const LoadStream &stream, const RequestRecord &record,
                         const TargetsTestimony &testimony)
{
    const auto service = testimony.shardCounts.find(stream.service);
    if (service == testimony.shardCounts.end() || !stream.idempotent) {
        return true;
    }
    const auto version = service->second.find(std::to_string(record.snapshot));
    return version != service->second.end() && version->second == record.shardsNeeded;
}

void checkAgainstTargets(const LoadStream &stream, const RequestRecord &record,
                         const RequestRuns *runs, const TargetsTestimony &testimony,
                         LoadResult &result)
{
    const bool answered = record.outcome == SeenOutcome::Answered;
    const bool untrue = answered && !claimsOnlyWhatRan(record, runs);
    const bool wrongCount = answered && !tellsTrueShardCount(stream, record, testimony);
    result.lost += untrue || record.outcome == SeenOutcome::NoReply ? 1 : 0;
    result.misrouted += record.misrouted ? 1 : 0;
    result.mixedSnapshot += record.mixedSnapshot ? 1 : 0;
    result.falseCoverage += record.falseCoverage || wrongCount ? 1 : 0;
}

/// Runs of each of a request's shards, over all versions.
std::map<std::uint32_t, std::uint64_t> runsByShard(const RequestRuns &request)
{
    std::map<std::uint32_t, std::uint64_t> runs;
    for (const ShardRuns &one : request.shards) {
        runs[one.shard] += one.runs;
    }
    return runs;
}

void countRuns(const RunsByRequest &ran, LoadResult &result)
{
    std::uint64_t first = 0;
    std::uint64_t all = 0;
    for (const auto &[key, request] : ran) {
        std::uint64_t ofRequest = 0;
        const auto runs = runsByShard(request);
        for (const auto &[shard, count] : runs) {
            ofRequest += count;
        }
        first += runs.size();
        all += ofRequest;
        result.doubled += !request.idempotent && ofRequest > 1 ? 1 : 0;
    }
    result.extraLoad =
            first == 0 ? 0.0 : static_cast<double>(all - first) / static_cast<double>(first);
}

void meanCoverage(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                  const std::vector<RequestRecord> &records, LoadResult &result)
{
    double sum = 0.0;
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (records[i].outcome == SeenOutcome::Answered && arrivals[i].at >= plan.warmUp) {
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
    return record.outcome == SeenOutcome::Answered && record.coverage >= 1.0
            && record.latency <= stream.deadline;
}

bool LoadResult::isTrue() const
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
    nlohmann::json each = nlohmann::json::array();
    for (const StreamResult &stream : this->streams) {
        refusals += stream.refusals;
        overheads += stream.overheads;
        each.push_back(streamToJson(stream));
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
    json["streams"] = std::move(each);
    for (const LatencyBar &bar : latencies.bars()) {
        json["latencyBars"].push_back({{"fromMs", bar.fromMs}, {"count", bar.count}});
    }
    return json;
}

LoadResult summarize(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                     const std::vector<RequestRecord> &records, const TargetsTestimony &testimony)
{
    LoadResult result;
    result.targets = testimony.counts;
    for (const LoadStream &stream : plan.streams) {
        result.streams.push_back({stream.entry, {}, {}, {}, {}, {}});
    }
    std::unordered_map<std::string, RequestReplies> replies;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Arrival &arrival = arrivals[i];
        const RequestRecord &record = records[i];
        const LoadStream &stream = plan.streams[arrival.stream];
        StreamResult &ofStream = result.streams[arrival.stream];
        const std::string key = runKey(stream.service, arrival.caller, arrival.requestId);
        const auto runs = testimony.ran.find(key);
        const bool ran = runs != testimony.ran.end();
        countOutcome(stream, record, ofStream.counts);
        checkAgainstTargets(stream, record, ran ? &runs->second : nullptr, testimony, result);
        if (record.outcome != SeenOutcome::Answered) {
            ++ofStream.reasons[record.reason];
        }
        if (arrival.at >= plan.warmUp) {
            addLatency(record, ofStream);
        }
        RequestReplies &told = replies[key];
        told.allNotRun = told.allNotRun && record.outcome == SeenOutcome::NotRun;
        told.ran = ran;
    }
    for (const auto &[key, told] : replies) {
        result.falseNotRun += told.allNotRun && told.ran ? 1 : 0;
    }
    countRuns(testimony.ran, result);
    meanCoverage(plan, arrivals, records, result);
    result.goodputRatio = goodputRatio(plan, arrivals, records);
    return result;
}

} // namespace lagoondeck
