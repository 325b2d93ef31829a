#pragma once

#include "logic/fanout/query.h"

namespace lagoondeck {

class Dispatcher;
struct Context;
struct FanoutState;

/// Pins the index version that a query reads, and starts a query whole on a newer one when the
/// pinned one is retired or the shards are repartitioned while it runs.
class SnapshotPinner
{
public:
    SnapshotPinner(FanoutState &state, Dispatcher &dispatcher)
        : state(state), dispatcher(dispatcher)
    { }

    /// Pins the version that new queries read, and lists the needed shards.
    void pin(Query &query);
    /// Sends the first attempt of each shard.
    void sendAll(Query &query, Context &context, std::optional<ShardId> sent = std::nullopt);
    /// Starts again on a newer version; false when there is none, or no time for it.
    bool restart(Query &query, Context &context);

private:
    bool mayRestart(const Query &query, Instant now) const;

    FanoutState &state;
    Dispatcher &dispatcher;
};

} // namespace lagoondeck
