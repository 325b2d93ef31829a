#include "tests/logic/claims/claim_simulation.h"

#include "logic/invariant.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lagoondeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

ClaimSimulation::ClaimSimulation(std::size_t nodeCount, std::uint64_t seed, ClaimFaults faults)
    : faults(faults), random(seed)
{
    const Duration clockError = ClaimTimes::of(retention).clockError;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        Settings settings;
        // Pairs of instances share an id, and all share a seed, as after a restart in place.
        settings.id = InstanceId("entry-" + std::to_string(i / 2));
        settings.seed = 1;
        settings.claimRetention = retention;
        settings.expectedInstances = static_cast<std::uint32_t>(nodeCount);
        this->nodes.push_back(std::make_unique<Node>(settings));
        this->nodes.back()->clockError = this->randomDuration(-clockError, clockError);
    }
}

Duration ClaimSimulation::randomDuration(Duration min, Duration max)
{
    return Duration(
            std::uniform_int_distribution<Duration::rep>(min.count(), max.count())(this->random));
}

bool ClaimSimulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(this->random);
}

bool ClaimSimulation::isOutage(Instant at) const
{
    return std::ranges::any_of(this->outages, [&](const auto &outage) {
        return at >= outage.first && at < outage.second;
    });
}

void ClaimSimulation::pause(std::size_t node, Instant from, Instant until)
{
    this->nodes[node]->pausedFrom = from;
    this->nodes[node]->pausedUntil = until;
}

void ClaimSimulation::enqueue(std::size_t node, Instant at, Action action)
{
    this->eventQueue.emplace(at, [this, node, action = std::move(action)] {
        const Node &state = *this->nodes[node];
        const bool paused = this->now >= state.pausedFrom && this->now < state.pausedUntil;
        if (!paused) {
            this->apply(node, this->now, this->now, action);
            return;
        }
        // Events that arrive during a pause are applied after it in random order.
        const Instant resumed =
                state.pausedUntil + this->randomDuration(Duration(0), milliseconds(2));
        const Instant stopped = state.pausedFrom;
        this->eventQueue.emplace(resumed, [this, node, stopped, resumed, action] {
            this->apply(node, stopped, resumed, action);
        });
    });
}

void ClaimSimulation::apply(std::size_t node, Instant scheduledAt, Instant actualNow,
                            const Action &action)
{
    Node &state = *this->nodes[node];
    const Instant nodeNow = this->faults.staleClock ? scheduledAt : actualNow;
    std::vector<Effect> effects;
    Context context {nodeNow, wall(nodeNow - at(Duration(0)) + state.clockError), effects,
                     state.random, state.ids};
    action(context);
    for (const ClaimResult &claimResult : state.claims.takeResults()) {
        this->onClaimResult(node, claimResult);
    }
    this->executeEffects(node, effects);
}

void ClaimSimulation::executeEffects(std::size_t node, std::vector<Effect> &effects)
{
    for (const Effect &effect : effects) {
        if (const auto *operation = std::get_if<StoreOperation>(&effect)) {
            this->startOperation(node, *operation);
        } else if (const auto *set = std::get_if<SetTimer>(&effect)) {
            const Timer timer = set->timer;
            const Instant due = std::max(set->at, this->now + Duration(1));
            this->nodes[node]->timers[timer] = due;
            this->enqueue(node, due, [this, node, timer, due](Context &context) {
                if (this->nodes[node]->timers[timer] == due) {
                    this->nodes[node]->claims.onTimer(timer.key, context);
                }
            });
        }
    }
}

void ClaimSimulation::startOperation(std::size_t node, const StoreOperation &operation)
{
    const Node &state = *this->nodes[node];
    const Instant sent = this->now;
    Duration delay = this->randomDuration(Duration(200), Duration(3000));
    if (this->chance(this->faults.lateReplies)) {
        delay = this->randomDuration(operation.timeout / 2, operation.timeout * 3);
    }
    // An operation in flight when its instance is paused may take effect at any time during the
    // pause.
    if (this->faults.pauses && state.pausedUntil > sent && state.pausedFrom < sent + delay) {
        delay = this->randomDuration(delay, state.pausedUntil - sent + milliseconds(20));
    }
    const bool unreachable = this->isOutage(sent + delay);
    const bool certain = unreachable && this->chance(0.7);
    const bool lost = unreachable || this->chance(this->faults.lostReplies);
    this->eventQueue.emplace(sent + delay, [=, this] {
        auto reply = std::make_shared<StoreReplied>();
        if (!unreachable) {
            *reply = this->store.run(operation, this->now);
        }
        if (lost) {
            *reply = {};
            reply->operation = operation.operation;
            reply->status = certain ? StoreStatus::Unavailable : StoreStatus::ReplyLost;
        }
        this->deliver(node, operation, std::move(reply), sent);
    });
}

void ClaimSimulation::deliver(std::size_t node, const StoreOperation &operation,
                              std::shared_ptr<StoreReplied> reply, Instant sent)
{
    const Node &state = *this->nodes[node];
    const Instant timesOut = sent + operation.timeout;
    const bool paused = timesOut >= state.pausedFrom && timesOut < state.pausedUntil;
    const Instant abandonedAt = paused ? state.pausedUntil : timesOut;
    if (this->now > abandonedAt) {
        *reply = {};
        reply->operation = operation.operation;
        reply->status = StoreStatus::ReplyLost;
    }
    this->enqueue(node, std::min(std::max(this->now, sent), std::max(abandonedAt, this->now)),
                  [this, node, reply](Context &context) {
                      this->nodes[node]->claims.onStoreReply(*reply, context);
                  });
}

void ClaimSimulation::send(std::size_t node, const std::string &id, Instant when, WallTime issuedAt)
{
    CallerRequest request;
    request.query = QueryId(++this->sendCount);
    request.entry = EntryName("bookings");
    request.caller = CallerName("van");
    request.requestId = RequestId(id);
    request.idempotent = false;
    request.shard = ShardId(0);
    request.issuedAt = issuedAt;
    this->enqueue(node, when, [this, node, request](Context &context) {
        CatalogueEntry entry;
        entry.deadline = seconds(1);
        Claims &claims = this->nodes[node]->claims;
        const FailureReason reason = claims.rejectionReason(request, context.wall);
        if (reason == FailureReason::None) {
            claims.begin(request, entry, context);
        } else {
            this->results[request.query] = {claimKey(request.caller, request.requestId), reason,
                                            Outcome::NotRun, std::nullopt, false};
        }
    });
}

void ClaimSimulation::onClaimResult(std::size_t node, const ClaimResult &claimResult)
{
    const QueryId query = claimResult.request.query;
    SendResult result {claimKey(claimResult.request.caller, claimResult.request.requestId),
                       claimResult.reason, claimResult.outcome, claimResult.firstOutcome, false};
    if (claimResult.reason == FailureReason::None) {
        constexpr Outcome possibleOutcomes[] = {Outcome::Answered, Outcome::Failed,
                                                Outcome::Unknown, Outcome::NotRun};
        result.outcome = this->nextOutcome.value_or(
                possibleOutcomes[this->random() % std::size(possibleOutcomes)]);
        result.ran = result.outcome != Outcome::NotRun;
        this->runs[result.key] += result.ran ? 1 : 0;
        const Instant replied = this->now + this->randomDuration(milliseconds(1), milliseconds(50));
        this->enqueue(node, replied,
                      [this, node, query, outcome = result.outcome](Context &context) {
                          this->nodes[node]->claims.onAnswered(query, outcome, context);
                      });
    }
    ensure(this->results.emplace(query, result).second, Invariant::OneAnswerPerRequest,
           [] { return std::string("a request ended twice"); });
}

void ClaimSimulation::sendRandomly(std::size_t idCount)
{
    const Duration span = retention * 3;
    if (this->faults.outages) {
        const Instant from = at(this->randomDuration(Duration(0), span));
        this->addOutage(from, from + this->randomDuration(milliseconds(50), seconds(10)));
    }
    for (std::size_t node = 0; this->faults.pauses && node + 1 < this->nodes.size(); ++node) {
        const Instant from = at(this->randomDuration(Duration(0), span));
        this->pause(node, from, from + this->randomDuration(milliseconds(100), retention * 2));
    }
    for (std::size_t i = 0; i < idCount; ++i) {
        const std::string id = "r" + std::to_string(i);
        // Many requests are sent right before an instance is paused, where a duplicate run is most
        // likely.
        Duration issued = this->randomDuration(Duration(0), span);
        const std::size_t first = this->random() % this->nodes.size();
        if (this->faults.pauses && this->nodes[first]->pausedFrom > at(Duration(0))) {
            issued = this->nodes[first]->pausedFrom - at(Duration(0))
                    - this->randomDuration(Duration(0), milliseconds(4));
        }
        this->send(first, id, at(issued), wall(issued));
        for (std::uint64_t resendsLeft = this->random() % 6; resendsLeft > 0; --resendsLeft) {
            const Duration later = this->chance(0.5)
                    ? this->randomDuration(Duration(0), milliseconds(20))
                    : this->randomDuration(Duration(0), retention * 2);
            this->send(this->random() % this->nodes.size(), id, at(issued + later), wall(issued));
        }
    }
}

void ClaimSimulation::runUntil(Instant end)
{
    while (!this->eventQueue.empty() && this->eventQueue.begin()->first <= end) {
        auto next = this->eventQueue.extract(this->eventQueue.begin());
        this->now = std::max(this->now, next.key());
        next.mapped()();
    }
}

} // namespace lagoondeck
