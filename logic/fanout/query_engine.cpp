#include "logic/fanout/query_engine.h"

#include "logic/context.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/fanout_state.h"
#include "logic/fanout/hedger.h"
#include "logic/fanout/query_answer.h"
#include "logic/fanout/reply_handler.h"
#include "logic/fanout/snapshot_pinner.h"
#include "logic/invariant.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// Time reserved within the caller's deadline for merging and for sending the answer.
constexpr Duration answerReserve = std::chrono::milliseconds(3);
/// For a short deadline, the reserve is at most the deadline divided by this.
constexpr int answerReserveDivisor = 4;

Query newQuery(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt)
{
    Query query;
    query.request = request;
    query.entry = entry;
    query.arrivedAt = arrivedAt;
    const Duration timeLimit = request.timeLimit.count() > 0
            ? std::min(request.timeLimit, entry.deadline)
            : entry.deadline;
    query.deadlineAt =
            arrivedAt + timeLimit - std::min(answerReserve, timeLimit / answerReserveDivisor);
    return query;
}

} // namespace

struct QueryEngine::Components
{
    Components(Policy policy, TargetTable &targets, OverloadCheck isOverloaded)
        : state(policy, targets, std::move(isOverloaded)), dispatcher(this->state),
          replyHandler(this->state, this->dispatcher), hedger(this->state, this->dispatcher),
          pinner(this->state, this->dispatcher)
    { }

    FanoutState state;
    Dispatcher dispatcher;
    ReplyHandler replyHandler;
    Hedger hedger;
    SnapshotPinner pinner;
};

QueryEngine::QueryEngine(Policy policy, TargetTable &targets, OverloadCheck isOverloaded)
    : components(std::make_unique<Components>(policy, targets, std::move(isOverloaded)))
{ }

QueryEngine::~QueryEngine() = default;

void QueryEngine::start(const CallerRequest &request, const CatalogueEntry &entry,
                        Instant arrivedAt, Context &context, bool canary)
{
    const QueryId id = request.query;
    const auto [found, inserted] =
            this->components->state.queries.emplace(id, newQuery(request, entry, arrivedAt));
    ensure(inserted, Invariant::OneAnswerPerRequest, [&] { return std::to_string(id.value); });
    Query &query = found->second;
    this->components->pinner.pin(query);
    if (canary && !query.shards.empty()) {
        query.canary = query.shards[id.value % query.shards.size()].shard;
    }
    context.emit(SetTimer {{TimerKind::QueryDeadline, id.value}, query.deadlineAt});
    this->components->pinner.sendAll(query, context);
    this->components->hedger.scheduleFirstCheck(query, context);
    this->components->state.queriesToCheck.push_back(id);
    this->restartOrFinishQueries(context);
}

void QueryEngine::releaseCanary(QueryId id, Context &context)
{
    Query *query = this->components->state.find(id);
    if (query == nullptr || !query->canary) {
        return;
    }
    const ShardId canary = *query->canary;
    query->canary.reset();
    this->components->pinner.sendAll(*query, context, canary);
    this->components->hedger.scheduleFirstCheck(*query, context);
    this->components->state.queriesToCheck.push_back(id);
    this->restartOrFinishQueries(context);
}

void QueryEngine::onReply(const TargetReplied &event, Context &context)
{
    this->components->replyHandler.onReply(event, context);
    this->restartOrFinishQueries(context);
}

void QueryEngine::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    this->components->replyHandler.onConnectionClosed(event, context);
    if (const auto key = this->components->state.targets.shardOf(event.target)) {
        this->components->dispatcher.sendWaiting(*key, context);
    }
    this->restartOrFinishQueries(context);
}

void QueryEngine::onDeadline(QueryId id, Context &context)
{
    if (this->components->state.find(id) != nullptr) {
        this->finish(id, context);
    }
}

void QueryEngine::onHedgeTimer(QueryId id, Context &context)
{
    if (Query *query = this->components->state.find(id)) {
        this->components->hedger.checkShards(*query, context);
    }
    this->restartOrFinishQueries(context);
}

void QueryEngine::onCallerGone(QueryId id, Context &context)
{
    if (this->components->state.find(id) != nullptr) {
        this->finish(id, context);
    }
}

void QueryEngine::sendWaiting(const ShardKey &key, Context &context)
{
    this->components->dispatcher.sendWaiting(key, context);
    this->restartOrFinishQueries(context);
}

void QueryEngine::sendAllWaiting(Context &context)
{
    this->components->dispatcher.sendAllWaiting(context);
    this->restartOrFinishQueries(context);
}

void QueryEngine::restartOrFinishQueries(Context &context)
{
    std::vector<QueryId> &queriesToCheck = this->components->state.queriesToCheck;
    while (!queriesToCheck.empty()) {
        const QueryId id = queriesToCheck.back();
        queriesToCheck.pop_back();
        Query *query = this->components->state.find(id);
        if (query == nullptr) {
            continue;
        }
        if (query->snapshotRetired && this->components->pinner.restart(*query, context)) {
            this->components->hedger.scheduleFirstCheck(*query, context);
            queriesToCheck.push_back(id);
            continue;
        }
        query->snapshotRetired = false;
        const bool canaryFailed = query->canary && !query->findShard(*query->canary)->isOpen();
        if (query->shardsOpen == 0 || canaryFailed || !query->canReachMinimumCoverage()) {
            this->finish(id, context);
        }
    }
}

void QueryEngine::finish(QueryId id, Context &context)
{
    const auto found = this->components->state.queries.find(id);
    Query &query = found->second;
    // Once the deadline has passed, the targets drop the attempts in flight by themselves.
    const bool cancel = context.now < query.deadlineAt;
    for (const ShardWork &work : query.shards) {
        this->components->dispatcher.removeFromQueue(query, work);
        for (const AttemptId attempt : work.inFlightAttempts) {
            if (cancel) {
                this->components->dispatcher.cancel(attempt, false, context);
            }
        }
    }
    markOpenShardsMissing(query, context.now);
    Answer answer = buildAnswer(query, context.now);
    context.emit(AnswerCaller {id, query.entry.name, query.entry.trafficClass, query.request.caller,
                               std::move(answer), true});
    this->components->state.queries.erase(found);
}

std::size_t QueryEngine::queriesInFlight() const
{
    return this->components->state.queries.size();
}

std::size_t QueryEngine::attemptsInFlight() const
{
    return this->components->state.attempts.size();
}

} // namespace lagoondeck
