#include "tests/logic/admission/overload_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

namespace lagoondeck {

struct OverloadModel::Job
{
    std::uint64_t id = 0;
    std::uint32_t node = 0;
    AttemptId attempt;
    ConnectionId connection;
    SnapshotVersion snapshot;
    Instant deadline {};
};

struct OverloadModel::Target
{
    TargetInstance info;
    double factor = 1.0;
    std::list<Job> running;
    std::list<Job> waiting;
};

struct OverloadModel::Node
{
    Node(const OverloadScenario &scenario, std::uint32_t number)
        : number(number), random(scenario.seed * 100 + number),
          table(scenario.policy, scenario.nodes), admission(scenario.policy),
          engine(scenario.policy, this->table,
                 [this](const EntryName &entry) { return this->admission.isOverloaded(entry); })
    { }

    std::uint32_t number;
    RandomEngine random;
    IdSource ids;
    std::vector<Effect> effects;
    std::map<Timer, Instant> timers;
    TargetTable table;
    Admission admission;
    QueryEngine engine;
};

namespace {

const ServiceName service("fit");
const SnapshotVersion version(7);
constexpr Duration rampDuration = std::chrono::seconds(2);

CatalogueEntry makeEntry(const OverloadScenario &scenario, std::uint32_t priority)
{
    CatalogueEntry entry;
    entry.name = EntryName("p" + std::to_string(priority));
    entry.service = service;
    entry.ratePerSecond = 1e6;
    entry.concurrency = 100'000;
    entry.priority = priority;
    entry.deadline = scenario.deadline;
    return entry;
}

} // namespace

double PriorityCounts::quantile(double fraction)
{
    if (this->milliseconds.empty()) {
        return 0.0;
    }
    std::ranges::sort(this->milliseconds);
    const auto last = static_cast<double>(this->milliseconds.size() - 1);
    return this->milliseconds[static_cast<std::size_t>(last * fraction)];
}

std::string OverloadResult::row() const
{
    char text[256];
    std::snprintf(text, sizeof text,
                  "goodput %.3f p50 %.1f p99 %.1f sub-requests %llu hedges %.4f sheds %.4f",
                  this->goodputRatio, this->p50Ms, this->p99Ms,
                  static_cast<unsigned long long>(this->subRequests),
                  static_cast<double>(this->hedges) / static_cast<double>(this->subRequests),
                  static_cast<double>(this->sheds) / static_cast<double>(this->subRequests));
    std::string row = text;
    for (const auto &[priority, counts] : this->byPriority) {
        std::snprintf(text, sizeof text, " | p%u sent %u answered %u refused %u lost %u", priority,
                      counts.sent, counts.answered, counts.refused, counts.lost);
        row += text;
    }
    return row;
}

OverloadModel::OverloadModel(const OverloadScenario &scenario)
    : scenario(scenario), random(scenario.seed)
{
    InstanceList list;
    for (std::uint32_t group = 0; group < scenario.groups; ++group) {
        for (std::uint32_t replica = 0; replica < scenario.replicas; ++replica) {
            auto target = std::make_unique<Target>();
            target->info.id = TargetId(std::to_string(group) + "-" + std::to_string(replica));
            target->info.service = service;
            target->info.shard = ShardId(group);
            target->info.slots = scenario.slots;
            target->info.connectionCap = scenario.connectionCap;
            list.targets.push_back(target->info);
            this->targets.emplace(target->info.id, std::move(target));
        }
    }
    std::vector<Target *> shuffled;
    for (const auto &[id, target] : this->targets) {
        shuffled.push_back(target.get());
    }
    std::ranges::shuffle(shuffled, this->random);
    shuffled.resize(static_cast<std::size_t>(
            std::round(scenario.slowFraction * static_cast<double>(shuffled.size()))));
    this->scheduleAfter(scenario.warmUp / 2, [this, shuffled] {
        for (Target *target : shuffled) {
            target->factor = this->scenario.slowFactor;
        }
    });
    for (std::uint32_t number = 0; number < scenario.nodes; ++number) {
        this->nodes.push_back(std::make_unique<Node>(scenario, number));
        Node &node = *this->nodes.back();
        Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
        node.table.start(context);
        node.table.onInstances(list, context);
        this->execute(node);
    }
}

OverloadModel::~OverloadModel() = default;

void OverloadModel::scheduleAfter(Duration delay, std::function<void()> action)
{
    this->actions.push({this->now + delay, ++this->sequence, std::move(action)});
}

OverloadResult OverloadModel::run()
{
    for (const auto &[priority, load] : this->scenario.loads) {
        this->scheduleArrival(priority);
    }
    while (!this->actions.empty()
           && this->actions.top().at < this->start + this->scenario.runDuration) {
        const Action action = this->actions.top();
        this->actions.pop();
        this->now = action.at;
        action.run();
    }
    const std::chrono::duration<double> counted =
            this->scenario.runDuration - this->scenario.warmUp;
    PriorityCounts total;
    double offered = 0.0;
    for (auto &[priority, counts] : this->result.byPriority) {
        total.milliseconds.insert(total.milliseconds.end(), counts.milliseconds.begin(),
                                  counts.milliseconds.end());
        offered += counts.sent;
    }
    this->result.p50Ms = total.quantile(0.5);
    this->result.p99Ms = total.quantile(0.99);
    this->result.goodputRatio = static_cast<double>(this->result.answered)
            / std::min(this->scenario.capacity() * counted.count(), offered);
    return this->result;
}

double OverloadModel::arrivalRate(std::uint32_t priority) const
{
    const std::chrono::duration<double> left = this->start + this->scenario.warmUp - this->now;
    const std::chrono::duration<double> growth = rampDuration;
    const double grown = std::clamp(1.0 - left / growth, 0.0, 1.0);
    return this->scenario.loads.at(priority) * this->scenario.capacity()
            * (1.0 + (this->scenario.peakFactor - 1.0) * grown);
}

void OverloadModel::scheduleArrival(std::uint32_t priority)
{
    std::exponential_distribution<double> gap(this->arrivalRate(priority));
    const auto delay = std::chrono::duration<double>(gap(this->random));
    this->scheduleAfter(std::chrono::duration_cast<Duration>(delay), [this, priority] {
        this->arrive(priority);
        this->scheduleArrival(priority);
    });
}

void OverloadModel::arrive(std::uint32_t priority)
{
    std::uniform_int_distribution<std::size_t> pick(0, this->nodes.size() - 1);
    Node &node = *this->nodes[pick(this->random)];
    const CatalogueEntry entry = makeEntry(this->scenario, priority);
    CallerRequest request;
    request.query = QueryId(++this->lastQuery);
    request.entry = entry.name;
    request.requestId = RequestId(std::to_string(this->lastQuery));
    request.body = std::make_shared<const std::string>("{}");
    const bool counted = this->now - this->start >= this->scenario.warmUp;
    if (counted) {
        ++this->result.byPriority[priority].sent;
    }
    Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
    if (node.admission.admit(request, entry, context)) {
        this->result.byPriority[priority].refused += counted ? 1 : 0;
        return;
    }
    this->openQueries[request.query] = {priority, this->now};
    node.engine.start(request, entry, this->now, context);
    this->execute(node);
}

void OverloadModel::execute(Node &node)
{
    while (!node.effects.empty()) {
        const std::vector<Effect> effects = std::move(node.effects);
        node.effects.clear();
        for (const Effect &effect : effects) {
            this->execute(node, effect);
        }
    }
}

void OverloadModel::execute(Node &node, const Effect &effect)
{
    if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
        const bool counted = this->now - this->start >= this->scenario.warmUp;
        this->result.subRequests += counted ? 1 : 0;
        Target &target = *this->targets.at(send->target);
        Job job {++this->sequence, node.number,    send->attempt,
                 send->connection, send->snapshot, this->now + send->deadline};
        this->scheduleAfter(this->scenario.networkDelay,
                            [this, &target, job] { this->receive(target, job); });
    } else if (const auto *cancel = std::get_if<CancelSubRequest>(&effect)) {
        Target &target = *this->targets.at(cancel->target);
        const auto cancelConnection = cancel->cancelConnection;
        const AttemptId attempt = cancel->attempt;
        this->scheduleAfter(this->scenario.networkDelay, [this, &target, &node, attempt] {
            this->cancel(target, node.number, attempt);
        });
        if (cancelConnection) {
            this->scheduleAfter(this->scenario.networkDelay * 2,
                                [this, &node, cancelConnection, id = cancel->target] {
                                    Context context {this->now, WallTime {}, node.effects,
                                                     node.random, node.ids};
                                    node.table.onCancelConfirmed({*cancelConnection, id}, context);
                                    node.engine.sendWaiting(*node.table.shardOf(id), context);
                                    this->execute(node);
                                });
        }
    } else if (const auto *opening = std::get_if<OpenConnection>(&effect)) {
        this->scheduleAfter(this->scenario.networkDelay * 2, [this, &node, opening = *opening] {
            Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
            node.table.onConnectionOpened({opening.connection, opening.target, this->report()},
                                          context);
            this->execute(node);
        });
    } else if (const auto *probe = std::get_if<ProbeTarget>(&effect)) {
        this->scheduleAfter(this->scenario.networkDelay * 2, [this, &node, probe = *probe] {
            Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
            node.table.onHealth({probe.connection, probe.target, this->report()}, context);
            this->execute(node);
        });
    } else if (const auto *answer = std::get_if<AnswerCaller>(&effect)) {
        this->answer(node, *answer);
    } else if (const auto *timer = std::get_if<SetTimer>(&effect)) {
        node.timers[timer->timer] = timer->at;
        this->scheduleAfter(std::max(Duration::zero(), Duration(timer->at - this->now)),
                            [this, &node, timer = *timer] { this->onTimerFired(node, timer); });
    }
}

TargetReport OverloadModel::report() const
{
    TargetReport report;
    report.snapshots = {{version, this->scenario.groups}};
    return report;
}

void OverloadModel::onTimerFired(Node &node, const SetTimer &timer)
{
    const auto set = node.timers.find(timer.timer);
    if (set == node.timers.end() || set->second != timer.at) {
        return;
    }
    node.timers.erase(set);
    Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
    if (timer.timer.kind == TimerKind::QueryDeadline) {
        node.engine.onDeadline(QueryId(timer.timer.key), context);
    } else if (timer.timer.kind == TimerKind::Hedge) {
        node.engine.onHedgeTimer(QueryId(timer.timer.key), context);
    } else if (timer.timer.kind == TimerKind::TargetMaintenance) {
        node.table.onTimer(context);
    } else if (timer.timer.kind == TimerKind::QueueCheck) {
        node.table.onQueueCheck(context);
        node.engine.sendAllWaiting(context);
    }
    this->execute(node);
}

void OverloadModel::answer(Node &node, const AnswerCaller &answer)
{
    Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
    node.admission.onFinished(answer.entry, answer.answer, context);
    const auto found = this->openQueries.find(answer.query);
    const auto [priority, since] = found->second;
    this->openQueries.erase(found);
    if (since - this->start < this->scenario.warmUp) {
        return;
    }
    PriorityCounts &counts = this->result.byPriority[priority];
    this->result.hedges += answer.answer.hedgesSent;
    const double elapsed = toFractionalMilliseconds(Duration(this->now - since));
    if (answer.answer.outcome == Outcome::Answered
        && this->now - since <= this->scenario.deadline) {
        ++counts.answered;
        ++this->result.answered;
        counts.milliseconds.push_back(elapsed);
    } else {
        ++counts.lost;
    }
}

void OverloadModel::receive(Target &target, Job job)
{
    if (target.running.size() >= target.info.slots
        && target.waiting.size() >= this->scenario.queueLimit) {
        this->result.sheds += this->now - this->start >= this->scenario.warmUp ? 1 : 0;
        this->reply(target, job, ReplyKind::Shed);
        return;
    }
    target.waiting.push_back(job);
    this->startWaiting(target);
}

void OverloadModel::startWaiting(Target &target)
{
    while (!target.waiting.empty() && target.running.size() < target.info.slots) {
        const Job job = target.waiting.front();
        target.waiting.pop_front();
        if (this->now >= job.deadline) {
            this->reply(target, job, ReplyKind::ExpiredBeforeRun);
            continue;
        }
        target.running.push_back(job);
        const double sigma = this->scenario.sigma;
        std::lognormal_distribution<double> draw(
                std::log(this->scenario.meanServiceMs) - sigma * sigma / 2, sigma);
        const std::chrono::duration<double, std::milli> service(draw(this->random) * target.factor);
        const auto fullServiceTime = std::chrono::duration_cast<Duration>(service);
        const Duration left = job.deadline - this->now;
        const ReplyKind kind =
                fullServiceTime <= left ? ReplyKind::Answered : ReplyKind::CancelledWhileRunning;
        this->scheduleAfter(std::min(fullServiceTime, left),
                            [this, &target, id = job.id, kind] { this->finish(target, id, kind); });
    }
}

void OverloadModel::finish(Target &target, std::uint64_t id, ReplyKind kind)
{
    const auto job = std::ranges::find(target.running, id, &Job::id);
    if (job == target.running.end()) {
        return;
    }
    this->reply(target, *job, kind);
    target.running.erase(job);
    this->startWaiting(target);
}

void OverloadModel::cancel(Target &target, std::uint32_t node, AttemptId attempt)
{
    const auto matches = [&](const Job &job) { return job.node == node && job.attempt == attempt; };
    if (const auto job = std::ranges::find_if(target.waiting, matches);
        job != target.waiting.end()) {
        this->reply(target, *job, ReplyKind::CancelledBeforeRun);
        target.waiting.erase(job);
    } else if (const auto job = std::ranges::find_if(target.running, matches);
               job != target.running.end()) {
        this->finish(target, job->id, ReplyKind::CancelledWhileRunning);
    }
}

void OverloadModel::reply(Target &target, const Job &job, ReplyKind kind)
{
    this->scheduleAfter(this->scenario.networkDelay, [this, &target, job, kind] {
        TargetReplied event;
        event.attempt = job.attempt;
        event.connection = job.connection;
        event.kind = kind;
        event.snapshot = job.snapshot;
        Node &node = *this->nodes[job.node];
        Context context {this->now, WallTime {}, node.effects, node.random, node.ids};
        node.engine.onReply(event, context);
        this->execute(node);
    });
}

} // namespace lagoondeck
