#pragma once

#include "bench/arrival.h"
#include "bench/latency_histogram.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"
#include "standins/run_ledger.h"
#include "standins/target_counts.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// What the stand-in targets say of a run.
struct TargetsTestimony
{
    RunsByRequest ran;
    /// Shard counts by service and version.
    std::map<std::string, std::map<std::string, std::uint32_t>> shardCounts;
    TargetCounts counts;
};

/// Counts of one stream's queries, or of all.
struct OutcomeCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t unknown = 0;
    std::uint64_t noReply = 0;
    /// Whole answers within their deadline.
    std::uint64_t good = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(OutcomeCounts, sent, answered, notRun, failed, unknown, noReply,
                                   good)
};

/// One stream's part of a result.
struct StreamResult
{
    std::string entry;
    OutcomeCounts counts;
    LatencyHistogram latencies;
    LatencyHistogram refusals;
    LatencyHistogram overheads;
    /// Replies other than answers, by reason.
    std::map<std::string, std::uint64_t> reasons;
};

/// The result of a load run, with what the stand-in targets counted.
struct LoadResult
{
    std::vector<StreamResult> streams;
    /// Queries without a reply, and answers that claim a shard which never ran.
    std::uint64_t lost = 0;
    /// Requests that are not idempotent and ran more than once.
    std::uint64_t doubled = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t mixedSnapshot = 0;
    std::uint64_t falseCoverage = 0;
    /// Requests that were told "not run" and ran.
    std::uint64_t falseNotRun = 0;
    double coverageMean = 0.0;
    double coverageMin = 1.0;
    /// Runs beyond the first of each request's shard, as a part of the first ones.
    double extraLoad = 0.0;
    /// Whole answers in time, as a part of what was offered and could be served.
    double goodputRatio = 0.0;
    /// What all targets counted together.
    TargetCounts targets;

    /// Says whether nothing was lost, doubled, mixed or told untruly.
    bool isTrue() const;
    OutcomeCounts total() const;
    /// Latencies of all answers.
    LatencyHistogram latencies() const;
    /// The columns of build/bench/results.json, and one object for each stream.
    nlohmann::json toJson() const;
};

/// Puts what the load tool saw and what the targets counted together.
LoadResult summarize(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                     const std::vector<RequestRecord> &records, const TargetsTestimony &testimony);

/// Says whether a query was answered whole and in time.
bool isGood(const LoadStream &stream, const RequestRecord &record);

} // namespace lagoondeck
