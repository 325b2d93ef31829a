#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// The policy of an entry instance. Measurements compare Full with Baseline.
enum class PolicyKind {
    Baseline, ///< A random replica, no hedges, no limits, a fixed timeout.
    Full,
};

/// The settings of an entry instance that fans out queries, from its settings file.
struct Settings
{
    InstanceId id;
    FailureDomain failureDomain;
    /// IP address and port for callers and operators.
    std::string httpAddress;
    /// IP address and port for peer messages.
    std::string peerAddress;
    /// IP address and port of the key-value service.
    std::string storeAddress;
    /// IP address and port of the instance list.
    std::string instanceListAddress;
    /// A secret that all members share, 40 characters in Z85 encoding. Peers without it are
    /// refused. When it is empty, every peer is accepted.
    std::string peerKey;
    PolicyKind policy = PolicyKind::Full;
    /// Seed of the random number generator; 0 takes a seed from the operating system.
    std::uint64_t seed = 0;
    /// The maximum size of a request's body in bytes.
    std::uint64_t maximumBodyBytes = 256 * 1024;
    /// The number of caller connections that are served concurrently.
    std::uint32_t callerThreads = 256;
    /// The maximum duration of a graceful stop.
    Duration stopBound = std::chrono::seconds(20);
    Duration instanceListInterval = std::chrono::milliseconds(500);
    /// Targets' connection caps are divided by the number of instances, but at least by this
    /// number.
    std::uint32_t expectedInstances = 8;
    /// The minimum time for which the store keeps the claim of a request that must run at most
    /// once. A request older than two thirds of this time is refused.
    Duration claimRetention = std::chrono::minutes(15);
    /// The maximum number of writes per second to the store for the claims of all instances
    /// together.
    double claimWritesPerSecond = 200.0;
    std::string logDirectory;
};

} // namespace lagoondeck
