#pragma once

#include "core/ids.h"
#include "core/retry_allowance.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// What an entry instance is told by its settings file when it forwards HTTP by routes.
struct GatewaySettings
{
    InstanceId id;
    FailureDomain failureDomain;
    /// IP number and port for callers.
    std::string callerAddress;
    /// IP number and port on which the balancer asks for readiness.
    std::string readyAddress;
    /// IP number and port for operators: status and metrics.
    std::string controlAddress;
    /// IP number and port for peer messages.
    std::string peerAddress;
    std::string storeAddress;
    /// IP number and port of the metrics page; empty for none.
    std::string metricsAddress;
    /// Addresses of some instances' control ports; they may be stale.
    std::vector<std::string> seeds;
    RetryAllowance retries;
    /// From the request to stop until the process must have ended.
    Duration stopGrace = std::chrono::seconds(6);
    /// In this time a leaving target must be left and a new configuration be in force.
    Duration reactionBound = std::chrono::seconds(3);
    /// A lease of the store lasts at least this long.
    Duration shortestLease = std::chrono::seconds(1);
    /// The whole fleet starts for the first time: nothing was spent before.
    bool firstStart = false;
    /// Of the requests that are served well one in so many is logged; 0 for none.
    std::uint64_t logSampleOneIn = 1000;
    /// Log lines of requests that one second may bring; the rest is counted and dropped.
    std::uint32_t logLinesPerSecond = 100;
    /// Seed of the random numbers; 0 takes one from the system.
    std::uint64_t seed = 0;
};

} // namespace lagoondeck
