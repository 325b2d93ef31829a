#include "logic/fanout/query_engine.h"

#include "logic/context.h"
#include "logic/fanout/merge.h"
#include "logic/invariant.h"
#include "logic/selection/target_table.h"

#include <utility>
#include <vector>

namespace lagoondeck {

namespace {

/// Kept back from the caller's deadline for merging and the way back.
constexpr Duration answerReserve = std::chrono::milliseconds(3);
/// Attempts of one shard at most, so that a query can't wander over all replicas.
constexpr std::uint32_t mostAttemptsPerShard = 3;

bool provesNotRun(ReplyKind kind)
{
    switch (kind) {
    case ReplyKind::Shed:
    case ReplyKind::Draining:
    case ReplyKind::SnapshotRetired:
    case ReplyKind::CancelledBeforeRun:
    case ReplyKind::ExpiredBeforeRun:
        return true;
    case ReplyKind::Answered:
    case ReplyKind::CancelledWhileRunning:
    case ReplyKind::Failed:
        return false;
    }
    return false;
}

MissingReason missingReasonOf(ReplyKind kind)
{
    switch (kind) {
    case ReplyKind::Shed:
        return MissingReason::TargetsShed;
    case ReplyKind::Draining:
        return MissingReason::NoTarget;
    case ReplyKind::SnapshotRetired:
        return MissingReason::SnapshotRetired;
    case ReplyKind::ExpiredBeforeRun:
        return MissingReason::DeadlinePassed;
    case ReplyKind::CancelledBeforeRun:
    case ReplyKind::CancelledWhileRunning:
        return MissingReason::Withdrawn;
    case ReplyKind::Answered:
    case ReplyKind::Failed:
        return MissingReason::TargetFailed;
    }
    return MissingReason::TargetFailed;
}

SubRequestEnd endOf(ReplyKind kind)
{
    if (kind == ReplyKind::Answered) {
        return SubRequestEnd::Answered;
    }
    if (kind == ReplyKind::CancelledBeforeRun || kind == ReplyKind::CancelledWhileRunning) {
        return SubRequestEnd::Cancelled;
    }
    return provesNotRun(kind) ? SubRequestEnd::Refused : SubRequestEnd::Failed;
}

FailureReason failureReasonOf(const Query &query, Instant now)
{
    if (now >= query.deadlineAt) {
        return FailureReason::DeadlinePassed;
    }
    for (const ShardWork &work : query.shards) {
        if (work.phase == ShardPhase::Answered) {
            continue;
        }
        switch (work.reason) {
        case MissingReason::TargetsShed:
            return FailureReason::Overloaded;
        case MissingReason::NoTarget:
            return FailureReason::NoTarget;
        case MissingReason::SnapshotRetired:
            return FailureReason::NoSnapshot;
        case MissingReason::TargetsLost:
            return FailureReason::TargetsLost;
        case MissingReason::TargetFailed:
            return FailureReason::TargetFailed;
        case MissingReason::DeadlinePassed:
        case MissingReason::Withdrawn:
            break;
        }
    }
    return FailureReason::BelowMinimumCoverage;
}

} // namespace

QueryEngine::QueryEngine(Policy policy, TargetTable &targets) : policy(policy), targets(targets) { }

void QueryEngine::start(const CallerRequest &request, const CatalogueEntry &entry,
                        Instant arrivedAt, Context &context)
{
    Query query;
    query.request = request;
    query.entry = entry;
    query.arrivedAt = arrivedAt;
    const Duration budget =
            request.budget.count() > 0 ? std::min(request.budget, entry.deadline) : entry.deadline;
    query.deadlineAt = arrivedAt + budget - std::min(answerReserve, budget / 4);
    if (const auto snapshot = this->targets.snapshotFor(entry.service)) {
        query.snapshot = *snapshot;
    }
    this->buildShards(query);
    const QueryId id = request.query;
    const auto [found, inserted] = this->queries.emplace(id, std::move(query));
    ensure(inserted, Invariant::OneAnswerPerRequest);
    Query &stored = found->second;
    context.emit(SetTimer {{TimerKind::QueryDeadline, id.value}, stored.deadlineAt});
    for (ShardWork &work : stored.shards) {
        this->sendOrWait(stored, work, context);
    }
    this->finishIfDone(id, context);
}

void QueryEngine::buildShards(Query &query)
{
    if (query.request.shard) {
        query.shards.push_back({*query.request.shard});
    } else {
        for (std::uint32_t shard = 0; shard < query.snapshot.shardCount; ++shard) {
            query.shards.push_back({ShardId(shard)});
        }
    }
    query.shardsOpen = static_cast<std::uint32_t>(query.shards.size());
}

WaitQueue::Place QueryEngine::placeOf(const Query &query) const
{
    return {query.entry.priority, query.arrivedAt, query.request.query};
}

void QueryEngine::sendOrWait(Query &query, ShardWork &work, Context &context)
{
    const ShardKey key {query.entry.service, work.shard};
    if (!this->targets.hasReplica(key, query.snapshot.version, work.tried)) {
        const bool retired = !work.tried.empty();
        this->settleShard(query, work, ShardPhase::Missing,
                          retired ? work.reason : MissingReason::NoTarget);
        return;
    }
    if (!this->trySend(query, work, context)) {
        work.phase = ShardPhase::Waiting;
        this->waiting[key].add(this->placeOf(query));
    }
}

bool QueryEngine::trySend(Query &query, ShardWork &work, Context &context)
{
    const ShardKey key {query.entry.service, work.shard};
    const auto reservation =
            this->targets.reserve(key, query.snapshot.version, work.tried, context);
    if (!reservation) {
        return false;
    }
    ensure(query.request.idempotent || work.attemptsSent == 0, Invariant::AtMostOneSend);
    const auto id = context.ids.next<AttemptId>();
    this->attempts.emplace(id,
                           Attempt {id, query.request.query, key, query.snapshot.version,
                                    *reservation, context.now});
    work.phase = ShardPhase::Running;
    work.tried.push_back(reservation->target);
    ++work.attemptsOut;
    ++work.attemptsSent;
    ++query.ledger.sent;
    context.emit(SendSubRequest {
            id, reservation->connection, reservation->target, query.entry.service, work.shard,
            query.snapshot.version, query.request.requestId, query.request.caller,
            query.request.idempotent, query.deadlineAt - context.now, query.request.body});
    return true;
}

void QueryEngine::settleShard(Query &query, ShardWork &work, ShardPhase phase, MissingReason reason)
{
    work.phase = phase;
    work.reason = reason;
    --query.shardsOpen;
}

void QueryEngine::onReply(const TargetReplied &event, Context &context)
{
    const auto found = this->attempts.find(event.attempt);
    if (found == this->attempts.end() || found->second.reservation.connection != event.connection) {
        context.log(LogEvent::ReplyUnmatched, {{"attempt", std::to_string(event.attempt.value)}});
        return;
    }
    const Attempt attempt = found->second;
    this->attempts.erase(found);
    if (event.report) {
        this->targets.onReport(attempt.reservation.target, *event.report, context);
    }
    if (event.kind == ReplyKind::Draining) {
        this->targets.markLeaving(attempt.reservation.target, context);
    }
    this->targets.release(attempt.reservation, endOf(event.kind), context.now - attempt.sentAt,
                          context);
    if (const auto query = this->queries.find(attempt.query); query != this->queries.end()) {
        if (ShardWork *work = query->second.work(attempt.key.shard)) {
            --work->attemptsOut;
            this->applyReply(query->second, *work, event, context);
        }
        this->finishIfDone(attempt.query, context);
    }
    this->pump(attempt.key, context);
}

void QueryEngine::applyReply(Query &query, ShardWork &work, const TargetReplied &event,
                             Context &context)
{
    if (provesNotRun(event.kind)) {
        ++query.ledger.provedNotRun;
    } else {
        ++query.ledger.provedRan;
    }
    if (work.phase == ShardPhase::Answered || work.phase == ShardPhase::Missing) {
        return;
    }
    if (event.kind == ReplyKind::Answered && event.snapshot == query.snapshot.version) {
        this->takeAnswer(query, work, event);
        return;
    }
    const bool mayRetry = provesNotRun(event.kind) && event.kind != ReplyKind::ExpiredBeforeRun;
    if (mayRetry && this->policy.retries) {
        this->retryOrGiveUp(query, work, missingReasonOf(event.kind), context);
    } else if (work.attemptsOut == 0) {
        this->settleShard(query, work, ShardPhase::Missing, missingReasonOf(event.kind));
    }
}

void QueryEngine::takeAnswer(Query &query, ShardWork &work, const TargetReplied &event)
{
    ensure(event.snapshot == query.snapshot.version, Invariant::OneSnapshotPerAnswer);
    work.hits = event.hits;
    work.documents = event.documents;
    query.slowestReply = std::max(query.slowestReply, event.serviceTime);
    this->settleShard(query, work, ShardPhase::Answered, work.reason);
}

void QueryEngine::retryOrGiveUp(Query &query, ShardWork &work, MissingReason reason,
                                Context &context)
{
    if (work.attemptsOut > 0) {
        return;
    }
    work.reason = reason;
    if (work.attemptsSent >= mostAttemptsPerShard || !query.request.idempotent) {
        this->settleShard(query, work, ShardPhase::Missing, reason);
        return;
    }
    this->sendOrWait(query, work, context);
}

void QueryEngine::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    if (!event.attempt) {
        return;
    }
    const auto found = this->attempts.find(*event.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    this->attempts.erase(found);
    const auto query = this->queries.find(attempt.query);
    if (query == this->queries.end()) {
        return;
    }
    if (!event.sent) {
        ++query->second.ledger.provedNotRun;
    }
    ShardWork *work = query->second.work(attempt.key.shard);
    --work->attemptsOut;
    if (work->phase == ShardPhase::Running) {
        const bool mayRetry = this->policy.retries && (query->second.request.idempotent);
        if (mayRetry) {
            this->retryOrGiveUp(query->second, *work, MissingReason::TargetsLost, context);
        } else if (work->attemptsOut == 0) {
            this->settleShard(query->second, *work, ShardPhase::Missing,
                              MissingReason::TargetsLost);
        }
    }
    this->finishIfDone(attempt.query, context);
}

void QueryEngine::onDeadline(QueryId id, Context &context)
{
    if (this->queries.contains(id)) {
        this->finish(id, context);
    }
}

void QueryEngine::onCallerGone(QueryId id, Context &context)
{
    if (this->queries.contains(id)) {
        this->finish(id, context);
    }
}

void QueryEngine::finishIfDone(QueryId id, Context &context)
{
    const auto found = this->queries.find(id);
    if (found != this->queries.end() && found->second.shardsOpen == 0) {
        this->finish(id, context);
    }
}

void QueryEngine::finish(QueryId id, Context &context)
{
    const auto found = this->queries.find(id);
    Query &query = found->second;
    for (ShardWork &work : query.shards) {
        if (work.phase == ShardPhase::Waiting) {
            this->waiting[{query.entry.service, work.shard}].remove(this->placeOf(query));
        }
    }
    Answer answer;
    answer.coverage = coverageOf(query);
    const bool reached = answer.coverage.shardsAnswered > 0
            && answer.coverage.fraction() >= query.minimumCoverage();
    answer.outcome = decideOutcome(query.ledger, reached);
    ensure(answer.outcome != Outcome::NotRun || query.ledger.nothingRan(),
           Invariant::NotRunIsProved);
    if (answer.outcome == Outcome::Answered) {
        answer.hits = mergeHits(query);
    } else {
        answer.reason = failureReasonOf(query, context.now);
    }
    answer.elapsed = context.now - query.arrivedAt;
    answer.slowestReply = query.slowestReply;
    answer.subRequestsSent = query.ledger.sent;
    answer.hedgesSent = query.hedgesSent;
    context.emit(AnswerCaller {id, query.entry.name, query.entry.trafficClass, query.request.caller,
                               std::move(answer), true});
    this->queries.erase(found);
    this->cancelOutstanding(id, context);
}

void QueryEngine::cancelOutstanding(QueryId id, Context &context)
{
    for (auto &[attemptId, attempt] : this->attempts) {
        if (attempt.query == id && !attempt.cancelled) {
            attempt.cancelled = true;
            context.emit(CancelSubRequest {
                    attemptId, attempt.reservation.connection, attempt.reservation.target,
                    this->targets.takeForCancel(attempt.reservation.target)});
        }
    }
}

void QueryEngine::pump(const ShardKey &key, Context &context)
{
    const auto queue = this->waiting.find(key);
    if (queue == this->waiting.end()) {
        return;
    }
    while (const WaitQueue::Place *first = queue->second.first()) {
        const WaitQueue::Place place = *first;
        const auto query = this->queries.find(place.query);
        if (query == this->queries.end()) {
            queue->second.remove(place);
            continue;
        }
        ShardWork *work = query->second.work(key.shard);
        if (!this->trySend(query->second, *work, context)) {
            return;
        }
        queue->second.remove(place);
    }
}

void QueryEngine::pumpAll(Context &context)
{
    std::vector<ShardKey> keys;
    for (const auto &[key, queue] : this->waiting) {
        if (queue.size() > 0) {
            keys.push_back(key);
        }
    }
    for (const ShardKey &key : keys) {
        this->pump(key, context);
    }
}

} // namespace lagoondeck
