#pragma once

#include "core/catalogue_entry.h"
#include "core/coverage.h"
#include "logic/events.h"
#include "logic/fanout/attempt_ledger.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/target_table.h"

#include <cstdint>
#include <vector>

namespace lagoondeck {

/// Where one shard of a query stands.
enum class ShardPhase {
    Waiting, ///< In the shard's queue.
    Running, ///< At least one attempt is out.
    Answered,
    Missing, ///< Given up; the reason is set.
};

/// One needed shard of a query.
struct ShardWork
{
    ShardId shard;
    ShardPhase phase = ShardPhase::Waiting;
    MissingReason reason = MissingReason::DeadlinePassed;
    std::uint32_t attemptsOut = 0;
    std::uint32_t attemptsSent = 0;
    /// Targets that had an attempt of this shard.
    std::vector<TargetId> tried;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;
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
    std::vector<ShardWork> shards;
    /// Shards neither answered nor missing.
    std::uint32_t shardsOpen = 0;
    AttemptLedger ledger;
    std::uint32_t hedgesSent = 0;
    Duration slowestReply {};

    double minimumCoverage() const
    {
        return this->request.minimumCoverage.value_or(this->entry.minimumCoverage);
    }

    ShardWork *work(ShardId shard)
    {
        const auto found = std::ranges::find(this->shards, shard, &ShardWork::shard);
        return found == this->shards.end() ? nullptr : &*found;
    }
};

} // namespace lagoondeck
