#include "logic/fanout/dispatcher.h"

#include "logic/context.h"
#include "logic/fanout/fanout_state.h"
#include "logic/invariant.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Retries, as a part of the first sub-requests.
constexpr double retryPart = 0.1;
/// The way to the target and back takes at most this part of the time that is left.
constexpr int mostHopPart = 4;

} // namespace

void checkMaySend(const Query &query, const ShardWork &work)
{
    ensure(query.request.idempotent || (work.attemptsSent == 0 && query.ledger.sent == 0),
           Invariant::AtMostOneSend, [&] { return query.request.requestId.value; });
}

WaitQueue::Place Dispatcher::placeOf(const Query &query) const
{
    return {query.entry.priority, query.arrivedAt, query.request.query};
}

void Dispatcher::sendOrWait(Query &query, ShardWork &work, Context &context)
{
    switch (this->trySend(query, work, context)) {
    case Service::Sent:
        return;
    case Service::Busy:
        work.phase = ShardPhase::Waiting;
        this->state.waiting[{query.entry.service, work.shard}].add(this->placeOf(query));
        return;
    case Service::Unserved:
        this->giveUpUnserved(query, work);
        return;
    }
}

Dispatcher::Service Dispatcher::trySend(Query &query, ShardWork &work, Context &context)
{
    if (!this->state.canFinish(query, context.now)) {
        this->state.settle(query, work, ShardPhase::Missing, MissingReason::DeadlinePassed);
        return Service::Sent;
    }
    if (this->send(query, work, false, context)) {
        return Service::Sent;
    }
    return this->mayWait(query, work) ? Service::Busy : Service::Unserved;
}

bool Dispatcher::mayWait(const Query &query, const ShardWork &work) const
{
    const ShardKey key {query.entry.service, work.shard};
    return this->state.targets.hasReplica(key, query.snapshot.version, work.tried)
            || this->state.targets.mayReturn(key, work.tried);
}

void Dispatcher::giveUpUnserved(Query &query, ShardWork &work)
{
    const ShardKey key {query.entry.service, work.shard};
    const bool served = this->state.targets.hasReplica(key, query.snapshot.version, {});
    if (!served && this->state.targets.hasUsable(key)) {
        // Some replica could serve the shard, only not at this snapshot.
        query.snapshotGone = true;
        this->state.touched.push_back(query.request.query);
        work.reason = MissingReason::SnapshotRetired;
    } else if (work.attemptsSent == 0) {
        work.reason = MissingReason::NoTarget;
    }
    this->state.settle(query, work, ShardPhase::Missing, work.reason);
}

bool Dispatcher::sendHedge(Query &query, ShardWork &work, Context &context)
{
    return query.request.idempotent && this->send(query, work, true, context);
}

bool Dispatcher::send(Query &query, ShardWork &work, bool hedge, Context &context)
{
    const ShardKey key {query.entry.service, work.shard};
    const auto reservation =
            this->state.targets.reserve(key, query.snapshot.version, work.tried, context);
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
    if (!this->state.budgetsOf(query.entry.name).hedges.allows()) {
        return;
    }
    const ShardKey key {query.entry.service, work.shard};
    if (const auto reservation = this->state.targets.reserveProbe(key, query.snapshot.version,
                                                                  work.tried, context)) {
        this->sendTo(*reservation, query, work, true, context);
    }
}

void Dispatcher::sendTo(const Reservation &reservation, Query &query, ShardWork &work, bool hedge,
                        Context &context)
{
    checkMaySend(query, work);
    const ShardKey key {query.entry.service, work.shard};
    const auto id = context.ids.next<AttemptId>();
    this->state.attempts.add({id, query.request.query, key, query.snapshot.version, reservation,
                              context.now, query.restarts, hedge});
    this->account(query, work, hedge);
    work.phase = ShardPhase::Running;
    work.tried.push_back(reservation.target);
    work.attemptsOut.push_back(id);
    context.emit(SendSubRequest {id, reservation.connection, reservation.target,
                                 query.entry.service, work.shard, query.snapshot.version,
                                 query.request.requestId, query.request.caller,
                                 query.request.idempotent, this->targetBudget(query, context.now),
                                 query.request.body, query.request.query, query.deadlineAt});
}

void Dispatcher::account(Query &query, ShardWork &work, bool hedge)
{
    EntryBudgets &budgets = this->state.budgetsOf(query.entry.name);
    if (hedge) {
        budgets.hedges.spend();
        ++query.hedgesSent;
    } else if (work.attemptsSent == 0) {
        budgets.hedges.earn(query.entry.hedgeBudget);
        budgets.retries.earn(retryPart);
    }
    ++work.attemptsSent;
    ++query.ledger.sent;
}

Duration Dispatcher::targetBudget(const Query &query, Instant now) const
{
    const Duration left = query.deadlineAt - now;
    const auto figures = this->state.figuresOf(query.entry.service);
    return figures ? left - std::min(figures->hop, left / mostHopPart) : left;
}

void Dispatcher::pump(const ShardKey &key, Context &context)
{
    const auto queue = this->state.waiting.find(key);
    if (queue == this->state.waiting.end()) {
        return;
    }
    WaitQueue &places = queue->second;
    for (const WaitQueue::Place *next = places.first(); next != nullptr;) {
        const WaitQueue::Place place = *next;
        Query *query = this->state.find(place.query);
        ShardWork *work = query == nullptr ? nullptr : query->work(key.shard);
        if (work != nullptr && work->phase == ShardPhase::Waiting) {
            const Service service = this->trySend(*query, *work, context);
            if (service == Service::Busy && work->tried.empty()) {
                return;
            }
            if (service == Service::Busy) {
                // It waits for a replica that it has not tried; the ones behind may take another.
                next = places.after(place);
                continue;
            }
            if (service == Service::Unserved) {
                this->giveUpUnserved(*query, *work);
            }
        }
        next = places.after(place);
        places.remove(place);
    }
}

void Dispatcher::pumpAll(Context &context)
{
    std::vector<ShardKey> keys;
    for (const auto &[key, queue] : this->state.waiting) {
        if (queue.size() > 0) {
            keys.push_back(key);
        }
    }
    for (const ShardKey &key : keys) {
        this->pump(key, context);
    }
}

void Dispatcher::leaveQueue(const Query &query, const ShardWork &work)
{
    if (work.phase != ShardPhase::Waiting) {
        return;
    }
    const auto queue = this->state.waiting.find({query.entry.service, work.shard});
    if (queue != this->state.waiting.end()) {
        queue->second.remove(this->placeOf(query));
    }
}

void Dispatcher::cancel(AttemptId id, bool mayClose, Context &context)
{
    Attempt *attempt = this->state.attempts.find(id);
    if (attempt == nullptr || attempt->cancelled) {
        return;
    }
    const auto via = this->state.targets.takeForCancel(attempt->reservation.target);
    if (!via && !mayClose) {
        return;
    }
    attempt->cancelled = true;
    context.emit(CancelSubRequest {id, attempt->reservation.connection, attempt->reservation.target,
                                   via});
}

} // namespace lagoondeck
