#include "tests/logic/claims/claim_world.h"

#include "logic/invariant.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lagoondeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

ClaimWorld::ClaimWorld(std::size_t nodeCount, std::uint64_t seed, ClaimFaults faults)
    : faults(faults), random(seed)
{
    const Duration clockError = ClaimTimes::of(retention).clockError;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        Settings settings;
        // Names and seeds alike, as after a restart in place.
        settings.id = InstanceId("entry-" + std::to_string(i / 2));
        settings.seed = 1;
        settings.claimRetention = retention;
        settings.expectedInstances = static_cast<std::uint32_t>(nodeCount);
        this->nodes.push_back(std::make_unique<Node>(settings));
        this->nodes.back()->clockError = this->draw(-clockError, clockError);
    }
}

Duration ClaimWorld::draw(Duration lowest, Duration highest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(lowest.count(),
                                                                 highest.count())(this->random));
}

bool ClaimWorld::chance(double probability)
{
    return std::bernoulli_distribution(probability)(this->random);
}

bool ClaimWorld::isOut(Instant at) const
{
    return std::ranges::any_of(this->outages, [&](const auto &outage) {
        return at >= outage.first && at < outage.second;
    });
}

void ClaimWorld::pause(std::size_t node, Instant from, Instant until)
{
    this->nodes[node]->pausedFrom = from;
    this->nodes[node]->pausedUntil = until;
}

void ClaimWorld::post(std::size_t node, Instant at, Action action)
{
    this->agenda.emplace(at, [this, node, action = std::move(action)] {
        const Node &state = *this->nodes[node];
        const bool paused = this->now >= state.pausedFrom && this->now < state.pausedUntil;
        if (!paused) {
            this->apply(node, this->now, this->now, action);
            return;
        }
        // What gathers in a pause is applied afterwards in any order.
        const Instant resumed = state.pausedUntil + this->draw(Duration(0), milliseconds(2));
        const Instant stopped = state.pausedFrom;
        this->agenda.emplace(resumed, [this, node, stopped, resumed, action] {
            this->apply(node, stopped, resumed, action);
        });
    });
}

void ClaimWorld::apply(std::size_t node, Instant turnBegan, Instant present, const Action &action)
{
    Node &state = *this->nodes[node];
    const Instant seen = this->faults.stalePresent ? turnBegan : present;
    std::vector<Effect> effects;
    Context context {seen, wall(seen - at(Duration(0)) + state.clockError), effects, state.random,
                     state.ids};
    action(context);
    for (const ClaimEnd &end : state.claims.takeEnds()) {
        this->finish(node, end);
    }
    this->carryOut(node, effects);
}

void ClaimWorld::carryOut(std::size_t node, std::vector<Effect> &effects)
{
    for (const Effect &effect : effects) {
        if (const auto *operation = std::get_if<StoreOperation>(&effect)) {
            this->startOperation(node, *operation);
        } else if (const auto *set = std::get_if<SetTimer>(&effect)) {
            const Timer timer = set->timer;
            const Instant due = std::max(set->at, this->now + Duration(1));
            this->nodes[node]->timers[timer] = due;
            this->post(node, due, [this, node, timer, due](Context &context) {
                if (this->nodes[node]->timers[timer] == due) {
                    this->nodes[node]->claims.onTimer(timer.key, context);
                }
            });
        }
    }
}

void ClaimWorld::startOperation(std::size_t node, const StoreOperation &operation)
{
    const Node &state = *this->nodes[node];
    const Instant sent = this->now;
    Duration delay = this->draw(Duration(200), Duration(3000));
    if (this->chance(this->faults.lateReplies)) {
        delay = this->draw(operation.timeout / 2, operation.timeout * 3);
    }
    // An operation that is on its way when its node stops may take effect at any time of the pause.
    if (this->faults.pauses && state.pausedUntil > sent && state.pausedFrom < sent + delay) {
        delay = this->draw(delay, state.pausedUntil - sent + milliseconds(20));
    }
    const bool unreachable = this->isOut(sent + delay);
    const bool certain = unreachable && this->chance(0.7);
    const bool lost = unreachable || this->chance(this->faults.lostReplies);
    this->agenda.emplace(sent + delay, [=, this] {
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

void ClaimWorld::deliver(std::size_t node, const StoreOperation &operation,
                         std::shared_ptr<StoreReplied> reply, Instant sent)
{
    const Node &state = *this->nodes[node];
    const Instant timesOut = sent + operation.timeout;
    const bool paused = timesOut >= state.pausedFrom && timesOut < state.pausedUntil;
    const Instant givenUp = paused ? state.pausedUntil : timesOut;
    if (this->now > givenUp) {
        *reply = {};
        reply->operation = operation.operation;
        reply->status = StoreStatus::ReplyLost;
    }
    this->post(node, std::min(std::max(this->now, sent), std::max(givenUp, this->now)),
               [this, node, reply](Context &context) {
                   this->nodes[node]->claims.onStoreReply(*reply, context);
               });
}

void ClaimWorld::send(std::size_t node, const std::string &id, Instant when, WallTime issuedAt)
{
    CallerRequest request;
    request.query = QueryId(++this->sendings);
    request.entry = EntryName("bookings");
    request.caller = CallerName("van");
    request.requestId = RequestId(id);
    request.idempotent = false;
    request.shard = ShardId(0);
    request.issuedAt = issuedAt;
    this->post(node, when, [this, node, request](Context &context) {
        CatalogueEntry entry;
        entry.deadline = seconds(1);
        Claims &claims = this->nodes[node]->claims;
        const FailureReason reason = claims.unacceptable(request, context.wall);
        if (reason == FailureReason::None) {
            claims.begin(request, entry, context);
        } else {
            this->ends[request.query] = {claimKey(request.caller, request.requestId), reason,
                                         Outcome::NotRun, std::nullopt, false};
        }
    });
}

void ClaimWorld::finish(std::size_t node, const ClaimEnd &end)
{
    const QueryId query = end.request.query;
    SendingEnd told {claimKey(end.request.caller, end.request.requestId), end.reason, end.outcome,
                     end.firstOutcome, false};
    if (end.reason == FailureReason::None) {
        constexpr Outcome drawn[] = {Outcome::Answered, Outcome::Failed, Outcome::Unknown,
                                     Outcome::NotRun};
        told.outcome = this->nextOutcome.value_or(drawn[this->random() % std::size(drawn)]);
        told.ran = told.outcome != Outcome::NotRun;
        this->runs[told.key] += told.ran ? 1 : 0;
        const Instant replied = this->now + this->draw(milliseconds(1), milliseconds(50));
        this->post(node, replied, [this, node, query, outcome = told.outcome](Context &context) {
            this->nodes[node]->claims.onAnswered(query, outcome, context);
        });
    }
    ensure(this->ends.emplace(query, told).second, Invariant::OneAnswerPerRequest,
           [] { return std::string("a sending ended twice"); });
}

void ClaimWorld::scatter(std::size_t idCount)
{
    const Duration span = retention * 3;
    if (this->faults.outages) {
        const Instant from = at(this->draw(Duration(0), span));
        this->addOutage(from, from + this->draw(milliseconds(50), seconds(10)));
    }
    for (std::size_t node = 0; this->faults.pauses && node + 1 < this->nodes.size(); ++node) {
        const Instant from = at(this->draw(Duration(0), span));
        this->pause(node, from, from + this->draw(milliseconds(100), retention * 2));
    }
    for (std::size_t i = 0; i < idCount; ++i) {
        const std::string id = "r" + std::to_string(i);
        // Many requests come right before a node stops, where they are in most danger.
        Duration issued = this->draw(Duration(0), span);
        const std::size_t first = this->random() % this->nodes.size();
        if (this->faults.pauses && this->nodes[first]->pausedFrom > at(Duration(0))) {
            issued = this->nodes[first]->pausedFrom - at(Duration(0))
                    - this->draw(Duration(0), milliseconds(4));
        }
        this->send(first, id, at(issued), wall(issued));
        for (std::uint64_t again = this->random() % 6; again > 0; --again) {
            const Duration later = this->chance(0.5) ? this->draw(Duration(0), milliseconds(20))
                                                     : this->draw(Duration(0), retention * 2);
            this->send(this->random() % this->nodes.size(), id, at(issued + later), wall(issued));
        }
    }
}

void ClaimWorld::runUntil(Instant end)
{
    while (!this->agenda.empty() && this->agenda.begin()->first <= end) {
        auto next = this->agenda.extract(this->agenda.begin());
        this->now = std::max(this->now, next.key());
        next.mapped()();
    }
}

} // namespace lagoondeck
