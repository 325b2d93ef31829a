#pragma once

#include "core/time.h"
#include "logic/fanout/query.h"

#include <optional>

namespace lagoondeck {

class Dispatcher;
struct Context;
struct FanoutState;

/// Sends a second attempt to another replica for each shard that is late, within the entry's hedge
/// budget. Also sends the retries of shards that are backing off.
class Hedger
{
public:
    Hedger(FanoutState &state, Dispatcher &dispatcher) : state(state), dispatcher(dispatcher) { }

    /// Schedules the query's first check after its first sub-requests were sent.
    void scheduleFirstCheck(Query &query, Context &context);
    /// Sends due hedges and retries and schedules the next check.
    void checkShards(Query &query, Context &context);

private:
    bool canHedge(const Query &query) const;
    /// Sends the shard's second attempt if the first one is late. Returns when to check the shard
    /// again; nullopt when no further check is needed.
    std::optional<Instant> hedgeIfLate(Query &query, ShardWork &work, Duration lateThreshold,
                                       Context &context);

    FanoutState &state;
    Dispatcher &dispatcher;
};

} // namespace lagoondeck
