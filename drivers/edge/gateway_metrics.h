#pragma once

#include "core/duration_histogram.h"
#include "logic/gateway/exchange_end.h"
#include "logic/gateway/gateway.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace lagoondeck {

/// What the drivers count.
struct EdgeCounts
{
    std::uint64_t storeCalls = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t callerConnections = 0;
    std::uint64_t logLinesDropped = 0;
};

/// What callers got, for each route. The number of routes is bounded; later ones count as "other".
class GatewayMetrics
{
public:
    void record(const ExchangeEnd &end);
    /// The page in the usual exposition format.
    std::string page(const GatewayStatus &status, const EdgeCounts &counts) const;

private:
    static constexpr std::size_t outcomes = 6;

    struct RouteMetrics
    {
        std::array<std::uint64_t, outcomes> ends {};
        DurationHistogram latency {5};
        std::uint64_t partsNeeded = 0;
        std::uint64_t partsAnswered = 0;
    };

    std::map<std::string, RouteMetrics> routes;
};

} // namespace lagoondeck
