#pragma once

#include "core/duration_histogram.h"
#include "drivers/edge/domain_traffic.h"
#include "drivers/edge/eviction_counts.h"
#include "logic/gateway/exchange_end.h"
#include "logic/gateway/gateway.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace lagoondeck {

/// Counters of the connections, store calls and log of a gateway, read when the metrics are
/// requested.
struct EdgeCounts
{
    std::uint64_t storeCalls = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t callerConnections = 0;
    std::uint64_t logLinesDropped = 0;
    std::uint64_t callerBytes = 0;
    EvictionCounts evictions;
    std::uint64_t repliesEvicted = 0;
    /// Steps that an exception ended, by thread.
    std::map<std::string, std::uint64_t> failedSteps;
};

/// Metrics of the exchanges, by route. The number of routes is limited; further routes are counted
/// as "other".
class GatewayMetrics
{
public:
    void record(const ExchangeEnd &end);
    /// Records the time from the start of an attempt until its request was written.
    void recordWriteDelay(Duration delay) { this->writeDelays.add(delay); }
    /// Records the time that one iteration of the event loop took, without waiting for events.
    void recordIteration(Duration time) { this->iterationTimes.add(time); }
    /// Returns the metrics page in the Prometheus text exposition format.
    std::string page(const GatewayStatus &status, const EdgeCounts &counts,
                     const DomainTraffic &traffic) const;

private:
    static constexpr std::size_t outcomeCount = 6;

    struct RouteMetrics
    {
        std::array<std::uint64_t, outcomeCount> requestsByOutcome {};
        DurationHistogram latency {5};
        std::uint64_t partsNeeded = 0;
        std::uint64_t partsAnswered = 0;
    };

    std::map<std::string, RouteMetrics> routes;
    DurationHistogram writeDelays {5};
    DurationHistogram iterationTimes {5};
};

} // namespace lagoondeck
