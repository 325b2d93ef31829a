#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// Whether the platform means to keep an instance.
enum class InstanceState {
    Live,
    Leaving,
};

/// A target as the platform's instance list tells it; the list lags.
struct TargetInstance
{
    TargetId id;
    ServiceName service;
    /// The shard the target holds; targets of one shard are replicas.
    ShardId shard;
    /// IP number and port, for example "127.0.0.1:9001".
    std::string address;
    FailureDomain failureDomain;
    InstanceState state = InstanceState::Live;
    /// Sub-requests the target runs at once.
    std::uint32_t slots = 1;
    /// Connections the target accepts from all entry instances together.
    std::uint32_t connectionCap = 1;

    bool operator==(const TargetInstance &) const = default;
};

/// An entry instance as the platform's instance list tells it.
struct EntryInstance
{
    InstanceId id;
    /// IP number and port for peer messages.
    std::string peerAddress;
    /// IP number and port for callers and operators.
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
