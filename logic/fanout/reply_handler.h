#pragma once

#include "logic/events.h"
#include "logic/fanout/query.h"

namespace lagoondeck {

class Dispatcher;
struct Context;
struct FanoutState;

/// Processes how sub-requests ended: accepts an answer, retries, or marks the shard as missing.
class ReplyHandler
{
public:
    ReplyHandler(FanoutState &state, Dispatcher &dispatcher) : state(state), dispatcher(dispatcher)
    { }

    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);

private:
    /// Describes an attempt that ended without a usable answer.
    struct AttemptFailure
    {
        MissingReason reason = MissingReason::TargetFailed;
        bool isRetryable = false;
        /// A retry is not charged to the retry budget.
        bool costsNoBudget = false;
    };

    void updateTargetState(const Attempt &attempt, const TargetReplied &event, Context &context);
    void recordLatency(const Attempt &attempt, const TargetReplied &event, Context &context);
    void applyReply(Query &query, const Attempt &attempt, const TargetReplied &event,
                    Context &context);
    void acceptAnswer(Query &query, ShardWork &work, const Attempt &attempt,
                      const TargetReplied &event, Context &context);
    void cancelOtherAttempts(ShardWork &work, Context &context);
    /// Removes the attempt from its shard's attempts in flight. Returns the shard if it is still
    /// open; nullptr if not, or if the query was restarted since.
    ShardWork *endAttempt(Query &query, const Attempt &attempt);
    void retryOrAbandon(Query &query, ShardWork &work, AttemptFailure failure, Context &context);
    /// Returns whether a sub-request that an overloaded target refused may be queued again.
    bool canRequeue(const Query &query, const ShardWork &work) const;
    void requeue(Query &query, ShardWork &work, Context &context);
    bool trySpendRetryBudget(const Query &query, AttemptFailure failure);
    void backOff(Query &query, ShardWork &work, Context &context);

    FanoutState &state;
    Dispatcher &dispatcher;
};

/// Checks that a reply is merged only into the shard and the query that its attempt was sent for.
void checkReplyBelongs(const Query &query, const ShardWork &work, const Attempt &attempt);

} // namespace lagoondeck
