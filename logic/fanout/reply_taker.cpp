#include "logic/fanout/reply_taker.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"
#include "logic/fanout/reply_meaning.h"
#include "logic/invariant.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// Attempts of one shard at most, so that a query can't wander over all replicas.
constexpr std::uint32_t mostAttemptsPerShard = 4;
/// A query that lost so many targets while they ran it may be what ends them.
constexpr std::uint32_t mostTargetsLost = 2;
constexpr Duration firstBackoff = std::chrono::milliseconds(2);

} // namespace

void checkBelongs(const Query &query, const ShardWork &work, const Attempt &attempt)
{
    ensure(attempt.query == query.request.query && attempt.key.shard == work.shard
                   && attempt.key.service == query.entry.service && attempt.round == query.restarts,
           Invariant::ReplyBelongsToAttempt, [&] { return std::to_string(attempt.id.value); });
}

void ReplyTaker::onReply(const TargetReplied &event, Context &context)
{
    const auto attempt = this->state.attempts.take(event.attempt, event.connection);
    if (!attempt) {
        context.log(LogEvent::ReplyUnmatched, {{"attempt", std::to_string(event.attempt.value)}});
        return;
    }
    this->noteTarget(*attempt, event, context);
    this->noteLatency(*attempt, event, context);
    if (Query *query = this->state.find(attempt->query)) {
        this->applyReply(*query, *attempt, event, context);
    }
    this->dispatcher.pump(attempt->key, context);
}

void ReplyTaker::noteTarget(const Attempt &attempt, const TargetReplied &event, Context &context)
{
    const TargetId &target = attempt.reservation.target;
    if (event.report) {
        this->state.targets.onReport(target, *event.report, context);
    }
    if (event.kind == ReplyKind::Draining) {
        this->state.targets.markLeaving(target, context);
    }
    this->state.targets.release(attempt.reservation, endOf(event.kind),
                                context.now - attempt.sentAt, context);
}

void ReplyTaker::noteLatency(const Attempt &attempt, const TargetReplied &event, Context &context)
{
    const Duration age = context.now - attempt.sentAt;
    if (event.kind == ReplyKind::Answered) {
        this->state.latencies[attempt.key.service].add(age, event.serviceTime, context.now);
    } else if (event.kind == ReplyKind::CancelledWhileRunning) {
        this->state.latencies[attempt.key.service].addGivenUp(age, context.now);
    }
}

ShardWork *ReplyTaker::openWork(Query &query, const Attempt &attempt)
{
    ShardWork *work = attempt.round == query.restarts ? query.work(attempt.key.shard) : nullptr;
    if (work == nullptr) {
        return nullptr;
    }
    std::erase(work->attemptsOut, attempt.id);
    return work->open() ? work : nullptr;
}

void ReplyTaker::applyReply(Query &query, const Attempt &attempt, const TargetReplied &event,
                            Context &context)
{
    if (provesNotRun(event.kind)) {
        ++query.ledger.provedNotRun;
    } else {
        ++query.ledger.provedRan;
    }
    ShardWork *work = this->openWork(query, attempt);
    if (work == nullptr) {
        return;
    }
    if (event.kind == ReplyKind::Answered && event.snapshot == query.snapshot.version) {
        this->takeAnswer(query, *work, attempt, event, context);
        return;
    }
    if (event.kind == ReplyKind::Shed && this->mayQueueAgain(query, *work)) {
        this->queueAgain(query, *work, context);
        return;
    }
    const bool mayRetry = event.kind != ReplyKind::ExpiredBeforeRun;
    this->retryOrGiveUp(query, *work,
                        {missingReasonOf(event.kind), mayRetry, isFreeToRetry(event.kind)},
                        context);
}

void ReplyTaker::takeAnswer(Query &query, ShardWork &work, const Attempt &attempt,
                            const TargetReplied &event, Context &context)
{
    checkBelongs(query, work, attempt);
    work.answeredBy = ShardReply {attempt.id, attempt.key.shard, event.snapshot};
    work.hits = event.hits;
    work.documents = event.documents;
    query.slowestReply = std::max(query.slowestReply, event.serviceTime);
    this->cancelOthers(work, context);
    this->state.settle(query, work, ShardPhase::Answered, work.reason);
}

void ReplyTaker::cancelOthers(ShardWork &work, Context &context)
{
    for (const AttemptId other : work.attemptsOut) {
        const Attempt *loser = this->state.attempts.find(other);
        const auto figures =
                loser == nullptr ? std::nullopt : this->state.figuresOf(loser->key.service);
        // A loser that is late sits at a slow target and would keep its slot for long; one that
        // has just been sent is done sooner than a new connection would be open.
        const bool late = figures && context.now - loser->sentAt > figures->late;
        this->dispatcher.cancel(other, late, context);
    }
}

void ReplyTaker::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    if (!event.attempt) {
        return;
    }
    const auto attempt = this->state.attempts.take(*event.attempt, event.connection);
    Query *query = attempt ? this->state.find(attempt->query) : nullptr;
    if (query == nullptr) {
        return;
    }
    if (!event.sent) {
        ++query->ledger.provedNotRun;
    } else if (!attempt->cancelled) {
        ++query->targetsLost;
    }
    if (ShardWork *work = this->openWork(*query, *attempt)) {
        const bool mayRetry =
                !event.sent || (!query->canary && query->targetsLost < mostTargetsLost);
        this->retryOrGiveUp(*query, *work, {MissingReason::TargetsLost, mayRetry, !event.sent},
                            context);
    }
}

void ReplyTaker::retryOrGiveUp(Query &query, ShardWork &work, AttemptEnd end, Context &context)
{
    if (!work.attemptsOut.empty()) {
        // The other attempt may still answer.
        return;
    }
    work.reason = end.reason;
    const bool mayRetry = end.mayRetry && this->state.policy.retries && query.request.idempotent
            && work.attemptsSent < mostAttemptsPerShard;
    if (!mayRetry || !this->payForRetry(query, end)) {
        this->state.settle(query, work, ShardPhase::Missing, end.reason);
        return;
    }
    const ShardKey key {query.entry.service, work.shard};
    const bool untried = this->state.targets.hasReplica(key, query.snapshot.version, work.tried);
    const bool served = this->state.targets.hasReplica(key, query.snapshot.version, {})
            || this->state.targets.mayReturn(key, {});
    if (!untried && served && !end.free) {
        this->backOff(query, work, context);
        return;
    }
    this->dispatcher.sendOrWait(query, work, context);
}

bool ReplyTaker::mayQueueAgain(const Query &query, const ShardWork &work) const
{
    return this->state.policy.retries && this->state.policy.adaptiveLimits
            && query.request.idempotent && work.attemptsOut.empty();
}

void ReplyTaker::queueAgain(Query &query, ShardWork &work, Context &context)
{
    // The target rests after a refusal, which bounds how often it is asked; the retry budget is for
    // what targets may have run.
    work.reason = MissingReason::TargetsShed;
    work.tried.clear();
    this->dispatcher.sendOrWait(query, work, context);
}

bool ReplyTaker::payForRetry(const Query &query, AttemptEnd end)
{
    if (end.free) {
        return true;
    }
    ExtraLoadBudget &budget = this->state.budgetsOf(query.entry.name).retries;
    if (!budget.allows()) {
        return false;
    }
    budget.spend();
    return true;
}

void ReplyTaker::backOff(Query &query, ShardWork &work, Context &context)
{
    const Duration ceiling = firstBackoff * (1 << work.attemptsSent);
    std::uniform_int_distribution<Duration::rep> jitter(ceiling.count() / 2, ceiling.count());
    const Instant at = context.now + Duration(jitter(context.random));
    if (at >= query.deadlineAt) {
        this->state.settle(query, work, ShardPhase::Missing, work.reason);
        return;
    }
    work.phase = ShardPhase::BackingOff;
    work.retryAt = at;
    work.tried.clear();
    this->state.lookAt(query, at, context);
}

} // namespace lagoondeck
