#pragma once

#include "bench/arrival.h"
#include "bench/latency_histogram.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"
#include "standins/run_recorder.h"
#include "standins/target_counts.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// The stand-in targets' records of a run.
struct TargetObservations
{
    RunsByRequest runsByRequest;
    /// Shard counts by service and version.
    std::map<std::string, std::map<std::string, std::uint32_t>> shardCounts;
    TargetCounts counts;
};

/// Counts of the queries of one stream or of all streams.
struct OutcomeCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t unknown = 0;
    std::uint64_t noReply = 0;
    /// Complete answers within their deadline.
    std::uint64_t good = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(OutcomeCounts, sent, answered, notRun, failed, unknown, noReply,
                                   good)
};

/// The results of one stream.
struct StreamResult
{
    std::string entry;
    OutcomeCounts counts;
    LatencyHistogram latencies;
    LatencyHistogram refusals;
    LatencyHistogram overheads;
    /// The number of queries without an answer, by reason.
    std::map<std::string, std::uint64_t> reasons;
};

/// The result of a load run, including the counts of the stand-in targets.
struct LoadResult
{
    std::vector<StreamResult> streams;
    /// Queries without a reply, and answers that claim a shard on which the query never ran.
    std::uint64_t lost = 0;
    /// Requests that are not idempotent and ran more than once.
    std::uint64_t doubled = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t mixedSnapshot = 0;
    std::uint64_t falseCoverage = 0;
    /// Requests that were reported as "not run" but ran.
    std::uint64_t falseNotRun = 0;
    double coverageMean = 0.0;
    double coverageMin = 1.0;
    /// The ratio of repeated runs of a request on a shard to first runs.
    double extraLoad = 0.0;
    /// The ratio of complete answers in time to the offered load that could be served.
    double goodputRatio = 0.0;
    /// The sum of all targets' counts.
    TargetCounts targets;

    /// Returns whether no request was lost, misrouted or run twice and no answer was wrong.
    bool isCorrect() const;
    OutcomeCounts total() const;
    /// Returns the latencies of all answers.
    LatencyHistogram latencies() const;
    /// Returns the columns of build/bench/results.json and one object for each stream.
    nlohmann::json toJson() const;
};

/// Combines the load tool's records with the stand-in targets' records.
LoadResult summarize(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                     const std::vector<RequestRecord> &records,
                     const TargetObservations &observations);

/// Returns whether a query got a complete answer in time.
bool isGood(const LoadStream &stream, const RequestRecord &record);

} // namespace lagoondeck
