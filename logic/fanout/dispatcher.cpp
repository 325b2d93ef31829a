#include "logic/fanout/dispatcher.h"

#include "logic/context.h"
#include "logic/fanout/fanout_state.h"
#include "logic/invariant.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Number of retries allowed per first sub-request.
constexpr double retryRatio = 0.1;
/// The network time that is subtracted from the remaining time is at most the remaining time
/// divided by this.
constexpr int networkTimeDivisor = 4;

} // namespace

void checkSendAllowed(const Query &query, const ShardWork &work)
{
    ensure(query.request.idempotent || (work.attemptsSent == 0 && query.attemptCounts.sent == 0),
           Invariant::AtMostOneSend, [&] { return query.request.requestId.value; });
}

WaitQueue::Waiter Dispatcher::waiterOf(const Query &query) const
{
    return {query.entry.priority, query.arrivedAt, query.request.query};
}

void Dispatcher::sendOrQueue(Query &query, ShardWork &work, Context &context)
{
    switch (this->trySend(query, work, context)) {
    case SendResult::Handled:
        return;
    case SendResult::NoFreeReplica:
        work.phase = ShardPhase::Waiting;
        this->state.waitQueues[{query.entry.service, work.shard}].add(this->waiterOf(query));
        return;
    case SendResult::NoReplica:
        this->abandonUnserved(query, work);
        return;
    }
}

Dispatcher::SendResult Dispatcher::trySend(Query &query, ShardWork &work, Context &context)
{
    if (!this->state.canFinish(query, context.now)) {
        this->state.finishShard(query, work, ShardPhase::Missing, MissingReason::DeadlinePassed);
        return SendResult::Handled;
    }
    if (this->send(query, work, false, context)) {
        return SendResult::Handled;
    }
    return this->canWait(query, work) ? SendResult::NoFreeReplica : SendResult::NoReplica;
}

bool Dispatcher::canWait(const Query &query, const ShardWork &work) const
{
    const ShardKey key {query.entry.service, work.shard};
    return this->state.targets.hasReplica(key, query.snapshot.version, work.triedTargets)
            || this->state.targets.hasRecoveringReplica(key, work.triedTargets);
}

void Dispatcher::abandonUnserved(Query &query, ShardWork &work)
{
    const ShardKey key {query.entry.service, work.shard};
    const bool served = this->state.targets.hasReplica(key, query.snapshot.version, {});
    if (!served && this->state.targets.hasUsableReplica(key)) {
        // A usable replica holds the shard, but none serves this snapshot any more.
        query.snapshotRetired = true;
        this->state.queriesToCheck.push_back(query.request.query);
        work.reason = MissingReason::SnapshotRetired;
    } else if (work.attemptsSent == 0) {
        work.reason = MissingReason::NoTarget;
    }
    this->state.finishShard(query, work, ShardPhase::Missing, work.reason);
}

bool Dispatcher::sendHedge(Query &query, ShardWork &work, Context &context)
{
    return query.request.idempotent && this->send(query, work, true, context);
}

bool Dispatcher::send(Query &query, ShardWork &work, bool hedge, Context &context)
{
    const ShardKey key {query.entry.service, work.shard};
    const auto reservation =
            this->state.targets.reserve(key, query.snapshot.version, work.triedTargets, context);
    if (!reservation) {
        return false;
    }
    this->sendTo(*reservation, query, work, hedge, context);
    if (!hedge && work.attemptsSent == 1 && query.request.idempotent) {
        this->sendProbe(query, work, context);
    }
    return true;
}

void Dispatcher::sendProbe(Query &query, ShardWork &work, Context &context)
{
    if (!this->state.budgetsOf(query.entry.name).hedges.canSpend()) {
        return;
    }
    const ShardKey key {query.entry.service, work.shard};
    if (const auto reservation = this->state.targets.reserveProbe(key, query.snapshot.version,
                                                                  work.triedTargets, context)) {
        this->sendTo(*reservation, query, work, true, context);
    }
}

void Dispatcher::sendTo(const Reservation &reservation, Query &query, ShardWork &work, bool hedge,
                        Context &context)
{
    checkSendAllowed(query, work);
    const ShardKey key {query.entry.service, work.shard};
    const auto id = context.ids.next<AttemptId>();
    this->state.attempts.add({id, query.request.query, key, query.snapshot.version, reservation,
                              context.now, query.restarts, hedge});
    this->countAttempt(query, work, hedge);
    work.phase = ShardPhase::Running;
    work.triedTargets.push_back(reservation.target);
    work.inFlightAttempts.push_back(id);
    context.emit(SendSubRequest {id, reservation.connection, reservation.target,
                                 query.entry.service, work.shard, query.snapshot.version,
                                 query.request.requestId, query.request.caller,
                                 query.request.idempotent, this->timeForTarget(query, context.now),
                                 query.request.body, query.request.query, query.deadlineAt});
}

void Dispatcher::countAttempt(Query &query, ShardWork &work, bool hedge)
{
    EntryBudgets &budgets = this->state.budgetsOf(query.entry.name);
    if (hedge) {
        budgets.hedges.spend();
        ++query.hedgesSent;
    } else if (work.attemptsSent == 0) {
        budgets.hedges.earn(query.entry.hedgeBudget);
        budgets.retries.earn(retryRatio);
    }
    ++work.attemptsSent;
    ++query.attemptCounts.sent;
}

Duration Dispatcher::timeForTarget(const Query &query, Instant now) const
{
    const Duration left = query.deadlineAt - now;
    const auto statistics = this->state.statisticsOf(query.entry.service);
    return statistics ? left - std::min(statistics->networkTime, left / networkTimeDivisor) : left;
}

void Dispatcher::sendWaiting(const ShardKey &key, Context &context)
{
    const auto queue = this->state.waitQueues.find(key);
    if (queue == this->state.waitQueues.end()) {
        return;
    }
    WaitQueue &waiters = queue->second;
    for (const WaitQueue::Waiter *next = waiters.first(); next != nullptr;) {
        const WaitQueue::Waiter waiter = *next;
        Query *query = this->state.find(waiter.query);
        ShardWork *work = query == nullptr ? nullptr : query->findShard(key.shard);
        if (work != nullptr && work->phase == ShardPhase::Waiting) {
            const SendResult result = this->trySend(*query, *work, context);
            if (result == SendResult::NoFreeReplica && work->triedTargets.empty()) {
                return;
            }
            if (result == SendResult::NoFreeReplica) {
                // This query waits for a replica that it has not tried yet. The queries after it
                // may use a replica that it has already tried.
                next = waiters.after(waiter);
                continue;
            }
            if (result == SendResult::NoReplica) {
                this->abandonUnserved(*query, *work);
            }
        }
        next = waiters.after(waiter);
        waiters.remove(waiter);
    }
}

void Dispatcher::sendAllWaiting(Context &context)
{
    std::vector<ShardKey> keys;
    for (const auto &[key, queue] : this->state.waitQueues) {
        if (queue.size() > 0) {
            keys.push_back(key);
        }
    }
    for (const ShardKey &key : keys) {
        this->sendWaiting(key, context);
    }
}

void Dispatcher::removeFromQueue(const Query &query, const ShardWork &work)
{
    if (work.phase != ShardPhase::Waiting) {
        return;
    }
    const auto queue = this->state.waitQueues.find({query.entry.service, work.shard});
    if (queue != this->state.waitQueues.end()) {
        queue->second.remove(this->waiterOf(query));
    }
}

void Dispatcher::cancel(AttemptId id, bool mayClose, Context &context)
{
    Attempt *attempt = this->state.attempts.find(id);
    if (attempt == nullptr || attempt->cancelled) {
        return;
    }
    const auto cancelConnection = this->state.targets.reserveForCancel(attempt->reservation.target);
    if (!cancelConnection && !mayClose) {
        return;
    }
    attempt->cancelled = true;
    context.emit(CancelSubRequest {id, attempt->reservation.connection, attempt->reservation.target,
                                   cancelConnection});
}

} // namespace lagoondeck
