#pragma once

#include "core/catalogue_entry.h"
#include "core/coverage.h"
#include "logic/events.h"
#include "logic/fanout/attempt_ledger.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/target_table.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lagoondeck {

/// Where one shard of a query stands.
enum class ShardPhase {
    Waiting,    ///< In the shard's queue.
    Running,    ///< At least one attempt is out.
    BackingOff, ///< Every replica refused it; it is sent again a little later.
    Answered,
    Missing, ///< Given up; the reason is set.
};

/// The reply that answered a shard, as its attempt recorded it.
struct ShardReply
{
    AttemptId attempt;
    /// The shard that the attempt was sent for.
    ShardId shard;
    /// The version that the target names in its reply.
    SnapshotVersion snapshot;
};

/// One needed shard of a query.
struct ShardWork
{
    ShardId shard;
    ShardPhase phase = ShardPhase::Waiting;
    MissingReason reason = MissingReason::DeadlinePassed;
    /// Attempts that are out.
    std::vector<AttemptId> attemptsOut;
    std::uint32_t attemptsSent = 0;
    /// Targets that had an attempt of this shard.
    std::vector<TargetId> tried;
    /// When a shard that backs off is sent again.
    Instant retryAt {};
    /// Set when it is answered.
    std::optional<ShardReply> answeredBy;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;

    bool open() const
    {
        return this->phase != ShardPhase::Answered && this->phase != ShardPhase::Missing;
    }
};

/// One sub-request on its way; it outlives its query until its connection is settled.
struct Attempt
{
    AttemptId id;
    QueryId query;
    ShardKey key;
    SnapshotVersion snapshot;
    Reservation reservation;
    Instant sentAt {};
    /// The query's number of restarts when it was sent.
    std::uint32_t round = 0;
    bool hedge = false;
    bool cancelled = false;
};

/// One query of a caller while it runs.
struct Query
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    /// When the answer must leave.
    Instant deadlineAt {};
    SnapshotAnnouncement snapshot;
    /// The shards that the pinned snapshot asks for; told apart from the list below as a check.
    std::uint32_t shardsNeeded = 0;
    std::vector<ShardWork> shards;
    /// Shards neither answered nor missing.
    std::uint32_t shardsOpen = 0;
    std::uint32_t shardsMissing = 0;
    AttemptLedger ledger;
    std::uint32_t hedgesSent = 0;
    /// Attempts whose target was lost while it may have been running them.
    std::uint32_t targetsLost = 0;
    std::uint32_t restarts = 0;
    /// Until a target has run the request and lives, only this shard is sent, to one target.
    std::optional<ShardId> canary;
    /// A shard no longer serves the pinned snapshot.
    bool snapshotGone = false;
    /// When the query is looked at next for late shards.
    std::optional<Instant> nextLookAt;
    Duration slowestReply {};

    double minimumCoverage() const
    {
        return this->request.minimumCoverage.value_or(this->entry.minimumCoverage);
    }

    /// So many shards may be missing from an answer.
    bool minimumReachable() const
    {
        const auto reachable = static_cast<double>(this->shardsNeeded - this->shardsMissing);
        return this->shardsNeeded > 0 && reachable > 0.0
                && reachable / this->shardsNeeded >= this->minimumCoverage();
    }

    /// The shards are in a row, so that a reply finds its shard at once.
    ShardWork *work(ShardId shard)
    {
        if (this->shards.empty() || shard < this->shards.front().shard) {
            return nullptr;
        }
        const std::size_t index = shard.value - this->shards.front().shard.value;
        return index < this->shards.size() ? &this->shards[index] : nullptr;
    }
};

} // namespace lagoondeck
