#pragma once

#include "logic/events.h"
#include "logic/fanout/query.h"

namespace lagoondeck {

class Dispatcher;
struct Context;
struct FanoutState;

/// Takes what came of the sub-requests: merges an answer, tries again, or gives the shard up.
class ReplyTaker
{
public:
    ReplyTaker(FanoutState &state, Dispatcher &dispatcher)
        : state(state), dispatcher(dispatcher) { }

    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);

private:
    /// What one ended attempt means for its shard.
    struct AttemptEnd
    {
        MissingReason reason = MissingReason::TargetFailed;
        bool mayRetry = false;
        /// The retry costs nothing of the retry budget.
        bool free = false;
    };

    void noteTarget(const Attempt &attempt, const TargetReplied &event, Context &context);
    void noteLatency(const Attempt &attempt, const TargetReplied &event, Context &context);
    void applyReply(Query &query, const Attempt &attempt, const TargetReplied &event,
                    Context &context);
    void takeAnswer(Query &query, ShardWork &work, const Attempt &attempt,
                    const TargetReplied &event, Context &context);
    void cancelOthers(ShardWork &work, Context &context);
    /// The shard's work if the attempt still counts for it.
    ShardWork *openWork(Query &query, const Attempt &attempt);
    void retryOrGiveUp(Query &query, ShardWork &work, AttemptEnd end, Context &context);
    /// A sub-request that an overloaded target refused waits for its turn again.
    bool mayQueueAgain(const Query &query, const ShardWork &work) const;
    void queueAgain(Query &query, ShardWork &work, Context &context);
    bool payForRetry(const Query &query, AttemptEnd end);
    void backOff(Query &query, ShardWork &work, Context &context);

    FanoutState &state;
    Dispatcher &dispatcher;
};

/// A reply must be merged only into the shard and the query that its attempt was sent for.
void checkBelongs(const Query &query, const ShardWork &work, const Attempt &attempt);

} // namespace lagoondeck
