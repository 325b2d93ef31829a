#pragma once

#include "logic/selection/shard_key.h"
#include "logic/selection/target_state.h"
#include "logic/target_report.h"

#include <map>
#include <optional>
#include <vector>

namespace lagoondeck {

/// The replicas of each shard.
using ShardMap = std::map<ShardKey, std::vector<TargetState *>>;

/// Chooses the snapshot (the version of the index) that new queries of a service read. Prefers the
/// newest version that at least half of the usable replicas of every shard serve, because a version
/// that few replicas serve would put all load on those few. Otherwise it is the newest version that
/// every shard serves, and otherwise the version that covers the most shards.
std::optional<SnapshotAnnouncement> chooseSnapshot(const ShardMap &shards,
                                                   const ServiceName &service);

} // namespace lagoondeck
