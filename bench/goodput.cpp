#include "bench/goodput.h"

#include "bench/latency_histogram.h"
#include "bench/load_result.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration stepLength = std::chrono::milliseconds(250);

/// The load of one service in one time step, in units of a query on all shards.
struct StepWork
{
    double offered = 0.0;
    double good = 0.0;
    double capacityPerSecond = 0.0;
};

/// Returns the work of a query relative to a query on all shards.
double queryWeight(const LoadStream &stream)
{
    return stream.idempotent ? 1.0 : 1.0 / stream.shards;
}

double servableWork(const StepWork &work)
{
    const double capacity =
            work.capacityPerSecond * std::chrono::duration<double>(stepLength).count();
    return work.capacityPerSecond <= 0.0 ? work.offered : std::min(work.offered, capacity);
}

} // namespace

double goodputRatio(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                    const std::vector<RequestRecord> &records)
{
    std::map<std::pair<std::string, Duration::rep>, StepWork> steps;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        if (arrivals[i].at < plan.warmUp) {
            continue;
        }
        const LoadStream &stream = plan.streams[arrivals[i].stream];
        StepWork &work = steps[{stream.service, arrivals[i].at / stepLength}];
        work.offered += queryWeight(stream);
        work.good += isGood(stream, records[i]) ? queryWeight(stream) : 0.0;
        work.capacityPerSecond = std::max(work.capacityPerSecond, stream.capacityPerSecond);
    }
    double good = 0.0;
    double servableTotal = 0.0;
    for (const auto &[step, work] : steps) {
        good += work.good;
        servableTotal += servableWork(work);
    }
    return servableTotal <= 0.0 ? 0.0 : good / servableTotal;
}

std::string writeTimeline(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                          const std::vector<RequestRecord> &records)
{
    struct Step
    {
        OutcomeCounts counts;
        LatencyHistogram latencies;
    };
    std::map<Duration::rep, Step> steps;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        Step &step = steps[arrivals[i].at / stepLength];
        ++step.counts.sent;
        step.counts.good += isGood(plan.streams[arrivals[i].stream], records[i]) ? 1 : 0;
        step.counts.notRun += records[i].outcome == ObservedOutcome::NotRun ? 1 : 0;
        if (records[i].outcome == ObservedOutcome::Answered) {
            step.latencies.add(records[i].latency);
        }
    }
    std::ostringstream text;
    text << "# second\toffered\tgood\tnotRun\tother\tp50Ms\tp99Ms\n";
    const double seconds = std::chrono::duration<double>(stepLength).count();
    for (const auto &[number, step] : steps) {
        const auto other = step.counts.sent - step.counts.good - step.counts.notRun;
        text << static_cast<double>(number) * seconds << '\t'
             << static_cast<double>(step.counts.sent) / seconds << '\t'
             << static_cast<double>(step.counts.good) / seconds << '\t'
             << static_cast<double>(step.counts.notRun) / seconds << '\t'
             << static_cast<double>(other) / seconds << '\t' << step.latencies.quantileMs(0.5)
             << '\t' << step.latencies.quantileMs(0.99) << '\n';
    }
    return text.str();
}

} // namespace lagoondeck
