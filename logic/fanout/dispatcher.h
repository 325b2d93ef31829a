#pragma once

#include "core/time.h"
#include "logic/fanout/query.h"
#include "logic/fanout/wait_queue.h"

namespace lagoondeck {

struct Context;
struct FanoutState;

/// Sends sub-requests to replicas, and queues them while no replica is free.
class Dispatcher
{
public:
    explicit Dispatcher(FanoutState &state) : state(state) { }

    /// Sends the shard's next attempt, queues it when no replica is free, or marks the shard as
    /// missing when no replica can serve it.
    void sendOrQueue(Query &query, ShardWork &work, Context &context);
    /// Sends a second attempt in parallel to the one in flight. Returns false when the request is
    /// not idempotent or no replica is free.
    bool sendHedge(Query &query, ShardWork &work, Context &context);
    /// Sends the sub-requests that wait for the shard, as far as replicas are free, and removes
    /// those that can't be served any more.
    void sendWaiting(const ShardKey &key, Context &context);
    void sendAllWaiting(Context &context);
    /// Removes the query from the shard's wait queue.
    void removeFromQueue(const Query &query, const ShardWork &work);
    /// Cancels an attempt. The cancellation is sent over an idle connection to the target. When
    /// there is none and `mayClose` is set, the attempt's connection is closed instead, which frees
    /// the target's slot but costs a new connection.
    void cancel(AttemptId id, bool mayClose, Context &context);

private:
    enum class SendResult {
        Handled, ///< Sent, or the shard was marked as missing because the deadline can't be met.
        NoFreeReplica, ///< An untried replica serves the shard or may return; none is free.
        NoReplica,     ///< No untried replica can serve the shard.
    };

    SendResult trySend(Query &query, ShardWork &work, Context &context);
    bool send(Query &query, ShardWork &work, bool hedge, Context &context);
    void sendTo(const Reservation &reservation, Query &query, ShardWork &work, bool hedge,
                Context &context);
    /// Sends a second attempt at once to a replica on probation, if one is due for a probe.
    void sendProbe(Query &query, ShardWork &work, Context &context);
    bool canWait(const Query &query, const ShardWork &work) const;
    void abandonUnserved(Query &query, ShardWork &work);
    void countAttempt(Query &query, ShardWork &work, bool hedge);
    Duration timeForTarget(const Query &query, Instant now) const;
    WaitQueue::Waiter waiterOf(const Query &query) const;

    FanoutState &state;
};

/// Checks that a request that is not idempotent is sent at most once.
void checkSendAllowed(const Query &query, const ShardWork &work);

} // namespace lagoondeck
