#include "logic/fanout/hedger.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A late shard that found no free replica is looked at again after this.
constexpr Duration lookAgainAfter = std::chrono::milliseconds(2);

} // namespace

bool Hedger::mayHedge(const Query &query) const
{
    return this->state.policy.hedging && query.request.idempotent && !query.canary;
}

void Hedger::watch(Query &query, Context &context)
{
    const auto figures = this->state.figuresOf(query.entry.service);
    if (this->mayHedge(query) && figures) {
        this->state.lookAt(query, context.now + figures->late, context);
    }
}

void Hedger::look(Query &query, Context &context)
{
    query.nextLookAt.reset();
    const auto figures = this->state.figuresOf(query.entry.service);
    std::optional<Instant> next;
    for (ShardWork &work : query.shards) {
        std::optional<Instant> at;
        if (work.phase == ShardPhase::BackingOff) {
            at = work.retryAt;
            if (context.now >= work.retryAt) {
                this->dispatcher.sendOrWait(query, work, context);
                at = std::nullopt;
            }
        } else if (work.open() && figures && this->mayHedge(query)) {
            at = this->lookAtShard(query, work, figures->late, context);
        }
        if (at && (!next || *at < *next)) {
            next = at;
        }
    }
    if (next) {
        this->state.lookAt(query, *next, context);
    }
}

std::optional<Instant> Hedger::lookAtShard(Query &query, ShardWork &work, Duration late,
                                           Context &context)
{
    if (work.phase == ShardPhase::Waiting) {
        return context.now + late;
    }
    if (work.attemptsOut.size() != 1) {
        return std::nullopt;
    }
    const Attempt *attempt = this->state.attempts.find(work.attemptsOut.front());
    const Instant due = attempt->sentAt + late;
    if (context.now < due) {
        return due;
    }
    const bool allowed = this->state.budgetsOf(query.entry.name).hedges.allows()
            && !this->state.overloaded(query.entry.name)
            && this->state.canFinish(query, context.now);
    if (!allowed) {
        return context.now + std::max(lookAgainAfter, late / 2);
    }
    if (this->dispatcher.sendHedge(query, work, context)) {
        return std::nullopt;
    }
    return context.now + lookAgainAfter;
}

} // namespace lagoondeck
