#pragma once

#include "core/ids.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/snapshot_choice.h"
#include "logic/selection/target_state.h"
#include "logic/target_report.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lagoondeck {

struct Context;

/// Maps each shard to the targets that hold it, and each service to the index version that its new
/// queries read.
class ShardIndex
{
public:
    void add(TargetState &state);
    void remove(const TargetState &state);
    /// Chooses the service's snapshot again. Called after a change in the versions that its
    /// targets serve or in which targets are usable.
    void recomputeSnapshot(const ServiceName &service, Context &context);

    std::span<TargetState *const> replicas(const ShardKey &key) const;
    /// Returns the usable replicas that serve the snapshot, except the excluded ones.
    std::vector<TargetState *> servingReplicas(const ShardKey &key, SnapshotVersion snapshot,
                                               std::span<const TargetId> excluded) const;
    /// Returns the snapshot (the version of the index) that new queries of a service read.
    std::optional<SnapshotAnnouncement> snapshotFor(const ServiceName &service) const;
    /// Returns whether a usable replica of the shard that is not excluded serves the snapshot.
    bool hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                    std::span<const TargetId> excluded) const;
    /// Returns whether a usable target holds the shard, whatever snapshots it serves.
    bool hasUsableReplica(const ShardKey &key) const;
    /// Returns whether a listed target of the shard that is not excluded is only briefly
    /// unreachable.
    bool hasRecoveringReplica(const ShardKey &key, std::span<const TargetId> excluded) const;

private:
    ShardMap shards;
    std::map<ServiceName, SnapshotAnnouncement> snapshots;
};

} // namespace lagoondeck
