#include "tests/logic/quarantine/quarantine_cell.h"

#include "proto/peer.pb.h"

#include <utility>

namespace lagoondeck {

using std::chrono::milliseconds;

QuarantineCell::QuarantineCell(std::size_t nodeCount, std::uint64_t seed)
    : random(seed), nodes(nodeCount)
{
    for (std::size_t i = 0; i < nodeCount; ++i) {
        this->nodes[i].random.seed(seed + i);
        for (std::size_t j = 0; j < nodeCount; ++j) {
            Member member;
            member.id = InstanceId("entry-" + std::to_string(j));
            member.peerAddress = std::to_string(j);
            if (i == j) {
                this->nodes[i].view.self = member;
            } else {
                this->nodes[i].view.others.push_back(member);
            }
        }
        this->nodes[i].quarantine = std::make_unique<Quarantine>(this->nodes[i].view);
    }
}

CatalogueEntry QuarantineCell::entry() const
{
    CatalogueEntry entry;
    entry.name = EntryName("fit");
    entry.canary = this->canary;
    entry.deadline = milliseconds(400);
    return entry;
}

CallerRequest QuarantineCell::requestOf(const std::string &body)
{
    CallerRequest request;
    request.query = QueryId(++this->lastQuery);
    request.entry = EntryName("fit");
    request.body = std::make_shared<const std::string>(body);
    return request;
}

void QuarantineCell::sendAtRandom(const std::string &body, Duration span)
{
    std::uniform_int_distribution<Duration::rep> when(0, span.count());
    this->send(this->random() % this->nodes.size(), body, Duration(when(this->random)));
}

void QuarantineCell::send(std::size_t node, const std::string &body, Duration after)
{
    this->scheduleAt(this->now + after, [this, node, request = this->requestOf(body)] {
        this->apply(node, [&](Context &context) { this->run(node, request, this->now, context); });
    });
}

QuarantineDecision QuarantineCell::decide(std::size_t node, const std::string &body)
{
    QuarantineDecision decision = QuarantineDecision::Run;
    this->apply(node, [&](Context &context) {
        decision = this->nodes[node].quarantine->decide(this->requestOf(body), this->entry(),
                                                        this->now, context);
    });
    return decision;
}

void QuarantineCell::apply(std::size_t node, const Action &action)
{
    Node &state = this->nodes[node];
    std::vector<Effect> effects;
    Context context {this->now, WallTime {}, effects, state.random, state.ids};
    action(context);
    for (const QueryId query : state.quarantine->takeReleasedQueries()) {
        this->queries.at(query).canary = false;
        this->sendShards(this->queries.at(query), shards - 1, context);
    }
    while (state.quarantine->hasFinishedWaits()) {
        for (const FinishedWait &end : state.quarantine->takeFinishedWaits()) {
            if (end.reason == FailureReason::None) {
                this->run(node, end.request, end.arrivedAt, context);
            } else {
                ++this->refused;
            }
        }
    }
    this->performEffects(node, effects);
}

void QuarantineCell::performEffects(std::size_t node, std::vector<Effect> &effects)
{
    for (const Effect &effect : effects) {
        if (const auto *set = std::get_if<SetTimer>(&effect)) {
            this->scheduleAt(set->at, [this, node] {
                this->apply(node, [&](Context &c) { this->nodes[node].quarantine->onTimer(c); });
            });
        } else if (const auto *sent = std::get_if<SendPeerMessage>(&effect)) {
            const std::size_t receiver = std::stoul(sent->address);
            if (!this->deliverMessages || this->deadNodes.contains(receiver)) {
                continue;
            }
            const Duration hop = milliseconds(1) + Duration(this->random() % 1000);
            this->scheduleAt(this->now + hop, [this, receiver, message = sent->message] {
                this->apply(receiver, [&](Context &c) {
                    this->nodes[receiver].quarantine->onPeerMessage(*message, c);
                });
            });
        }
    }
}

void QuarantineCell::run(std::size_t node, const CallerRequest &request, Instant arrivedAt,
                         Context &context)
{
    const QuarantineDecision decision =
            this->nodes[node].quarantine->decide(request, this->entry(), arrivedAt, context);
    if (decision == QuarantineDecision::Refuse) {
        ++this->refused;
    } else if (decision != QuarantineDecision::Wait) {
        RunningQuery &query = this->queries[request.query];
        query.node = node;
        query.request = request;
        query.canary = decision == QuarantineDecision::RunCanary;
        this->sendShards(query, query.canary ? 1 : shards, context);
    }
}

void QuarantineCell::sendShards(RunningQuery &query, std::uint32_t count, Context &context)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        SendSubRequest effect;
        effect.attempt = context.ids.next<AttemptId>();
        effect.query = query.request.query;
        effect.target = TargetId(std::to_string(query.shardsSent++) + "-"
                                 + std::to_string(this->random() % replicas));
        effect.deadline = milliseconds(400);
        this->nodes[query.node].quarantine->onSent(effect, context);
        query.attemptsInFlight.insert(effect.attempt);
        query.targets[effect.attempt] = effect.target.value;
        const bool isPoison = *query.request.body == "poison";
        const Duration time = milliseconds(5) + Duration(this->random() % 20000);
        this->scheduleAt(this->now + time,
                         [this, isPoison, id = effect.query, attempt = effect.attempt,
                          target = effect.target.value] {
                             if (isPoison) {
                                 this->lostTargets.insert(target);
                                 this->loseTarget(id, attempt, target);
                             } else {
                                 this->endAttempt(id, attempt);
                             }
                         });
    }
}

void QuarantineCell::endAttempt(QueryId id, AttemptId attempt)
{
    const auto found = this->queries.find(id);
    if (found == this->queries.end() || found->second.attemptsInFlight.erase(attempt) == 0) {
        return;
    }
    this->apply(found->second.node, [&](Context &context) {
        TargetReplied reply;
        reply.attempt = attempt;
        reply.kind = ReplyKind::Answered;
        this->nodes[found->second.node].quarantine->onReply(reply, context);
        if (found->second.attemptsInFlight.empty() && found->second.shardsSent == shards) {
            ++this->answered;
            this->finish(id, context);
        }
    });
}

void QuarantineCell::loseTarget(QueryId id, AttemptId attempt, const std::string &target)
{
    const auto found = this->queries.find(id);
    if (found == this->queries.end() || found->second.attemptsInFlight.erase(attempt) == 0) {
        return;
    }
    this->apply(found->second.node, [&](Context &context) {
        const ConnectionClosed closed {ConnectionId(1), TargetId(target), ConnectionEnd::Lost,
                                       attempt, true};
        this->nodes[found->second.node].quarantine->onConnectionClosed(closed, context);
        if (found->second.attemptsInFlight.empty()) {
            this->finish(id, context);
        }
    });
}

void QuarantineCell::finish(QueryId id, Context &context)
{
    this->nodes[this->queries.at(id).node].quarantine->onAnswered(id, context);
    this->queries.at(id).shardsSent = shards;
}

void QuarantineCell::loseTargetsAtOnce(std::size_t count)
{
    std::set<std::string> failed;
    for (std::size_t i = 0; i < count; ++i) {
        failed.insert(std::to_string(i % shards) + "-" + std::to_string(i / shards));
    }
    for (auto &[id, query] : this->queries) {
        const std::set<AttemptId> attemptsInFlight = query.attemptsInFlight;
        for (const AttemptId attempt : attemptsInFlight) {
            if (failed.contains(query.targets[attempt])) {
                this->loseTarget(id, attempt, query.targets[attempt]);
            }
        }
    }
}

void QuarantineCell::runFor(Duration time)
{
    const Instant end = this->now + time;
    while (!this->scheduledActions.empty() && this->scheduledActions.begin()->first <= end) {
        auto next = this->scheduledActions.extract(this->scheduledActions.begin());
        this->now = std::max(this->now, next.key());
        next.mapped()();
    }
    this->now = end;
}

} // namespace lagoondeck
