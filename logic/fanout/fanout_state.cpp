#include "logic/fanout/fanout_state.h"

#include "logic/context.h"

namespace lagoondeck {

namespace {

constexpr double mostHedgesKept = 50.0;
constexpr double mostRetriesKept = 50.0;
/// Lets a quiet entry retry before its queries have earned it.
constexpr double retryHeadStart = 10.0;

} // namespace

EntryBudgets &FanoutState::budgetsOf(const EntryName &entry)
{
    const auto found = this->budgets.find(entry);
    if (found != this->budgets.end()) {
        return found->second;
    }
    EntryBudgets fresh {ExtraLoadBudget(mostHedgesKept, 0.0),
                        ExtraLoadBudget(mostRetriesKept, retryHeadStart)};
    return this->budgets.emplace(entry, fresh).first->second;
}

void FanoutState::settle(Query &query, ShardWork &work, ShardPhase phase, MissingReason reason)
{
    work.phase = phase;
    work.reason = reason;
    --query.shardsOpen;
    if (phase == ShardPhase::Missing) {
        ++query.shardsMissing;
    }
    if (query.shardsOpen == 0 || !query.minimumReachable()) {
        this->touched.push_back(query.request.query);
    }
}

void FanoutState::lookAt(Query &query, Instant at, Context &context)
{
    if (at >= query.deadlineAt || (query.nextLookAt && *query.nextLookAt <= at)) {
        return;
    }
    query.nextLookAt = at;
    context.emit(SetTimer {{TimerKind::Hedge, query.request.query.value}, at});
}

bool FanoutState::canFinish(const Query &query, Instant now) const
{
    if (now >= query.deadlineAt) {
        return false;
    }
    const auto figures = this->figuresOf(query.entry.service);
    return !figures || now + figures->shortest <= query.deadlineAt;
}

} // namespace lagoondeck
