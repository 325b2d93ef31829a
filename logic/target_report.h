#pragma once

#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace lagoondeck {

/// An index version that a target can read, and how many shards the index has in it.
struct SnapshotAnnouncement
{
    SnapshotVersion version;
    std::uint32_t shardCount = 0;

    bool operator==(const SnapshotAnnouncement &) const = default;
};

/// The state that a target reports about itself in each reply and health check. The reported load
/// may be stale or wrong.
struct TargetReport
{
    std::vector<SnapshotAnnouncement> snapshots;
    bool leaving = false;
    /// The target has just started and is still slow.
    bool cold = false;
    std::uint32_t inFlight = 0;

    bool operator==(const TargetReport &) const = default;
};

} // namespace lagoondeck
