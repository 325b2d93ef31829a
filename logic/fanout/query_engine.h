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

/// Runs admitted queries: pins the snapshot, sends the sub-requests, takes the replies and answers.
class QueryEngine
{
public:
    /// Says whether an entry is overloaded, so that nothing optional is sent for it.
    using OverloadSign = std::function<bool(const EntryName &)>;

    QueryEngine(Policy policy, TargetTable &targets, OverloadSign overloaded);
    ~QueryEngine();

    /// Starts an admitted query. It is answered by exactly one AnswerCaller effect.
    void start(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt,
               Context &context, bool canary = false);
    /// The canary's target ran the request and lives: the other shards are sent.
    void releaseCanary(QueryId query, Context &context);
    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);
    void onDeadline(QueryId query, Context &context);
    /// TimerKind::Hedge: looks after late shards and those that back off.
    void onLook(QueryId query, Context &context);
    void onCallerGone(QueryId query, Context &context);
    /// Sends what waits, after a connection became idle or a target usable.
    void pump(const ShardKey &key, Context &context);
    void pumpAll(Context &context);

    std::size_t queriesInFlight() const;
    std::size_t attemptsInFlight() const;

private:
    struct Parts;

    /// Restarts or finishes the queries that the parts noted.
    void finishTouched(Context &context);
    void finish(QueryId query, Context &context);

    std::unique_ptr<Parts> parts;
};

} // namespace lagoondeck
