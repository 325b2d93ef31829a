#pragma once

#include "core/catalogue_entry.h"
#include "core/coverage.h"
#include "logic/events.h"
#include "logic/fanout/attempt_counts.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/target_table.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lagoondeck {

/// The state of one shard of a query.
enum class ShardPhase {
    Waiting,    ///< In the shard's wait queue.
    Running,    ///< At least one attempt is in flight.
    BackingOff, ///< Every replica refused it; it is sent again after a delay.
    Answered,
    Missing, ///< It will not be answered; `reason` is set.
};

/// Identifies the reply that answered a shard.
struct ShardReply
{
    AttemptId attempt;
    /// The shard that the attempt was sent for.
    ShardId shard;
    /// The snapshot version that the target reports in its reply.
    SnapshotVersion snapshot;
};

/// The work on one needed shard of a query.
struct ShardWork
{
    ShardId shard;
    ShardPhase phase = ShardPhase::Waiting;
    MissingReason reason = MissingReason::DeadlinePassed;
    /// Attempts in flight.
    std::vector<AttemptId> inFlightAttempts;
    std::uint32_t attemptsSent = 0;
    /// Targets to which an attempt of this shard was sent. It is cleared when all replicas may be
    /// tried again.
    std::vector<TargetId> triedTargets;
    /// When a shard that is backing off is sent again.
    Instant retryAt {};
    /// Set when the shard is answered.
    std::optional<ShardReply> answeredBy;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;

    bool isOpen() const
    {
        return this->phase != ShardPhase::Answered && this->phase != ShardPhase::Missing;
    }
};

/// One sub-request in flight. It can outlive its query: it exists until its reply arrives or its
/// connection closes.
struct Attempt
{
    AttemptId id;
    QueryId query;
    ShardKey key;
    SnapshotVersion snapshot;
    Reservation reservation;
    Instant sentAt {};
    /// The query's number of restarts when the attempt was sent.
    std::uint32_t queryRestarts = 0;
    bool hedge = false;
    bool cancelled = false;
};

/// The state of one running query of a caller.
struct Query
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    /// When the answer must be sent.
    Instant deadlineAt {};
    SnapshotAnnouncement snapshot;
    /// The number of shards in the query's scope under the pinned snapshot. It is kept separately
    /// from the list below, so that the coverage can be checked against it.
    std::uint32_t shardsNeeded = 0;
    std::vector<ShardWork> shards;
    /// Shards neither answered nor missing.
    std::uint32_t shardsOpen = 0;
    std::uint32_t shardsMissing = 0;
    AttemptCounts attemptCounts;
    std::uint32_t hedgesSent = 0;
    /// Number of attempts whose target was lost while it may have been running them.
    std::uint32_t targetsLost = 0;
    std::uint32_t restarts = 0;
    /// Set for a canary: only this shard is sent, to one target, until the target has run the
    /// request and survived.
    std::optional<ShardId> canary;
    /// Set when no usable replica of a shard serves the pinned snapshot any more.
    bool snapshotRetired = false;
    /// When the query is next checked for late shards and due retries.
    std::optional<Instant> nextCheckAt;
    Duration slowestReply {};

    double minimumCoverage() const
    {
        return this->request.minimumCoverage.value_or(this->entry.minimumCoverage);
    }

    /// Returns whether the minimum coverage can still be reached, given the shards that are already
    /// missing.
    bool canReachMinimumCoverage() const
    {
        const auto reachable = static_cast<double>(this->shardsNeeded - this->shardsMissing);
        return this->shardsNeeded > 0 && reachable > 0.0
                && reachable / this->shardsNeeded >= this->minimumCoverage();
    }

    /// Returns the work on a shard; nullptr when the query does not need it. The shard numbers are
    /// consecutive, so that the lookup is an index.
    ShardWork *findShard(ShardId shard)
    {
        if (this->shards.empty() || shard < this->shards.front().shard) {
            return nullptr;
        }
        const std::size_t index = shard.value - this->shards.front().shard.value;
        return index < this->shards.size() ? &this->shards[index] : nullptr;
    }
};

} // namespace lagoondeck
