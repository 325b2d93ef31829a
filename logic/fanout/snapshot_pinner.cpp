#include "logic/fanout/snapshot_pinner.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"

namespace lagoondeck {

namespace {

constexpr std::uint32_t maxRestarts = 2;
/// The time that a whole query is assumed to need while there are no latency statistics.
constexpr Duration defaultQueryTime = std::chrono::milliseconds(10);

} // namespace

void SnapshotPinner::pin(Query &query)
{
    query.snapshot =
            this->state.targets.snapshotFor(query.entry.service).value_or(SnapshotAnnouncement {});
    query.shards.clear();
    if (query.request.shard) {
        query.shards.push_back({*query.request.shard});
    } else {
        query.shards.reserve(query.snapshot.shardCount);
        for (std::uint32_t shard = 0; shard < query.snapshot.shardCount; ++shard) {
            query.shards.push_back({ShardId(shard)});
        }
    }
    query.shardsNeeded = query.request.shard ? 1 : query.snapshot.shardCount;
    query.shardsOpen = query.shardsNeeded;
    query.shardsMissing = 0;
    query.snapshotRetired = false;
    if (query.canary && query.findShard(*query.canary) == nullptr && !query.shards.empty()) {
        query.canary = query.shards.front().shard;
    }
}

void SnapshotPinner::sendAll(Query &query, Context &context, std::optional<ShardId> alreadySent)
{
    for (ShardWork &work : query.shards) {
        if (work.shard == alreadySent || (query.canary && work.shard != *query.canary)) {
            continue;
        }
        this->dispatcher.sendOrQueue(query, work, context);
        if (query.shardsOpen > 0 && !query.canReachMinimumCoverage()) {
            // The query can't succeed any more, so that further sub-requests would be wasted.
            return;
        }
    }
}

bool SnapshotPinner::canRestart(const Query &query, Instant now) const
{
    if (!query.request.idempotent || query.restarts >= maxRestarts) {
        return false;
    }
    const auto newer = this->state.targets.snapshotFor(query.entry.service);
    if (!newer || newer->version == query.snapshot.version) {
        return false;
    }
    const auto statistics = this->state.statisticsOf(query.entry.service);
    return now + (statistics ? statistics->highQuantile : defaultQueryTime) <= query.deadlineAt;
}

bool SnapshotPinner::restart(Query &query, Context &context)
{
    if (!this->canRestart(query, context.now)) {
        return false;
    }
    for (const ShardWork &work : query.shards) {
        this->dispatcher.removeFromQueue(query, work);
        for (const AttemptId attempt : work.inFlightAttempts) {
            this->dispatcher.cancel(attempt, false, context);
        }
    }
    ++query.restarts;
    this->pin(query);
    context.log(LogEvent::QueryRestarted,
                {{"query", std::to_string(query.request.query.value)},
                 {"snapshot", std::to_string(query.snapshot.version.value)}});
    this->sendAll(query, context);
    return true;
}

} // namespace lagoondeck
