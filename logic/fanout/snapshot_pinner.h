#pragma once

#include "logic/fanout/query.h"

namespace lagoondeck {

class Dispatcher;
struct Context;
struct FanoutState;

/// Pins the snapshot (the version of the index) that a query reads. Restarts the whole query on a
/// newer version when the pinned one is retired or the shards are repartitioned while the query
/// runs.
class SnapshotPinner
{
public:
    SnapshotPinner(FanoutState &state, Dispatcher &dispatcher)
        : state(state), dispatcher(dispatcher)
    { }

    /// Pins the version that new queries read, and lists the needed shards.
    void pin(Query &query);
    /// Sends the first attempt of each shard, except `alreadySent`. A canary query sends only its
    /// canary shard.
    void sendAll(Query &query, Context &context, std::optional<ShardId> alreadySent = std::nullopt);
    /// Restarts the query on a newer version. Returns false when the query may not be restarted,
    /// there is no newer version, or too little time is left.
    bool restart(Query &query, Context &context);

private:
    bool canRestart(const Query &query, Instant now) const;

    FanoutState &state;
    Dispatcher &dispatcher;
};

} // namespace lagoondeck
