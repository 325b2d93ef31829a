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

/// The index version that new queries of a service read.
/// It takes the newest version that at least half of the usable replicas of every shard read, since
/// a version that only a few replicas read would put all load on those few. Failing that, the
/// newest that every shard can read; failing that, the version that covers the most shards.
std::optional<SnapshotAnnouncement> chooseSnapshot(const ShardMap &shards,
                                                   const ServiceName &service);

} // namespace lagoondeck
