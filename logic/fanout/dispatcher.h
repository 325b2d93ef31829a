#pragma once

#include "core/time.h"
#include "logic/fanout/query.h"
#include "logic/fanout/wait_queue.h"

namespace lagoondeck {

struct Context;
struct FanoutState;

/// Sends sub-requests to replicas, or lets them wait for one.
class Dispatcher
{
public:
    explicit Dispatcher(FanoutState &state) : state(state) { }

    /// Sends the shard's next attempt, or lets it wait, or gives the shard up.
    void sendOrWait(Query &query, ShardWork &work, Context &context);
    /// Sends a second attempt beside the one that is out; false when no replica is free.
    bool sendHedge(Query &query, ShardWork &work, Context &context);
    /// Sends what waits for the shard, and drops what can't be served any more.
    void pump(const ShardKey &key, Context &context);
    void pumpAll(Context &context);
    /// Takes a shard out of its queue.
    void leaveQueue(const Query &query, const ShardWork &work);
    /// Asks the target to drop an attempt. Without an idle connection to ask over, it closes the
    /// attempt's own when told to, which frees the target's slot and costs a new connection.
    void cancel(AttemptId id, bool mayClose, Context &context);

private:
    enum class Service {
        Sent,
        Busy,     ///< A replica serves the shard; none is free.
        Unserved, ///< No replica serves the shard.
    };

    Service trySend(Query &query, ShardWork &work, Context &context);
    bool send(Query &query, ShardWork &work, bool hedge, Context &context);
    void sendTo(const Reservation &reservation, Query &query, ShardWork &work, bool hedge,
                Context &context);
    /// Sends a second attempt at once to a replica on probation that is due for a probe.
    void sendProbe(Query &query, ShardWork &work, Context &context);
    bool mayWait(const Query &query, const ShardWork &work) const;
    void giveUpUnserved(Query &query, ShardWork &work);
    void account(Query &query, ShardWork &work, bool hedge);
    Duration targetBudget(const Query &query, Instant now) const;
    WaitQueue::Place placeOf(const Query &query) const;

    FanoutState &state;
};

/// A request that is not idempotent is sent once, and a hedge needs an idempotent one.
void checkMaySend(const Query &query, const ShardWork &work);

} // namespace lagoondeck
