// How Forwarder chooses targets for the parts of an exchange and sends to them.

#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// An attempt without a reply is given up this long after its time has passed.
constexpr Duration closeAfterDeadline = std::chrono::milliseconds(100);
/// A target is never told less than this: it would refuse at once.
constexpr Duration shortestTimeLeft = std::chrono::milliseconds(1);
/// Connections that can't be made cost a request no attempt, up to this many.
constexpr std::uint32_t mostUnsent = 4;
/// A member's answer takes the way there and back, and a turn of a busy loop there.
constexpr Duration loanWait = std::chrono::milliseconds(25);
/// Second attempts leave this part of the budget to retries after failures.
constexpr double hedgeReservedPart = 0.1;

} // namespace

bool Forwarder::spareable(const Exchange &exchange, const Part &part) const
{
    const auto others = std::ranges::count_if(exchange.parts, [&](const Part &other) {
        return &other != &part && other.phase != PartPhase::Given;
    });
    return exchange.route->gathers() && exchange.covers(static_cast<std::size_t>(others));
}

void Forwarder::dispatch(Exchange &exchange, std::size_t index, TraceKind kind,
                         GatewayContext &context)
{
    Part &part = exchange.parts[index];
    const bool insist = !this->spareable(exchange, part);
    const TargetChoice choice = this->book.choose(*part.group, part.tried, *exchange.latency,
                                                  insist, context.now, context.random);
    if (choice.target != nullptr) {
        this->sendTo(exchange, index, *choice.target, kind, context);
    } else if (choice.problem == ChoiceProblem::Busy) {
        part.phase = PartPhase::Waiting;
        exchange.note(TraceKind::Wait, index, {}, context.now);
        this->waiting[part.group->name].push_back({exchange.id, index});
    } else {
        part.phase = PartPhase::Given;
        exchange.note(choice.problem == ChoiceProblem::Avoided ? TraceKind::Avoided
                                                               : TraceKind::NoTarget,
                      index, {}, context.now);
    }
}

Instant Forwarder::hedgeTime(const Exchange &exchange, Instant now) const
{
    const LatencyModel &latency = *exchange.latency;
    if (!exchange.route->idempotent) {
        return Instant::max();
    }
    // Late by its own measure, but early enough for the second attempt to be in time. While some
    // targets are slow they make up the late replies, and the usual ones are to be told from them.
    const Duration late = std::min(latency.late() + latency.late() / 8,
                                   latency.median() * forwarding::slowMedians);
    const Instant lastUseful = exchange.objectiveAt - std::min(latency.late(), late);
    return std::max(std::min(now + late, lastUseful), now + latency.median());
}

void Forwarder::sendTo(Exchange &exchange, std::size_t index, TargetNode &target, TraceKind kind,
                       GatewayContext &context)
{
    Part &part = exchange.parts[index];
    exchange.note(kind, index, target.record.id, context.now);
    this->count.first += kind == TraceKind::Send ? 1 : 0;
    this->count.hedges += kind == TraceKind::Hedge ? 1 : 0;
    this->count.retries += kind == TraceKind::Retry ? 1 : 0;
    const AttemptId id = context.ids.next<AttemptId>();
    const Duration left = exchange.deadlineAt - context.now - forwarding::wayBack;
    this->attempts.emplace(id,
                           GatewayAttempt {exchange.id, index, &target, target.record.id,
                                           exchange.latency, part.group, context.now,
                                           exchange.deadlineAt + closeAfterDeadline});
    this->timers.push({exchange.deadlineAt + closeAfterDeadline, TimerKind::Attempt, id.value});
    this->book.onSent(target, context.now);
    part.out.push_back(id);
    part.tried.push_back(target.record.id);
    part.phase = PartPhase::Running;
    ++part.mayHaveRun;
    ++part.arrived;
    part.hedgeAt = part.out.size() == 1 && part.mayHaveRun < exchange.route->attempts
            ? this->hedgeTime(exchange, context.now)
            : Instant::max();
    context.emit(StartAttempt {id, target.record.id, target.record.address, exchange.request,
                               std::max(left, shortestTimeLeft)});
}

void Forwarder::hedge(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    part.hedgeAt = Instant::max();
    const TargetChoice choice = this->book.choose(*part.group, part.tried, *exchange.latency, false,
                                                  context.now, context.random);
    // A second attempt is meant to be quick: behind others it only adds load.
    if (choice.target == nullptr || choice.target->inFlight >= choice.target->record.slots) {
        return;
    }
    if (!part.group->budget.take(this->allowance, this->book.instanceCount(), hedgeReservedPart,
                                 context.now)) {
        this->seekBudget(exchange, index, context);
        return;
    }
    this->sendTo(exchange, index, *choice.target, TraceKind::Hedge, context);
}

void Forwarder::seekBudget(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    if (part.loanUntil == Instant::min()) {
        ++this->count.withoutBudget;
        exchange.note(TraceKind::NoBudget, index, {}, context.now);
        part.loanUntil = context.now + loanWait;
        this->budgetLoans.want(part.group->name);
        this->withoutBudget[part.group->name].push_back({exchange.id, index});
    }
    if (part.out.empty()) {
        part.phase = context.now < part.loanUntil ? PartPhase::Waiting : PartPhase::Given;
    }
}

void Forwarder::onLent(const BudgetLent &event, GatewayContext &context)
{
    for (const auto &[name, count] : event.lent) {
        TargetGroup &group = this->book.group(name);
        group.budget.borrow(count, context.now + event.validFor);
        std::deque<WaitingPart> &queue = this->withoutBudget[name];
        for (std::uint32_t i = 0; i < count && !queue.empty();) {
            const WaitingPart next = queue.front();
            queue.pop_front();
            Exchange *exchange = this->find(next.exchange);
            if (exchange == nullptr || !exchange->parts[next.part].open()) {
                continue;
            }
            ++i;
            if (exchange->parts[next.part].out.empty()) {
                this->retry(*exchange, next.part, context);
            } else {
                this->hedge(*exchange, next.part, context);
            }
            this->review(next.exchange, context);
        }
    }
}

void Forwarder::retry(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    if (!part.out.empty() || !part.open()) {
        return;
    }
    const bool mayRepeat = exchange.route->idempotent || part.mayHaveRun == 0;
    const bool inTime = context.now + forwarding::wayBack < exchange.deadlineAt;
    if (!mayRepeat || !inTime || part.mayHaveRun >= exchange.route->attempts
        || part.unsent > mostUnsent) {
        part.phase = PartPhase::Given;
        return;
    }
    // The first arrival at a group is free.
    const bool extra = part.arrived > 0;
    if (extra
        && !part.group->budget.take(this->allowance, this->book.instanceCount(), 0.0,
                                    context.now)) {
        this->seekBudget(exchange, index, context);
        return;
    }
    this->dispatch(exchange, index, TraceKind::Retry, context);
}

void Forwarder::pump(TargetGroup &group, GatewayContext &context)
{
    const auto found = this->waiting.find(group.name);
    if (found == this->waiting.end()) {
        return;
    }
    std::deque<WaitingPart> &queue = found->second;
    while (!queue.empty()) {
        const WaitingPart next = queue.front();
        Exchange *exchange = this->find(next.exchange);
        if (exchange == nullptr || exchange->parts[next.part].phase != PartPhase::Waiting
            || exchange->parts[next.part].loanUntil > context.now) {
            queue.pop_front();
            continue;
        }
        Part &part = exchange->parts[next.part];
        const TargetChoice choice = this->book.choose(group, part.tried, *exchange->latency, true,
                                                      context.now, context.random);
        if (choice.target == nullptr) {
            return;
        }
        queue.pop_front();
        this->sendTo(*exchange, next.part, *choice.target,
                     part.arrived > 0 ? TraceKind::Retry : TraceKind::Send, context);
        this->review(next.exchange, context);
    }
}

} // namespace lagoondeck
