#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// The rules a node decides by; Baseline is what measurements are compared with.
enum class PolicyKind {
    Baseline, ///< Random replica, no hedge, no limit, fixed timeout.
    Full,
};

/// What one entry instance is told by its settings file.
struct Settings
{
    InstanceId id;
    FailureDomain failureDomain;
    /// IP number and port for callers and operators.
    std::string httpAddress;
    /// IP number and port for peer messages.
    std::string peerAddress;
    /// Address of the key-value service.
    std::string storeAddress;
    /// Address of the instance list.
    std::string instanceListAddress;
    /// A secret that all members share, 40 characters of Z85; a peer without it is refused. Empty
    /// lets every peer in.
    std::string peerKey;
    PolicyKind policy = PolicyKind::Full;
    /// Seed of the node's random numbers; 0 takes one from the system.
    std::uint64_t seed = 0;
    /// The largest body a caller may send, in bytes.
    std::uint64_t maximumBodyBytes = 256 * 1024;
    /// Caller connections served at once.
    std::uint32_t callerThreads = 256;
    /// How long a graceful stop may take at most.
    Duration stopBound = std::chrono::seconds(20);
    Duration instanceListInterval = std::chrono::milliseconds(500);
    /// Targets' connection caps are divided by this many instances at least.
    std::uint32_t expectedInstances = 8;
    /// A claim of a request that must run at most once lasts at least this long; a request older
    /// than two thirds of it is refused.
    Duration claimRetention = std::chrono::minutes(15);
    /// Writes a second that the claims of all instances together may cost the store.
    double claimWritesPerSecond = 200.0;
    std::string logDirectory;
};

} // namespace lagoondeck
