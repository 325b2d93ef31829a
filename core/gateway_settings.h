#pragma once

#include "core/ids.h"
#include "core/message_limits.h"
#include "core/retry_allowance.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// The settings of an entry instance that forwards HTTP requests by routes, from its settings file.
struct GatewaySettings
{
    InstanceId id;
    FailureDomain failureDomain;
    /// The region of each failure domain. Empty if it is unknown.
    std::map<FailureDomain, Region> regions;
    /// IP address and port for callers.
    std::string callerAddress;
    /// IP address and port on which the load balancer checks readiness.
    std::string readyAddress;
    /// IP address and port for operators: status and metrics.
    std::string controlAddress;
    /// IP address and port for peer messages.
    std::string peerAddress;
    std::string storeAddress;
    /// IP address and port of the metrics endpoint; empty to disable it.
    std::string metricsAddress;
    /// Control addresses of some other instances; they may be outdated.
    std::vector<std::string> seeds;
    RetryAllowance retries;
    /// The time from the request to stop until the process must have ended.
    Duration stopGrace = std::chrono::seconds(6);
    /// The time within which requests must stop going to a leaving target and a new configuration
    /// must be in force.
    Duration maxReactionTime = std::chrono::seconds(3);
    /// The shortest lease that the store grants.
    Duration minLease = std::chrono::seconds(1);
    /// The processor time that this instance may use, as a fraction of one processor. 0 if unknown.
    double processorShare = 0.0;
    /// How many times as fast as the fleet's usual processors this one is.
    double processorSpeed = 1.0;
    /// The bandwidth of this instance's network link in Mbit/s. 0 if unknown.
    double linkMbps = 0.0;
    /// The memory of the machine in MB, from which the bounds on what connections hold are derived.
    /// 0 if unknown.
    std::uint64_t memoryMegabytes = 0;
    /// How many descriptors the process may have open. 0 if unknown.
    std::uint64_t maxDescriptors = 0;
    /// Limits on callers' requests; `interimReplies` is one on targets' replies.
    MessageLimits message;
    /// Whether the whole fleet starts for the first time, so that no retry budget has been spent
    /// yet.
    bool firstStart = false;
    /// One in this many successfully served requests is logged; 0 logs none.
    std::uint64_t logSampleOneIn = 1000;
    /// The maximum number of request log lines per second; further lines are counted and dropped.
    std::uint32_t logLinesPerSecond = 100;
    /// Seed of the random number generator; 0 takes a seed from the operating system.
    std::uint64_t seed = 0;
};

} // namespace lagoondeck
