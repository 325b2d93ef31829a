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

/// Extra sub-requests that one entry may send.
struct EntryBudgets
{
    ExtraLoadBudget hedges;
    ExtraLoadBudget retries;
};

/// What the parts of the fan-out share. The parts change queries and note here which of them may
/// be complete; the engine finishes those once the event is applied.
struct FanoutState
{
    FanoutState(Policy policy, TargetTable &targets,
                std::function<bool(const EntryName &)> overload)
        : policy(policy), targets(targets), overloaded(std::move(overload))
    { }

    Policy policy;
    TargetTable &targets;
    /// Says whether an entry is overloaded, so that nothing optional is sent for it.
    std::function<bool(const EntryName &)> overloaded;
    std::unordered_map<QueryId, Query> queries;
    AttemptTable attempts;
    std::map<ShardKey, WaitQueue> waiting;
    std::unordered_map<ServiceName, LatencyWindow> latencies;
    std::unordered_map<EntryName, EntryBudgets> budgets;
    /// Queries that may be complete or may have to restart.
    std::vector<QueryId> touched;

    Query *find(QueryId id)
    {
        const auto found = this->queries.find(id);
        return found == this->queries.end() ? nullptr : &found->second;
    }

    std::optional<LatencyFigures> figuresOf(const ServiceName &service) const
    {
        const auto found = this->latencies.find(service);
        return found == this->latencies.end() ? std::nullopt : found->second.figures();
    }

    EntryBudgets &budgetsOf(const EntryName &entry);
    /// Ends the work on one shard of a query.
    void settle(Query &query, ShardWork &work, ShardPhase phase, MissingReason reason);
    /// Has the query looked at again at an instant, or earlier.
    void lookAt(Query &query, Instant at, Context &context);
    /// The sub-request can still be done before the query's deadline, as far as is known.
    bool canFinish(const Query &query, Instant now) const;
};

} // namespace lagoondeck
