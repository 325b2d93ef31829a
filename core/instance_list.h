#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// Whether the platform keeps an instance or is about to stop it.
enum class InstanceState {
    Live,
    Leaving,
};

/// A target in the platform's instance list. The list may be outdated.
struct TargetInstance
{
    TargetId id;
    ServiceName service;
    /// The shard that the target holds. Targets with the same shard are replicas.
    ShardId shard;
    /// IP address and port, for example "127.0.0.1:9001".
    std::string address;
    FailureDomain failureDomain;
    InstanceState state = InstanceState::Live;
    /// The number of sub-requests that the target runs concurrently.
    std::uint32_t slots = 1;
    /// The number of connections that the target accepts from all entry instances together.
    std::uint32_t connectionCap = 1;

    bool operator==(const TargetInstance &) const = default;
};

/// An entry instance in the platform's instance list.
struct EntryInstance
{
    InstanceId id;
    /// IP address and port for peer messages.
    std::string peerAddress;
    /// IP address and port for callers and operators.
    std::string httpAddress;
    FailureDomain failureDomain;
    InstanceState state = InstanceState::Live;

    bool operator==(const EntryInstance &) const = default;
};

/// The platform's list of live and leaving instances.
struct InstanceList
{
    std::vector<TargetInstance> targets;
    std::vector<EntryInstance> entries;

    bool operator==(const InstanceList &) const = default;
};

} // namespace lagoondeck
