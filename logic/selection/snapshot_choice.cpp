#include "logic/selection/snapshot_choice.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace lagoondeck {

namespace {

/// How widely the targets serve one snapshot version.
struct SnapshotAvailability
{
    /// Every shard has a usable replica that serves the version.
    bool complete = false;
    /// At least half of each shard's usable replicas serve the version.
    bool widelyServed = false;
    std::uint32_t shardsServed = 0;
    SnapshotVersion version;
};

bool isBetter(const SnapshotAvailability &left, const SnapshotAvailability &right)
{
    if (left.complete != right.complete) {
        return left.complete;
    }
    if (left.widelyServed != right.widelyServed) {
        return left.widelyServed;
    }
    if (!left.complete && left.shardsServed != right.shardsServed) {
        return left.shardsServed > right.shardsServed;
    }
    return left.version > right.version;
}

SnapshotAvailability availabilityOf(const ShardMap &shards, const ServiceName &service,
                                    const SnapshotAnnouncement &snapshot)
{
    SnapshotAvailability availability {true, true, 0, snapshot.version};
    for (std::uint32_t shard = 0; shard < snapshot.shardCount; ++shard) {
        std::size_t usable = 0;
        std::size_t serving = 0;
        if (const auto found = shards.find({service, ShardId(shard)}); found != shards.end()) {
            for (const TargetState *state : found->second) {
                usable += state->isUsable() ? 1 : 0;
                serving += state->isUsable() && state->serves(snapshot.version) ? 1 : 0;
            }
        }
        availability.complete = availability.complete && serving > 0;
        availability.widelyServed =
                availability.widelyServed && serving > 0 && serving * 2 >= usable;
        availability.shardsServed += serving > 0 ? 1 : 0;
    }
    return availability;
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
    SnapshotAvailability best;
    for (const auto &[version, snapshot] : announced) {
        const SnapshotAvailability availability = availabilityOf(shards, service, snapshot);
        if (availability.shardsServed > 0 && (!chosen || isBetter(availability, best))) {
            chosen = snapshot;
            best = availability;
        }
    }
    return chosen;
}

} // namespace lagoondeck
