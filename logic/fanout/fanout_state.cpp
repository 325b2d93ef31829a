#include "logic/fanout/fanout_state.h"

#include "logic/context.h"

namespace lagoondeck {

namespace {

constexpr double maxHedgeBalance = 50.0;
constexpr double maxRetryBalance = 50.0;
/// Lets an entry with little traffic retry before its queries have earned the budget.
constexpr double initialRetryBalance = 10.0;

} // namespace

EntryBudgets &FanoutState::budgetsOf(const EntryName &entry)
{
    const auto found = this->budgets.find(entry);
    if (found != this->budgets.end()) {
        return found->second;
    }
    EntryBudgets fresh {ExtraLoadBudget(maxHedgeBalance, 0.0),
                        ExtraLoadBudget(maxRetryBalance, initialRetryBalance)};
    return this->budgets.emplace(entry, fresh).first->second;
}

void FanoutState::finishShard(Query &query, ShardWork &work, ShardPhase phase, MissingReason reason)
{
    work.phase = phase;
    work.reason = reason;
    --query.shardsOpen;
    if (phase == ShardPhase::Missing) {
        ++query.shardsMissing;
    }
    if (query.shardsOpen == 0 || !query.canReachMinimumCoverage()) {
        this->queriesToCheck.push_back(query.request.query);
    }
}

void FanoutState::scheduleCheck(Query &query, Instant at, Context &context)
{
    if (at >= query.deadlineAt || (query.nextCheckAt && *query.nextCheckAt <= at)) {
        return;
    }
    query.nextCheckAt = at;
    context.emit(SetTimer {{TimerKind::Hedge, query.request.query.value}, at});
}

bool FanoutState::canFinish(const Query &query, Instant now) const
{
    if (now >= query.deadlineAt) {
        return false;
    }
    const auto statistics = this->statisticsOf(query.entry.service);
    return !statistics || now + statistics->lowQuantile <= query.deadlineAt;
}

} // namespace lagoondeck
