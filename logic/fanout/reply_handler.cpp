#include "logic/fanout/reply_handler.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"
#include "logic/fanout/reply_classification.h"
#include "logic/invariant.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// Bounds the attempts per shard, so that one query can't go through all replicas.
constexpr std::uint32_t maxAttemptsPerShard = 4;
/// A query that lost this many targets while they ran it may be the cause of their crashes, so it
/// is not retried.
constexpr std::uint32_t maxTargetsLost = 2;
constexpr Duration initialBackoff = std::chrono::milliseconds(2);

} // namespace

void checkReplyBelongs(const Query &query, const ShardWork &work, const Attempt &attempt)
{
    ensure(attempt.query == query.request.query && attempt.key.shard == work.shard
                   && attempt.key.service == query.entry.service
                   && attempt.queryRestarts == query.restarts,
           Invariant::ReplyBelongsToAttempt, [&] { return std::to_string(attempt.id.value); });
}

void ReplyHandler::onReply(const TargetReplied &event, Context &context)
{
    const auto attempt = this->state.attempts.take(event.attempt, event.connection);
    if (!attempt) {
        context.log(LogEvent::ReplyUnmatched, {{"attempt", std::to_string(event.attempt.value)}});
        return;
    }
    this->updateTargetState(*attempt, event, context);
    this->recordLatency(*attempt, event, context);
    if (Query *query = this->state.find(attempt->query)) {
        this->applyReply(*query, *attempt, event, context);
    }
    this->dispatcher.sendWaiting(attempt->key, context);
}

void ReplyHandler::updateTargetState(const Attempt &attempt, const TargetReplied &event,
                                     Context &context)
{
    const TargetId &target = attempt.reservation.target;
    if (event.report) {
        this->state.targets.onReport(target, *event.report, context);
    }
    if (event.kind == ReplyKind::Draining) {
        this->state.targets.markLeaving(target, context);
    }
    this->state.targets.release(attempt.reservation, subRequestOutcomeOf(event.kind),
                                context.now - attempt.sentAt, context);
}

void ReplyHandler::recordLatency(const Attempt &attempt, const TargetReplied &event,
                                 Context &context)
{
    const Duration age = context.now - attempt.sentAt;
    if (event.kind == ReplyKind::Answered) {
        this->state.latencies[attempt.key.service].add(age, event.serviceTime, context.now);
    } else if (event.kind == ReplyKind::CancelledWhileRunning) {
        this->state.latencies[attempt.key.service].addCancelled(age, context.now);
    }
}

ShardWork *ReplyHandler::endAttempt(Query &query, const Attempt &attempt)
{
    ShardWork *work =
            attempt.queryRestarts == query.restarts ? query.findShard(attempt.key.shard) : nullptr;
    if (work == nullptr) {
        return nullptr;
    }
    std::erase(work->inFlightAttempts, attempt.id);
    return work->isOpen() ? work : nullptr;
}

void ReplyHandler::applyReply(Query &query, const Attempt &attempt, const TargetReplied &event,
                              Context &context)
{
    if (provesNotRun(event.kind)) {
        ++query.attemptCounts.provedNotRun;
    } else {
        ++query.attemptCounts.provedRan;
    }
    ShardWork *work = this->endAttempt(query, attempt);
    if (work == nullptr) {
        return;
    }
    if (event.kind == ReplyKind::Answered && event.snapshot == query.snapshot.version) {
        this->acceptAnswer(query, *work, attempt, event, context);
        return;
    }
    if (event.kind == ReplyKind::Shed && this->canRequeue(query, *work)) {
        this->requeue(query, *work, context);
        return;
    }
    const bool canRetry = event.kind != ReplyKind::ExpiredBeforeRun;
    this->retryOrAbandon(query, *work,
                         {missingReasonOf(event.kind), canRetry, isRetryFree(event.kind)}, context);
}

void ReplyHandler::acceptAnswer(Query &query, ShardWork &work, const Attempt &attempt,
                                const TargetReplied &event, Context &context)
{
    checkReplyBelongs(query, work, attempt);
    work.answeredBy = ShardReply {attempt.id, attempt.key.shard, event.snapshot};
    work.hits = event.hits;
    work.documents = event.documents;
    query.slowestReply = std::max(query.slowestReply, event.serviceTime);
    this->cancelOtherAttempts(work, context);
    this->state.finishShard(query, work, ShardPhase::Answered, work.reason);
}

void ReplyHandler::cancelOtherAttempts(ShardWork &work, Context &context)
{
    for (const AttemptId otherId : work.inFlightAttempts) {
        const Attempt *otherAttempt = this->state.attempts.find(otherId);
        const auto statistics = otherAttempt == nullptr
                ? std::nullopt
                : this->state.statisticsOf(otherAttempt->key.service);
        // A late attempt is at a slow target and would occupy its slot for long, so its connection
        // may be closed. An attempt that was sent recently finishes sooner than a new connection
        // could be opened.
        const bool isLate =
                statistics && context.now - otherAttempt->sentAt > statistics->lateThreshold;
        this->dispatcher.cancel(otherId, isLate, context);
    }
}

void ReplyHandler::onConnectionClosed(const ConnectionClosed &event, Context &context)
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
        ++query->attemptCounts.provedNotRun;
    } else if (!attempt->cancelled) {
        ++query->targetsLost;
    }
    if (ShardWork *work = this->endAttempt(*query, *attempt)) {
        const bool canRetry =
                !event.sent || (!query->canary && query->targetsLost < maxTargetsLost);
        this->retryOrAbandon(*query, *work, {MissingReason::TargetsLost, canRetry, !event.sent},
                             context);
    }
}

void ReplyHandler::retryOrAbandon(Query &query, ShardWork &work, AttemptFailure failure,
                                  Context &context)
{
    if (!work.inFlightAttempts.empty()) {
        // The other attempt may still answer.
        return;
    }
    work.reason = failure.reason;
    const bool canRetry = failure.isRetryable && this->state.policy.retries
            && query.request.idempotent && work.attemptsSent < maxAttemptsPerShard;
    if (!canRetry || !this->trySpendRetryBudget(query, failure)) {
        this->state.finishShard(query, work, ShardPhase::Missing, failure.reason);
        return;
    }
    const ShardKey key {query.entry.service, work.shard};
    const bool hasUntriedReplica =
            this->state.targets.hasReplica(key, query.snapshot.version, work.triedTargets);
    const bool hasAnyReplica = this->state.targets.hasReplica(key, query.snapshot.version, {})
            || this->state.targets.hasRecoveringReplica(key, {});
    if (!hasUntriedReplica && hasAnyReplica && !failure.costsNoBudget) {
        this->backOff(query, work, context);
        return;
    }
    this->dispatcher.sendOrQueue(query, work, context);
}

bool ReplyHandler::canRequeue(const Query &query, const ShardWork &work) const
{
    return this->state.policy.retries && this->state.policy.adaptiveLimits
            && query.request.idempotent && work.inFlightAttempts.empty();
}

void ReplyHandler::requeue(Query &query, ShardWork &work, Context &context)
{
    // This costs no retry budget: the target gets no sub-requests for a while after a refusal,
    // which already bounds the resends, and the budget is for work that targets may have run.
    work.reason = MissingReason::TargetsShed;
    work.triedTargets.clear();
    this->dispatcher.sendOrQueue(query, work, context);
}

bool ReplyHandler::trySpendRetryBudget(const Query &query, AttemptFailure failure)
{
    if (failure.costsNoBudget) {
        return true;
    }
    ExtraLoadBudget &budget = this->state.budgetsOf(query.entry.name).retries;
    if (!budget.canSpend()) {
        return false;
    }
    budget.spend();
    return true;
}

void ReplyHandler::backOff(Query &query, ShardWork &work, Context &context)
{
    const Duration ceiling = initialBackoff * (1 << work.attemptsSent);
    std::uniform_int_distribution<Duration::rep> jitter(ceiling.count() / 2, ceiling.count());
    const Instant at = context.now + Duration(jitter(context.random));
    if (at >= query.deadlineAt) {
        this->state.finishShard(query, work, ShardPhase::Missing, work.reason);
        return;
    }
    work.phase = ShardPhase::BackingOff;
    work.retryAt = at;
    work.triedTargets.clear();
    this->state.scheduleCheck(query, at, context);
}

} // namespace lagoondeck
