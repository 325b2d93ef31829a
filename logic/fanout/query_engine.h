#pragma once

#include "core/catalogue_entry.h"
#include "logic/events.h"
#include "logic/policy.h"
#include "logic/selection/shard_key.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace lagoondeck {

class TargetTable;
struct Context;

/// Runs admitted queries: pins the snapshot, sends the sub-requests, processes the replies and
/// answers the caller.
class QueryEngine
{
public:
    /// Returns whether a catalogue entry is overloaded. No hedges are sent for an overloaded entry.
    using OverloadCheck = std::function<bool(const EntryName &)>;

    QueryEngine(Policy policy, TargetTable &targets, OverloadCheck isOverloaded);
    ~QueryEngine();

    /// Starts an admitted query. It ends with exactly one AnswerCaller effect.
    void start(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt,
               Context &context, bool canary = false);
    /// Called when the canary's target has run the request and survived. Sends the other shards.
    void releaseCanary(QueryId query, Context &context);
    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);
    void onDeadline(QueryId query, Context &context);
    /// Called for TimerKind::Hedge. Hedges late shards and retries those that are backing off.
    void onHedgeTimer(QueryId query, Context &context);
    void onCallerGone(QueryId query, Context &context);
    /// Sends the sub-requests that wait for the shard. Called after a connection became idle or a
    /// target became usable.
    void sendWaiting(const ShardKey &key, Context &context);
    void sendAllWaiting(Context &context);

    std::size_t queriesInFlight() const;
    std::size_t attemptsInFlight() const;

private:
    struct Components;

    /// Restarts or finishes the queries in FanoutState::queriesToCheck.
    void restartOrFinishQueries(Context &context);
    void finish(QueryId query, Context &context);

    std::unique_ptr<Components> components;
};

} // namespace lagoondeck
