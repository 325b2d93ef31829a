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

/// Which targets hold which shard, and which index version each service's new queries read.
class ShardIndex
{
public:
    void add(TargetState &state);
    void remove(const TargetState &state);
    /// Chooses the service's index version again, after what its targets serve has changed.
    void recomputeSnapshot(const ServiceName &service, Context &context);

    std::span<TargetState *const> replicas(const ShardKey &key) const;
    /// The usable replicas that serve the snapshot, none of the excluded ones.
    std::vector<TargetState *> serving(const ShardKey &key, SnapshotVersion snapshot,
                                       std::span<const TargetId> excluded) const;
    /// The index version that new queries of a service read.
    std::optional<SnapshotAnnouncement> snapshotFor(const ServiceName &service) const;
    /// Some usable target of the shard, not excluded, serves the snapshot.
    bool hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                    std::span<const TargetId> excluded) const;
    /// Some usable target holds the shard, whatever snapshots it serves.
    bool hasUsable(const ShardKey &key) const;
    /// Some listed target of the shard, not excluded, is out of reach for a moment only.
    bool mayReturn(const ShardKey &key, std::span<const TargetId> excluded) const;

private:
    ShardMap shards;
    std::map<ServiceName, SnapshotAnnouncement> snapshots;
};

} // namespace lagoondeck
