// The part of Forwarder that chooses targets for the parts of an exchange and sends attempts.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// An attempt without a reply is closed this long after its request's deadline.
constexpr Duration closeAfterDeadline = std::chrono::milliseconds(100);
/// Up to this many failed connects of a part don't count as attempts.
constexpr std::uint32_t maxFailedConnects = 4;
/// How long to wait for a budget loan: the network round trip to the member, plus one iteration of
/// its event loop under load.
constexpr Duration loanTimeout = std::chrono::milliseconds(25);
/// The fraction of the budget that hedges leave to retries after failures.
constexpr double hedgeReservedFraction = 0.1;

ChoiceTerms termsFor(const Exchange &exchange, const Part &part, bool isOptional)
{
    return {part.triedTargets,
            *exchange.latency,
            !isOptional,
            {exchange.urgencyRank, isOptional},
            exchange.regionRule()};
}

/// A request waits for a replica with capacity for at most its objective divided by this. If it is
/// refused then, another instance can still serve it in time.
constexpr int maxQueueTimeDivisor = 5;

/// Returns true if waiting parts take turns and late ones are refused early. A deployment without
/// client accounts is served first come, first served.
bool takesTurns(const Exchange &exchange)
{
    return exchange.config != nullptr && !exchange.config->accounts.empty();
}

WaitingSender senderOf(const Exchange &exchange)
{
    if (!takesTurns(exchange)) {
        return {};
    }
    return {exchange.urgencyRank, exchange.account == nullptr ? "" : exchange.account->name,
            exchange.caller};
}

/// Returns true if the part should wait for a request at a limited replica.
bool canAwaitLoan(const Part &part, const TargetChoice &choice, Instant now)
{
    return choice.loanTarget != nullptr
            && (!part.limitLoanRequested || now < part.limitLoanDeadline);
}

/// Returns true if the part may have one more attempt, parallel to the one that is running. This
/// may have changed since the hedge was planned or its loan was requested.
bool canHedge(const Exchange &exchange, const Part &part)
{
    return exchange.route->idempotent && part.runningAttempts.size() == 1
            && part.possibleRuns < exchange.route->attempts;
}

} // namespace

bool Forwarder::isDispensable(const Exchange &exchange, const Part &part) const
{
    const auto others = std::ranges::count_if(exchange.parts, [&](const Part &other) {
        return &other != &part && other.phase != PartPhase::Abandoned;
    });
    return exchange.route->gathers()
            && exchange.meetsMinimumCoverage(static_cast<std::size_t>(others));
}

void Forwarder::dispatch(Exchange &exchange, std::size_t index, TraceKind kind,
                         GatewayContext &context)
{
    Part &part = exchange.parts[index];
    const bool isOptional = this->isDispensable(exchange, part);
    const TargetChoice choice = this->targets.choose(
            *part.group, termsFor(exchange, part, isOptional), context.now, context.random);
    if (!isOptional && canAwaitLoan(part, choice, context.now)) {
        this->awaitLoan(exchange, index, *choice.loanTarget, context);
    } else if (choice.target != nullptr) {
        this->sendTo(exchange, index, *choice.target, kind, context);
    } else if (choice.problem == ChoiceProblem::Busy) {
        this->enqueue(exchange, index, context);
    } else if (choice.problem == ChoiceProblem::Limited) {
        if (isOptional) {
            // This answer goes out without the part, but the next ones are likely to need it too.
            this->targets.requestLoan(*part.group, context.now, context.random);
        }
        this->withhold(exchange, index, context);
    } else {
        part.phase = PartPhase::Abandoned;
        exchange.recordStep(choice.problem == ChoiceProblem::Avoided          ? TraceKind::Avoided
                                    : choice.problem == ChoiceProblem::Paused ? TraceKind::Paused
                                                                              : TraceKind::NoTarget,
                            index, {}, context.now);
    }
}

void Forwarder::awaitLoan(Exchange &exchange, std::size_t index, const TargetNode &target,
                          GatewayContext &context)
{
    Part &part = exchange.parts[index];
    if (!std::exchange(part.limitLoanRequested, true)) {
        part.limitLoanDeadline = context.now + loanTimeout;
    }
    part.phase = PartPhase::Borrowing;
    this->targets.limits().requestLoan(target.record.id, context.now, context.random);
    this->partsAwaitingLimit[target.record.id].push_back({exchange.id, index});
}

void Forwarder::dispatchAgain(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    const bool isFirst = exchange.parts[index].arrivedAttempts == 0;
    this->dispatch(exchange, index, isFirst ? TraceKind::Send : TraceKind::Retry, context);
}

void Forwarder::onLimitLent(const LimitLent &event, GatewayContext &context)
{
    const auto age = this->targets.limits().loans().takeAnswered(event.number, context.now);
    if (!age) {
        return;
    }
    this->targets.limits().onLent(event, *age, context.now);
    for (const auto &[target, count] : event.lent) {
        const auto waiting = this->partsAwaitingLimit.extract(target);
        if (waiting.empty()) {
            continue;
        }
        for (const WaitingPart &next : waiting.mapped()) {
            Exchange *exchange = this->find(next.exchange);
            if (exchange != nullptr && !this->dropUnpermitted(*exchange, context)
                && exchange->parts[next.part].phase == PartPhase::Borrowing) {
                this->dispatchAgain(*exchange, next.part, context);
                this->advance(next.exchange, context);
            }
        }
    }
}

void Forwarder::withhold(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    part.phase = PartPhase::Abandoned;
    part.limitReached = true;
    exchange.recordStep(TraceKind::Limited, index, {}, context.now);
    this->targets.limits().onWithheld();
}

bool Forwarder::refuseRestricted(Exchange &exchange, GatewayContext &context)
{
    if (!exchange.route->gathers()
        || (exchange.regionRule().isOpen() && !this->targets.hasRestrictions(context.now))) {
        return false;
    }
    std::vector<ChoiceProblem> problems;
    for (const Part &part : exchange.parts) {
        problems.push_back(this->targets.restrictionProblem(
                *part.group, {exchange.urgencyRank, false}, exchange.regionRule(), context.now));
    }
    const auto servable = std::ranges::count(problems, ChoiceProblem::None);
    // Without a target for a group, the others are asked all the same, unless the group's targets
    // are evacuated or in another region.
    const bool mayLackTargets =
            !this->targets.evacuatedDomains().empty() || !exchange.regionRule().isOpen();
    const bool isRestricted = std::ranges::any_of(problems, [&](ChoiceProblem problem) {
        return problem == ChoiceProblem::Limited || problem == ChoiceProblem::Paused
                || (problem == ChoiceProblem::NoTarget && mayLackTargets);
    });
    if (!isRestricted || exchange.meetsMinimumCoverage(static_cast<std::size_t>(servable))) {
        return false;
    }
    for (std::size_t i = 0; i < exchange.parts.size(); ++i) {
        exchange.parts[i].phase = PartPhase::Abandoned;
        if (problems[i] == ChoiceProblem::Limited) {
            // Too late for this exchange, but more are likely to come.
            this->targets.requestLoan(*exchange.parts[i].group, context.now, context.random);
            this->withhold(exchange, i, context);
        } else if (problems[i] == ChoiceProblem::Paused) {
            exchange.recordStep(TraceKind::Paused, i, {}, context.now);
        } else if (problems[i] == ChoiceProblem::NoTarget) {
            exchange.recordStep(TraceKind::NoTarget, i, {}, context.now);
        }
    }
    this->fail(exchange, context);
    return true;
}

Instant Forwarder::hedgeTimeFor(const Exchange &exchange, Instant now) const
{
    const LatencyModel &latency = *exchange.latency;
    if (!exchange.route->idempotent) {
        return Instant::max();
    }
    // Hedge once the attempt is late for its route, but early enough for the hedge to finish within
    // the objective. While some targets are slow, their replies raise the late threshold, so a
    // multiple of the median limits it.
    const Duration hedgeDelay = std::min(latency.lateThreshold() + latency.lateThreshold() / 8,
                                         latency.median() * forwarding::slowMedianFactor);
    const Instant latestUsefulStart =
            exchange.objectiveAt - std::min(latency.lateThreshold(), hedgeDelay);
    return std::max(std::min(now + hedgeDelay, latestUsefulStart), now + latency.median());
}

void Forwarder::sendTo(Exchange &exchange, std::size_t index, TargetNode &target, TraceKind kind,
                       GatewayContext &context)
{
    Part &part = exchange.parts[index];
    exchange.recordStep(kind, index, target.record.id, context.now);
    this->attemptCounts.first += kind == TraceKind::Send ? 1 : 0;
    this->attemptCounts.hedges += kind == TraceKind::Hedge ? 1 : 0;
    this->attemptCounts.retries += kind == TraceKind::Retry ? 1 : 0;
    const AttemptId id = context.ids.next<AttemptId>();
    this->attempts.emplace(id,
                           GatewayAttempt {exchange.id, index, &target, target.record.id,
                                           exchange.latency, part.group, context.now,
                                           exchange.deadlineAt + closeAfterDeadline});
    this->timers.push({exchange.deadlineAt + closeAfterDeadline, TimerKind::Attempt, id.value});
    this->scheduleSilenceCheck(context.now + forwarding::minSilence);
    this->targets.onSent(target, kind, context.now);
    this->removeQueued(exchange, index, context.now);
    part.runningAttempts.push_back(id);
    part.triedTargets.push_back(target.record.id);
    part.phase = PartPhase::Running;
    part.limitLoanRequested = false;
    ++part.possibleRuns;
    ++part.arrivedAttempts;
    this->extendQueueTimes(exchange);
    part.hedgeAt = part.runningAttempts.size() == 1 && part.possibleRuns < exchange.route->attempts
            ? this->hedgeTimeFor(exchange, context.now)
            : Instant::max();
    context.emit(StartAttempt {id, target.record.id, target.record.address, exchange.request,
                               exchange.deadlineAt - forwarding::replyTransfer,
                               this->targets.isRemote(target)});
}

void Forwarder::hedge(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    part.hedgeAt = Instant::max();
    if (!canHedge(exchange, part) || context.now >= this->latestStart(exchange)) {
        return;
    }
    const TargetChoice choice = this->targets.choose(*part.group, termsFor(exchange, part, true),
                                                     context.now, context.random);
    // A hedge only helps if it runs at once. Queued behind other requests, it only adds load.
    if (choice.target == nullptr || choice.target->inFlight >= choice.target->record.slots) {
        return;
    }
    if (!part.group->budget.trySpend(this->allowance, this->targets.instanceCount(),
                                     hedgeReservedFraction, context.now)) {
        this->requestBudgetLoan(exchange, index, context);
        return;
    }
    this->sendTo(exchange, index, *choice.target, TraceKind::Hedge, context);
}

void Forwarder::requestBudgetLoan(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    if (part.loanDeadline == Instant::min()) {
        ++this->attemptCounts.withoutBudget;
        exchange.recordStep(TraceKind::NoBudget, index, {}, context.now);
        part.loanDeadline = context.now + loanTimeout;
        this->budgetLoans.add(part.group->name);
        this->partsAwaitingLoan[part.group->name].push_back({exchange.id, index});
    }
    if (part.runningAttempts.empty()) {
        part.phase = context.now < part.loanDeadline ? PartPhase::Waiting : PartPhase::Abandoned;
    }
}

void Forwarder::onLoan(const BudgetLent &event, GatewayContext &context)
{
    for (const auto &[name, count] : event.lent) {
        TargetGroup &group = this->targets.group(name);
        group.budget.borrow(count, context.now + event.validFor);
        std::deque<WaitingPart> &queue = this->partsAwaitingLoan[name];
        for (std::uint32_t i = 0; i < count && !queue.empty();) {
            const WaitingPart next = queue.front();
            queue.pop_front();
            Exchange *exchange = this->find(next.exchange);
            if (exchange == nullptr || !exchange->parts[next.part].isOpen()) {
                continue;
            }
            ++i;
            if (exchange->parts[next.part].runningAttempts.empty()) {
                this->retry(*exchange, next.part, context);
            } else {
                this->hedge(*exchange, next.part, context);
            }
            this->advance(next.exchange, context);
        }
    }
}

void Forwarder::retry(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    if (!part.runningAttempts.empty() || !part.isOpen()) {
        return;
    }
    if (this->path.state() == PathState::Down && !exchange.isDeclined) {
        part.phase = PartPhase::Abandoned;
        exchange.recordStep(TraceKind::PathDown, index, {}, context.now);
        return;
    }
    const bool canRepeat = exchange.route->idempotent || part.possibleRuns == 0;
    const bool hasTimeLeft = context.now + forwarding::replyTransfer < exchange.deadlineAt
            && context.now < this->latestStart(exchange);
    if (!canRepeat || !hasTimeLeft || part.possibleRuns >= exchange.route->attempts
        || part.failedConnects > maxFailedConnects) {
        part.phase = PartPhase::Abandoned;
        return;
    }
    // The first arrival at a group does not count against the budget.
    const bool needsBudget = part.arrivedAttempts > 0;
    if (needsBudget
        && !part.group->budget.trySpend(this->allowance, this->targets.instanceCount(), 0.0,
                                        context.now)) {
        this->requestBudgetLoan(exchange, index, context);
        return;
    }
    this->dispatch(exchange, index, TraceKind::Retry, context);
}

Instant Forwarder::queueDeadline(const Exchange &exchange)
{
    return std::min(exchange.arrivedAt + exchange.route->objective / maxQueueTimeDivisor,
                    this->latestStart(exchange));
}

Instant Forwarder::startBy(const Exchange &exchange)
{
    return exchange.route->gathers() && exchange.mayHaveRun()
            ? std::min(exchange.deadlineAt - forwarding::replyTransfer, this->latestStart(exchange))
            : this->queueDeadline(exchange);
}

void Forwarder::enqueue(Exchange &exchange, std::size_t index, GatewayContext &context)
{
    Part &part = exchange.parts[index];
    part.phase = PartPhase::Waiting;
    exchange.recordStep(TraceKind::Wait, index, {}, context.now);
    if (std::exchange(part.isQueued, true)) {
        return;
    }
    GroupQueue &queue = this->waitingParts[part.group->name];
    const WaitingSender sender = senderOf(exchange);
    const Instant startBy = this->startBy(exchange);
    queue.setGivesUpLate(takesTurns(exchange));
    if (!takesTurns(exchange)) {
        queue.add({exchange.id, index}, sender, startBy, context.now);
        return;
    }
    if (const auto late = queue.outlook(sender, startBy, context.now)) {
        queue.countRefused(sender);
        this->markLate(exchange, index, *late, context);
        return;
    }
    queue.add({exchange.id, index}, sender, startBy, context.now);
    this->abandonLate(*part.group, context);
}

void Forwarder::removeQueued(Exchange &exchange, std::size_t index, Instant now)
{
    Part &part = exchange.parts[index];
    if (std::exchange(part.isQueued, false)) {
        this->waitingParts[part.group->name].remove({exchange.id, index}, now);
    }
}

void Forwarder::extendQueueTimes(const Exchange &exchange)
{
    for (std::size_t i = 0; i < exchange.parts.size(); ++i) {
        const Part &part = exchange.parts[i];
        if (part.isQueued) {
            this->waitingParts[part.group->name].setStartBy({exchange.id, i},
                                                            this->startBy(exchange));
        }
    }
}

void Forwarder::markLate(Exchange &exchange, std::size_t index, const LatePart &late,
                         GatewayContext &context)
{
    Part &part = exchange.parts[index];
    part.phase = PartPhase::Abandoned;
    part.isQueued = false;
    part.isTooLate = true;
    exchange.recordStep(TraceKind::TooLate, index, {}, context.now);
    logLatePart(exchange, index, late, context);
}

void Forwarder::abandonLate(TargetGroup &group, GatewayContext &context)
{
    GroupQueue &queue = this->waitingParts[group.name];
    while (const auto late = queue.takeLate(context.now)) {
        if (Exchange *exchange = this->find(late->part.exchange)) {
            this->markLate(*exchange, late->part.part, *late, context);
            // The exchange ends in an event of its own, because it may be the one that is being
            // advanced.
            this->timers.push({context.now, TimerKind::Exchange, exchange->id.value});
        }
    }
}

bool Forwarder::refuseLate(Exchange &exchange, GatewayContext &context)
{
    if (!exchange.route->gathers() || !takesTurns(exchange)) {
        return false;
    }
    const WaitingSender sender = senderOf(exchange);
    std::vector<std::pair<std::size_t, LatePart>> lateParts;
    for (std::size_t i = 0; i < exchange.parts.size(); ++i) {
        const auto queue = this->waitingParts.find(exchange.parts[i].group->name);
        if (queue == this->waitingParts.end() || queue->second.queue().size() == 0) {
            continue;
        }
        if (auto late = queue->second.outlook(sender, this->queueDeadline(exchange), context.now)) {
            lateParts.emplace_back(i, *late);
        }
    }
    if (lateParts.empty()
        || exchange.meetsMinimumCoverage(exchange.parts.size() - lateParts.size())) {
        return false;
    }
    for (Part &part : exchange.parts) {
        part.phase = PartPhase::Abandoned;
    }
    for (const auto &[index, late] : lateParts) {
        this->waitingParts[exchange.parts[index].group->name].countRefused(sender);
        this->markLate(exchange, index, late, context);
    }
    this->fail(exchange, context);
    return true;
}

Duration Forwarder::queueRetryDelay(const Exchange &exchange, GatewayContext &context) const
{
    Duration delay = forwarding::retryAfterRefusal;
    for (const Part &part : exchange.parts) {
        const auto queue = this->waitingParts.find(part.group->name);
        if ((part.isTooLate || part.queueTimePassed) && queue != this->waitingParts.end()) {
            delay = std::max(delay, queue->second.retryDelay(context.now, context.random));
        }
    }
    return delay;
}

std::map<std::uint32_t, std::size_t> Forwarder::waitingByRank() const
{
    std::map<std::uint32_t, std::size_t> waiting;
    for (const auto &[group, queue] : this->waitingParts) {
        for (const auto &[rank, count] : queue.queue().sizes()) {
            waiting[rank] += count;
        }
    }
    return waiting;
}

std::uint64_t Forwarder::sentByGuarantee() const
{
    std::uint64_t count = 0;
    for (const auto &[group, queue] : this->waitingParts) {
        count += queue.queue().servedByGuarantee();
    }
    return count;
}

void Forwarder::sendWaitingParts(TargetGroup &group, GatewayContext &context)
{
    const auto found = this->waitingParts.find(group.name);
    if (found == this->waitingParts.end()) {
        return;
    }
    GroupQueue &queue = found->second;
    while (const FairQueue::Entry *entry = queue.next()) {
        const WaitingPart next = entry->part;
        Exchange *exchange = this->find(next.exchange);
        if (exchange == nullptr) {
            queue.remove(next, context.now);
            continue;
        }
        if (exchange->parts[next.part].phase != PartPhase::Waiting
            || exchange->parts[next.part].loanDeadline > context.now) {
            this->removeQueued(*exchange, next.part, context.now);
            continue;
        }
        if (this->dropUnpermitted(*exchange, context)) {
            continue;
        }
        if (context.now >= this->latestStart(*exchange)) {
            // The exchange's own timer ends it.
            this->removeQueued(*exchange, next.part, context.now);
            continue;
        }
        Part &part = exchange->parts[next.part];
        const TargetChoice choice = this->targets.choose(group, termsFor(*exchange, part, false),
                                                         context.now, context.random);
        if (choice.target == nullptr) {
            break;
        }
        queue.takeNext(context.now);
        part.isQueued = false;
        this->sendTo(*exchange, next.part, *choice.target,
                     part.arrivedAttempts > 0 ? TraceKind::Retry : TraceKind::Send, context);
        this->advance(next.exchange, context);
    }
    this->abandonLate(group, context);
}

} // namespace lagoondeck
