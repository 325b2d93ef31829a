#include "logic/fanout/query_engine.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"
#include "logic/fanout/hedger.h"
#include "logic/fanout/query_answer.h"
#include "logic/fanout/reply_taker.h"
#include "logic/fanout/snapshot_pinner.h"
#include "logic/invariant.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// Kept back from the caller's deadline for merging and the way back.
constexpr Duration answerReserve = std::chrono::milliseconds(3);
/// The reserve takes at most this part of a short deadline.
constexpr int mostReservePart = 4;

Query newQuery(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt)
{
    Query query;
    query.request = request;
    query.entry = entry;
    query.arrivedAt = arrivedAt;
    const Duration budget =
            request.budget.count() > 0 ? std::min(request.budget, entry.deadline) : entry.deadline;
    query.deadlineAt = arrivedAt + budget - std::min(answerReserve, budget / mostReservePart);
    return query;
}

} // namespace

struct QueryEngine::Parts
{
    Parts(Policy policy, TargetTable &targets, OverloadSign overloaded)
        : state(policy, targets, std::move(overloaded)), dispatcher(this->state),
          replies(this->state, this->dispatcher), hedger(this->state, this->dispatcher),
          pinner(this->state, this->dispatcher)
    { }

    FanoutState state;
    Dispatcher dispatcher;
    ReplyTaker replies;
    Hedger hedger;
    SnapshotPinner pinner;
};

QueryEngine::QueryEngine(Policy policy, TargetTable &targets, OverloadSign overloaded)
    : parts(std::make_unique<Parts>(policy, targets, std::move(overloaded)))
{ }

QueryEngine::~QueryEngine() = default;

void QueryEngine::start(const CallerRequest &request, const CatalogueEntry &entry,
                        Instant arrivedAt, Context &context, bool canary)
{
    const QueryId id = request.query;
    const auto [found, inserted] =
            this->parts->state.queries.emplace(id, newQuery(request, entry, arrivedAt));
    ensure(inserted, Invariant::OneAnswerPerRequest, [&] { return std::to_string(id.value); });
    Query &query = found->second;
    this->parts->pinner.pin(query);
    if (canary && !query.shards.empty()) {
        query.canary = query.shards[id.value % query.shards.size()].shard;
    }
    context.emit(SetTimer {{TimerKind::QueryDeadline, id.value}, query.deadlineAt});
    this->parts->pinner.sendAll(query, context);
    this->parts->hedger.watch(query, context);
    this->parts->state.touched.push_back(id);
    this->finishTouched(context);
}

void QueryEngine::releaseCanary(QueryId id, Context &context)
{
    Query *query = this->parts->state.find(id);
    if (query == nullptr || !query->canary) {
        return;
    }
    const ShardId canary = *query->canary;
    query->canary.reset();
    this->parts->pinner.sendAll(*query, context, canary);
    this->parts->hedger.watch(*query, context);
    this->parts->state.touched.push_back(id);
    this->finishTouched(context);
}

void QueryEngine::onReply(const TargetReplied &event, Context &context)
{
    this->parts->replies.onReply(event, context);
    this->finishTouched(context);
}

void QueryEngine::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    this->parts->replies.onConnectionClosed(event, context);
    if (const auto key = this->parts->state.targets.shardOf(event.target)) {
        this->parts->dispatcher.pump(*key, context);
    }
    this->finishTouched(context);
}

void QueryEngine::onDeadline(QueryId id, Context &context)
{
    if (this->parts->state.find(id) != nullptr) {
        this->finish(id, context);
    }
}

void QueryEngine::onLook(QueryId id, Context &context)
{
    if (Query *query = this->parts->state.find(id)) {
        this->parts->hedger.look(*query, context);
    }
    this->finishTouched(context);
}

void QueryEngine::onCallerGone(QueryId id, Context &context)
{
    if (this->parts->state.find(id) != nullptr) {
        this->finish(id, context);
    }
}

void QueryEngine::pump(const ShardKey &key, Context &context)
{
    this->parts->dispatcher.pump(key, context);
    this->finishTouched(context);
}

void QueryEngine::pumpAll(Context &context)
{
    this->parts->dispatcher.pumpAll(context);
    this->finishTouched(context);
}

void QueryEngine::finishTouched(Context &context)
{
    std::vector<QueryId> &touched = this->parts->state.touched;
    while (!touched.empty()) {
        const QueryId id = touched.back();
        touched.pop_back();
        Query *query = this->parts->state.find(id);
        if (query == nullptr) {
            continue;
        }
        if (query->snapshotGone && this->parts->pinner.restart(*query, context)) {
            this->parts->hedger.watch(*query, context);
            touched.push_back(id);
            continue;
        }
        query->snapshotGone = false;
        const bool canaryFailed = query->canary && !query->work(*query->canary)->open();
        if (query->shardsOpen == 0 || canaryFailed || !query->minimumReachable()) {
            this->finish(id, context);
        }
    }
}

void QueryEngine::finish(QueryId id, Context &context)
{
    const auto found = this->parts->state.queries.find(id);
    Query &query = found->second;
    // At the deadline the targets drop what is out by themselves.
    const bool cancel = context.now < query.deadlineAt;
    for (const ShardWork &work : query.shards) {
        this->parts->dispatcher.leaveQueue(query, work);
        for (const AttemptId attempt : work.attemptsOut) {
            if (cancel) {
                this->parts->dispatcher.cancel(attempt, false, context);
            }
        }
    }
    closeOpenShards(query, context.now);
    Answer answer = answerOf(query, context.now);
    context.emit(AnswerCaller {id, query.entry.name, query.entry.trafficClass, query.request.caller,
                               std::move(answer), true});
    this->parts->state.queries.erase(found);
}

std::size_t QueryEngine::queriesInFlight() const
{
    return this->parts->state.queries.size();
}

std::size_t QueryEngine::attemptsInFlight() const
{
    return this->parts->state.attempts.size();
}

} // namespace lagoondeck
