#include "logic/fanout/hedger.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// When a late shard can't be hedged now, it is checked again after this interval at the earliest.
constexpr Duration recheckInterval = std::chrono::milliseconds(2);

} // namespace

bool Hedger::canHedge(const Query &query) const
{
    return this->state.policy.hedging && query.request.idempotent && !query.canary;
}

void Hedger::scheduleFirstCheck(Query &query, Context &context)
{
    const auto statistics = this->state.statisticsOf(query.entry.service);
    if (this->canHedge(query) && statistics) {
        this->state.scheduleCheck(query, context.now + statistics->lateThreshold, context);
    }
}

void Hedger::checkShards(Query &query, Context &context)
{
    query.nextCheckAt.reset();
    const auto statistics = this->state.statisticsOf(query.entry.service);
    std::optional<Instant> next;
    for (ShardWork &work : query.shards) {
        std::optional<Instant> at;
        if (work.phase == ShardPhase::BackingOff) {
            at = work.retryAt;
            if (context.now >= work.retryAt) {
                this->dispatcher.sendOrQueue(query, work, context);
                at = std::nullopt;
            }
        } else if (work.isOpen() && statistics && this->canHedge(query)) {
            at = this->hedgeIfLate(query, work, statistics->lateThreshold, context);
        }
        if (at && (!next || *at < *next)) {
            next = at;
        }
    }
    if (next) {
        this->state.scheduleCheck(query, *next, context);
    }
}

std::optional<Instant> Hedger::hedgeIfLate(Query &query, ShardWork &work, Duration lateThreshold,
                                           Context &context)
{
    if (work.phase == ShardPhase::Waiting) {
        return context.now + lateThreshold;
    }
    if (work.inFlightAttempts.size() != 1) {
        return std::nullopt;
    }
    const Attempt *attempt = this->state.attempts.find(work.inFlightAttempts.front());
    const Instant lateAt = attempt->sentAt + lateThreshold;
    if (context.now < lateAt) {
        return lateAt;
    }
    const bool allowed = this->state.budgetsOf(query.entry.name).hedges.canSpend()
            && !this->state.isOverloaded(query.entry.name)
            && this->state.canFinish(query, context.now);
    if (!allowed) {
        return context.now + std::max(recheckInterval, lateThreshold / 2);
    }
    if (this->dispatcher.sendHedge(query, work, context)) {
        return std::nullopt;
    }
    return context.now + recheckInterval;
}

} // namespace lagoondeck
