#include "logic/selection/snapshot_choice.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace lagoondeck {

namespace {

/// How well the targets serve one version; a greater one is better.
struct Fitness
{
    /// Every shard has a replica that serves it.
    bool whole = false;
    /// At least half of each shard's usable replicas serve it.
    bool spread = false;
    std::uint32_t shardsServed = 0;
    SnapshotVersion version;
};

bool better(const Fitness &left, const Fitness &right)
{
    if (left.whole != right.whole) {
        return left.whole;
    }
    if (left.spread != right.spread) {
        return left.spread;
    }
    if (!left.whole && left.shardsServed != right.shardsServed) {
        return left.shardsServed > right.shardsServed;
    }
    return left.version > right.version;
}

Fitness fitnessOf(const ShardMap &shards, const ServiceName &service,
                  const SnapshotAnnouncement &snapshot)
{
    Fitness fitness {true, true, 0, snapshot.version};
    for (std::uint32_t shard = 0; shard < snapshot.shardCount; ++shard) {
        std::size_t usable = 0;
        std::size_t serving = 0;
        if (const auto found = shards.find({service, ShardId(shard)}); found != shards.end()) {
            for (const TargetState *state : found->second) {
                usable += state->usable() ? 1 : 0;
                serving += state->usable() && state->serves(snapshot.version) ? 1 : 0;
            }
        }
        fitness.whole = fitness.whole && serving > 0;
        fitness.spread = fitness.spread && serving > 0 && serving * 2 >= usable;
        fitness.shardsServed += serving > 0 ? 1 : 0;
    }
    return fitness;
}

} // namespace

std::optional<SnapshotAnnouncement> chooseSnapshot(const ShardMap &shards,
                                                   const ServiceName &service)
{
    std::map<SnapshotVersion, SnapshotAnnouncement> announced;
    for (auto found = shards.lower_bound({service, ShardId(0)});
         found != shards.end() && found->first.service == service; ++found) {
        for (const TargetState *state : found->second) {
            for (const SnapshotAnnouncement &snapshot : state->report.snapshots) {
                announced.emplace(snapshot.version, snapshot);
            }
        }
    }
    std::optional<SnapshotAnnouncement> chosen;
    Fitness best;
    for (const auto &[version, snapshot] : announced) {
        const Fitness fitness = fitnessOf(shards, service, snapshot);
        if (fitness.shardsServed > 0 && (!chosen || better(fitness, best))) {
            chosen = snapshot;
            best = fitness;
        }
    }
    return chosen;
}

} // namespace lagoondeck
