#pragma once

#include "core/catalogue_entry.h"
#include "logic/events.h"
#include "logic/fanout/query.h"
#include "logic/fanout/wait_queue.h"
#include "logic/policy.h"

#include <map>
#include <unordered_map>

namespace lagoondeck {

class TargetTable;
struct Context;

/// Runs admitted queries: pins the snapshot, sends the sub-requests, takes the replies and answers.
class QueryEngine
{
public:
    QueryEngine(Policy policy, TargetTable &targets);

    /// Starts an admitted query. It is answered by exactly one AnswerCaller effect.
    void start(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt,
               Context &context);
    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);
    void onDeadline(QueryId query, Context &context);
    void onCallerGone(QueryId query, Context &context);
    /// Sends what waits, after a connection became idle or a target usable.
    void pump(const ShardKey &key, Context &context);
    void pumpAll(Context &context);

    std::size_t queriesInFlight() const { return this->queries.size(); }
    std::size_t attemptsInFlight() const { return this->attempts.size(); }

private:
    void buildShards(Query &query);
    void sendOrWait(Query &query, ShardWork &work, Context &context);
    bool trySend(Query &query, ShardWork &work, Context &context);
    void settleShard(Query &query, ShardWork &work, ShardPhase phase, MissingReason reason);
    void retryOrGiveUp(Query &query, ShardWork &work, MissingReason reason, Context &context);
    void takeAnswer(Query &query, ShardWork &work, const TargetReplied &event);
    void applyReply(Query &query, ShardWork &work, const TargetReplied &event, Context &context);
    void finishIfDone(QueryId query, Context &context);
    void finish(QueryId query, Context &context);
    void cancelOutstanding(QueryId query, Context &context);
    WaitQueue::Place placeOf(const Query &query) const;

    Policy policy;
    TargetTable &targets;
    std::unordered_map<QueryId, Query> queries;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::map<ShardKey, WaitQueue> waiting;
};

} // namespace lagoondeck
