#pragma once

#include "logic/fanout/attempt_table.h"
#include "logic/fanout/extra_load_budget.h"
#include "logic/fanout/latency_window.h"
#include "logic/fanout/query.h"
#include "logic/fanout/wait_queue.h"
#include "logic/policy.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

class TargetTable;
struct Context;

/// The budgets of extra sub-requests for one catalogue entry.
struct EntryBudgets
{
    ExtraLoadBudget hedges;
    ExtraLoadBudget retries;
};

/// The state that the components of the query engine share. A component that changes a query adds
/// it to `queriesToCheck` when it may be complete. The engine finishes these queries once the event
/// is applied.
struct FanoutState
{
    FanoutState(Policy policy, TargetTable &targets,
                std::function<bool(const EntryName &)> isOverloaded)
        : policy(policy), targets(targets), isOverloaded(std::move(isOverloaded))
    { }

    Policy policy;
    TargetTable &targets;
    /// Returns whether a catalogue entry is overloaded. No hedges are sent for an overloaded entry.
    std::function<bool(const EntryName &)> isOverloaded;
    std::unordered_map<QueryId, Query> queries;
    AttemptTable attempts;
    std::map<ShardKey, WaitQueue> waitQueues;
    std::unordered_map<ServiceName, LatencyWindow> latencies;
    std::unordered_map<EntryName, EntryBudgets> budgets;
    /// Queries that may be complete or may have to restart.
    std::vector<QueryId> queriesToCheck;

    Query *find(QueryId id)
    {
        const auto found = this->queries.find(id);
        return found == this->queries.end() ? nullptr : &found->second;
    }

    std::optional<LatencyStatistics> statisticsOf(const ServiceName &service) const
    {
        const auto found = this->latencies.find(service);
        return found == this->latencies.end() ? std::nullopt : found->second.statistics();
    }

    EntryBudgets &budgetsOf(const EntryName &entry);
    /// Finishes one open shard of a query as answered or missing.
    void finishShard(Query &query, ShardWork &work, ShardPhase phase, MissingReason reason);
    /// Schedules a check of the query for late shards and due retries, unless an earlier one is
    /// already scheduled.
    void scheduleCheck(Query &query, Instant at, Context &context);
    /// Returns whether a sub-request sent now can finish before the query's deadline, judged by the
    /// fastest recent ones.
    bool canFinish(const Query &query, Instant now) const;
};

} // namespace lagoondeck
