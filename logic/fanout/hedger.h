#pragma once

#include "core/time.h"
#include "logic/fanout/query.h"

#include <optional>

namespace lagoondeck {

class Dispatcher;
struct Context;
struct FanoutState;

/// Looks after shards that are late: it gives them a second attempt on another replica, within the
/// entry's budget of extra load.
class Hedger
{
public:
    Hedger(FanoutState &state, Dispatcher &dispatcher) : state(state), dispatcher(dispatcher) { }

    /// Sets the query's first look, when its first sub-requests have left.
    void watch(Query &query, Context &context);
    /// Sends what is due and sets the next look.
    void look(Query &query, Context &context);

private:
    bool mayHedge(const Query &query) const;
    /// Sends the shard's second attempt if it is due; says when to look at the shard again.
    std::optional<Instant> lookAtShard(Query &query, ShardWork &work, Duration late,
                                       Context &context);

    FanoutState &state;
    Dispatcher &dispatcher;
};

} // namespace lagoondeck
