#include "core/metrics.h"

#include "core/duration_histogram.h"
#include "core/exposition_writer.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

namespace lagoondeck {

namespace {

namespace ba = boost::accumulators;

constexpr std::size_t maxClasses = 64;
constexpr std::size_t maxCallers = 64;
constexpr unsigned classBinsPerDecade = 10;
constexpr unsigned callerBinsPerDecade = 4;
constexpr const char *otherLabel = "other";
constexpr const char *noneLabel = "none";
constexpr std::array<double, 4> quantiles {0.5, 0.9, 0.99, 0.999};

using LatencyEstimates =
        ba::accumulator_set<double, ba::stats<ba::tag::count, ba::tag::extended_p_square>>;
using CoverageEstimates =
        ba::accumulator_set<double, ba::stats<ba::tag::count, ba::tag::mean, ba::tag::min>>;

using ReasonCounts = std::map<std::pair<Outcome, FailureReason>, std::uint64_t>;

} // namespace

/// The metrics of one class of traffic.
struct Metrics::ClassMetrics
{
    ClassMetrics() : estimates(ba::extended_p_square_probabilities = quantiles) { }

    std::map<Outcome, DurationHistogram> latencies;
    /// The latencies of answered queries.
    LatencyEstimates estimates;
    /// The coverage of all queries that sent sub-requests, whatever their outcome.
    CoverageEstimates coverage;
    ReasonCounts queries;
    std::map<MissingReason, std::uint64_t> missingShards;
    std::uint64_t shardsNeeded = 0;
    std::uint64_t subRequests = 0;
    std::uint64_t hedges = 0;
};

/// The metrics of one caller in one class.
struct Metrics::CallerMetrics
{
    DurationHistogram latency {callerBinsPerDecade};
    std::map<Outcome, std::uint64_t> queries;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

Metrics::ClassMetrics &Metrics::findOrAddClass(std::string_view trafficClass)
{
    if (trafficClass.empty()) {
        trafficClass = noneLabel;
    }
    auto found = this->classes.find(trafficClass);
    if (found == this->classes.end()) {
        const bool full = this->classes.size() >= maxClasses;
        const std::string name(full ? otherLabel : trafficClass);
        found = this->classes.try_emplace(name, std::make_unique<ClassMetrics>()).first;
    }
    return *found->second;
}

Metrics::CallerMetrics &Metrics::findOrAddCaller(std::string_view trafficClass,
                                                 const CallerName &caller)
{
    std::pair<std::string, std::string> key(trafficClass.empty() ? noneLabel : trafficClass,
                                            caller.value);
    auto found = this->callers.find(key);
    if (found == this->callers.end()) {
        if (this->callers.size() >= maxCallers) {
            key = {otherLabel, otherLabel};
        }
        found = this->callers.try_emplace(key, std::make_unique<CallerMetrics>()).first;
    }
    return *found->second;
}

void Metrics::record(std::string_view trafficClass, const CallerName &caller, const Answer &answer)
{
    ClassMetrics &metrics = this->findOrAddClass(trafficClass);
    auto [latency, added] =
            metrics.latencies.try_emplace(answer.outcome, DurationHistogram(classBinsPerDecade));
    latency->second.add(answer.elapsed);
    ++metrics.queries[{answer.outcome, answer.reason}];
    if (answer.outcome == Outcome::Answered) {
        metrics.estimates(std::chrono::duration<double>(answer.elapsed).count());
    }
    if (answer.subRequestsSent > 0) {
        metrics.coverage(answer.coverage.fraction());
        metrics.shardsNeeded += answer.coverage.shardsNeeded;
        metrics.subRequests += answer.subRequestsSent;
        metrics.hedges += answer.hedgesSent;
        for (const MissingShard &missing : answer.coverage.missing) {
            ++metrics.missingShards[missing.reason];
        }
    }
    CallerMetrics &callerMetrics = this->findOrAddCaller(trafficClass, caller);
    callerMetrics.latency.add(answer.elapsed);
    ++callerMetrics.queries[answer.outcome];
}

void Metrics::writeQueries(ExpositionWriter &writer) const
{
    writer.begin("lagoondeck_query_latency_seconds", MetricKind::Histogram,
                 "Time from a query's arrival to its answer.");
    for (const auto &[name, metrics] : this->classes) {
        for (const auto &[outcome, histogram] : metrics->latencies) {
            writer.sample({{"class", name}, {"outcome", toString(outcome)}}, histogram);
        }
    }
    writer.begin("lagoondeck_query_latency_quantile_seconds", MetricKind::Gauge,
                 "Estimated quantiles of answered queries since the start.");
    for (const auto &[name, metrics] : this->classes) {
        // The estimator needs at least as many samples as it has markers.
        if (ba::count(metrics->estimates) < 2 * quantiles.size() + 3) {
            continue;
        }
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            const std::string quantile = std::to_string(quantiles[i]).substr(0, 5);
            writer.sample({{"class", name}, {"quantile", quantile}},
                          ba::extended_p_square(metrics->estimates)[i]);
        }
    }
    writer.begin("lagoondeck_queries_total", MetricKind::Counter,
                 "Queries by what became of them and why.");
    for (const auto &[name, metrics] : this->classes) {
        for (const auto &[kind, count] : metrics->queries) {
            writer.sample({{"class", name},
                           {"outcome", toString(kind.first)},
                           {"reason", toString(kind.second)}},
                          count);
        }
    }
}

void Metrics::writeCoverage(ExpositionWriter &writer) const
{
    writer.begin("lagoondeck_coverage_ratio", MetricKind::Gauge,
                 "Answered part of the needed shards since the start.");
    for (const auto &[name, metrics] : this->classes) {
        if (ba::count(metrics->coverage) > 0) {
            writer.sample({{"class", name}, {"statistic", "mean"}}, ba::mean(metrics->coverage));
            writer.sample({{"class", name}, {"statistic", "min"}}, ba::min(metrics->coverage));
        }
    }
    writer.begin("lagoondeck_missing_shards_total", MetricKind::Counter,
                 "Needed shards that were left out of an answer, by reason.");
    for (const auto &[name, metrics] : this->classes) {
        for (const auto &[reason, count] : metrics->missingShards) {
            writer.sample({{"class", name}, {"reason", toString(reason)}}, count);
        }
    }
}

void Metrics::writeLoad(ExpositionWriter &writer) const
{
    const auto counter = [&](std::string_view metric, std::string_view help, auto member) {
        writer.begin(metric, MetricKind::Counter, help);
        for (const auto &[name, metrics] : this->classes) {
            writer.sample({{"class", name}}, (*metrics).*member);
        }
    };
    counter("lagoondeck_needed_shards_total", "Shards that the queries needed.",
            &ClassMetrics::shardsNeeded);
    counter("lagoondeck_sub_requests_total", "Sub-requests sent to targets.",
            &ClassMetrics::subRequests);
    counter("lagoondeck_hedges_total", "Sub-requests that were hedges.", &ClassMetrics::hedges);
    writer.begin("lagoondeck_extra_load_ratio", MetricKind::Gauge,
                 "Sub-requests beyond one for each needed shard, as a part of the needed ones.");
    for (const auto &[name, metrics] : this->classes) {
        if (metrics->shardsNeeded > 0) {
            const auto needed = static_cast<double>(metrics->shardsNeeded);
            const double extra = static_cast<double>(metrics->subRequests) - needed;
            writer.sample({{"class", name}}, std::max(extra, 0.0) / needed);
        }
    }
}

void Metrics::writeCallers(ExpositionWriter &writer) const
{
    writer.begin("lagoondeck_caller_latency_seconds", MetricKind::Histogram,
                 "Time from a caller's query to its answer.");
    for (const auto &[key, metrics] : this->callers) {
        writer.sample({{"class", key.first}, {"caller", key.second}}, metrics->latency);
    }
    writer.begin("lagoondeck_caller_queries_total", MetricKind::Counter,
                 "Queries of a caller by what became of them.");
    for (const auto &[key, metrics] : this->callers) {
        for (const auto &[outcome, count] : metrics->queries) {
            writer.sample(
                    {{"class", key.first}, {"caller", key.second}, {"outcome", toString(outcome)}},
                    count);
        }
    }
}

void Metrics::write(ExpositionWriter &writer) const
{
    this->writeQueries(writer);
    this->writeCoverage(writer);
    this->writeLoad(writer);
    this->writeCallers(writer);
}

} // namespace lagoondeck
