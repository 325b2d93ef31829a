#include "logic/selection/target_table.h"

#include "logic/context.h"
#include "logic/invariant.h"
#include "logic/selection/replica_choice.h"

#include <random>
#include <set>

namespace lagoondeck {

namespace {

constexpr Duration maintenanceInterval = std::chrono::milliseconds(100);
/// A target whose last report is older than this gets no new work: it may be leaving without this
/// instance having been informed. It is asked for a report before that.
constexpr Duration maxUsableReportAge = std::chrono::milliseconds(1500);

} // namespace

TargetTable::TargetTable(Policy policy, std::uint32_t expectedInstances)
    : policy(policy), connections(expectedInstances)
{ }

void TargetTable::start(Context &context)
{
    context.emit(SetTimer {{TimerKind::TargetMaintenance, 0}, context.now + maintenanceInterval});
}

TargetState *TargetTable::find(const TargetId &target)
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : found->second.get();
}

void TargetTable::onInstances(const InstanceList &list, Context &context)
{
    for (const TargetInstance &info : list.targets) {
        if (TargetState *state = this->find(info.id)) {
            this->updateTarget(*state, info, context);
        } else {
            this->addTarget(info, context);
        }
        if (info.state == InstanceState::Leaving) {
            this->markLeaving(info.id, context);
        }
    }
    this->removeUnlisted(list, context);
}

void TargetTable::addTarget(const TargetInstance &info, Context &context)
{
    auto state = std::make_unique<TargetState>();
    state->info = info;
    this->shards.add(*state);
    state->ramp.restart(context.now);
    this->connections.adjustToShare(*state, context);
    this->targets.emplace(info.id, std::move(state));
    context.log(LogEvent::TargetSeen, {{"target", info.id.value}, {"address", info.address}});
}

void TargetTable::updateTarget(TargetState &state, const TargetInstance &info, Context &context)
{
    if (state.info.address != info.address || state.info.service != info.service
        || state.info.shard != info.shard) {
        // It is another process under the same name. The old target is removed first, and the new
        // one is added with a later instance list.
        this->markRemoved(state, context);
        return;
    }
    state.info = info;
}

void TargetTable::markRemoved(TargetState &state, Context &context)
{
    if (state.removed) {
        return;
    }
    const TargetId id = state.info.id;
    state.removed = true;
    context.log(LogEvent::TargetGone, {{"target", id.value}});
    this->shards.recomputeSnapshot(state.info.service, context);
    this->connections.closeIdle(state, context);
    this->eraseIfDisconnected(id);
}

void TargetTable::removeUnlisted(const InstanceList &list, Context &context)
{
    std::set<TargetId> listed;
    for (const TargetInstance &info : list.targets) {
        listed.insert(info.id);
    }
    std::vector<TargetId> unlisted;
    for (const auto &[id, state] : this->targets) {
        if (!listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const TargetId &id : unlisted) {
        this->markRemoved(*this->find(id), context);
    }
}

void TargetTable::eraseIfDisconnected(const TargetId &target)
{
    const TargetState *state = this->find(target);
    if (state == nullptr || !state->removed || !state->connections.empty()) {
        return;
    }
    this->shards.remove(*state);
    this->targets.erase(target);
}

void TargetTable::returnConnection(TargetState &state, ConnectionId connection, Context &context)
{
    const TargetId target = state.info.id;
    this->connections.returnToIdle(state, connection, context);
    this->eraseIfDisconnected(target);
}

void TargetTable::onConnectionOpened(const ConnectionOpened &event, Context &context)
{
    TargetState *state = this->find(event.target);
    if (state == nullptr || state->findConnection(event.connection) == nullptr) {
        context.emit(CloseConnection {event.connection, event.target});
        return;
    }
    state->connectFailures = 0;
    if (state->leaving && event.report && !event.report->leaving) {
        this->resetForReplacement(*state, context);
    }
    if (event.report) {
        this->onReport(event.target, *event.report, context);
    }
    this->returnConnection(*state, event.connection, context);
}

void TargetTable::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    TargetState *state = this->find(event.target);
    if (state == nullptr) {
        return;
    }
    this->connections.onClosed(*state, event, context);
    if (state->connections.empty() && state->reportedAt) {
        // Without a connection the target's state is unknown.
        state->reportedAt.reset();
        this->shards.recomputeSnapshot(state->info.service, context);
    }
    this->connections.adjustToShare(*state, context);
    this->eraseIfDisconnected(event.target);
}

void TargetTable::resetForReplacement(TargetState &state, Context &context)
{
    if (!state.endedSinceLeaving || state.info.state == InstanceState::Leaving) {
        return;
    }
    // The leaving process has ended, and a new one answers under its name.
    state.leaving = false;
    state.endedSinceLeaving = false;
    state.latency = LatencyEstimate();
    state.probation = Probation();
    state.limit = InFlightLimit();
    state.ramp.restart(context.now);
    context.log(LogEvent::TargetSeen,
                {{"target", state.info.id.value}, {"address", state.info.address}});
    this->shards.recomputeSnapshot(state.info.service, context);
}

void TargetTable::onHealth(const TargetHealth &event, Context &context)
{
    TargetState *state = this->find(event.target);
    if (state == nullptr) {
        return;
    }
    if (event.report) {
        this->onReport(event.target, *event.report, context);
    }
    this->returnConnection(*state, event.connection, context);
}

void TargetTable::onCancelConfirmed(const CancelConfirmed &event, Context &context)
{
    if (TargetState *state = this->find(event.target)) {
        this->returnConnection(*state, event.connection, context);
    }
}

void TargetTable::onReport(const TargetId &target, const TargetReport &report, Context &context)
{
    TargetState *state = this->find(target);
    if (state == nullptr) {
        return;
    }
    const bool changed = !state->reportedAt || state->report.snapshots != report.snapshots;
    state->report = report;
    state->reportedAt = context.now;
    if (report.leaving) {
        this->markLeaving(target, context);
    }
    if (changed) {
        this->shards.recomputeSnapshot(state->info.service, context);
    }
}

void TargetTable::markLeaving(const TargetId &target, Context &context)
{
    TargetState *state = this->find(target);
    if (state == nullptr || state->leaving) {
        return;
    }
    state->leaving = true;
    state->endedSinceLeaving = false;
    context.log(LogEvent::TargetLeaving, {{"target", target.value}});
    this->shards.recomputeSnapshot(state->info.service, context);
}

void TargetTable::onTimer(Context &context)
{
    for (auto &[id, state] : this->targets) {
        this->connections.adjustToShare(*state, context);
        this->connections.probeIfSilent(*state, context);
    }
    this->start(context);
}

std::optional<Reservation> TargetTable::reserve(const ShardKey &key, SnapshotVersion snapshot,
                                                std::span<const TargetId> excluded,
                                                Context &context)
{
    std::vector<TargetState *> candidates = this->shards.servingReplicas(key, snapshot, excluded);
    if (this->policy.informedSelection) {
        if (TargetState *due = this->findDueForAttempt(candidates, context.now)) {
            due->probation.onProbeSent(context.now, context.random);
            return this->reserveConnection(*due, context.now);
        }
        removeTargetsOnProbation(candidates);
    }
    std::erase_if(candidates,
                  [&](TargetState *state) { return !this->canSendTo(*state, context.now); });
    if (candidates.empty()) {
        return std::nullopt;
    }
    return this->reserveConnection(this->policy.informedSelection
                                           ? chooseReplica(candidates, context.now, context.random)
                                           : chooseAtRandom(candidates, context.random),
                                   context.now);
}

TargetState *TargetTable::findDueForAttempt(std::span<TargetState *const> candidates,
                                            Instant now) const
{
    const auto due = std::ranges::find_if(candidates, [&](TargetState *state) {
        return state->probation.isAttemptDue(now) && state->inFlight == 0
                && this->canSendTo(*state, now);
    });
    return due == candidates.end() ? nullptr : *due;
}

bool TargetTable::canSendTo(TargetState &state, Instant now) const
{
    const bool silent = !state.reportedAt || now - *state.reportedAt > maxUsableReportAge;
    return !silent && state.findIdleConnection() != nullptr
            && (!this->policy.adaptiveLimits || state.limit.allows(state.inFlight, now));
}

std::optional<Reservation> TargetTable::reserveProbe(const ShardKey &key, SnapshotVersion snapshot,
                                                     std::span<const TargetId> excluded,
                                                     Context &context)
{
    if (!this->policy.informedSelection) {
        return std::nullopt;
    }
    for (TargetState *state : this->shards.servingReplicas(key, snapshot, excluded)) {
        if (state->probation.isProbeDue(context.now) && state->inFlight == 0
            && this->canSendTo(*state, context.now)) {
            state->probation.onProbeSent(context.now, context.random);
            return this->reserveConnection(*state, context.now);
        }
    }
    return std::nullopt;
}

Reservation TargetTable::reserveConnection(TargetState &state, Instant now)
{
    ensure(!state.leaving && !state.removed, Invariant::NoWorkToLeaving,
           [&] { return state.info.id.value; });
    TargetConnection &connection = *state.findIdleConnection();
    connection.use = ConnectionUse::SubRequest;
    connection.subRequestSentAt = now;
    ++state.inFlight;
    return Reservation {state.info.id, connection.id};
}

void TargetTable::release(const Reservation &reservation, SubRequestOutcome outcome,
                          Duration latency, Context &context)
{
    TargetState *state = this->find(reservation.target);
    if (state == nullptr) {
        return;
    }
    const TargetConnection *connection = state->findConnection(reservation.connection);
    if (connection == nullptr || connection->use != ConnectionUse::SubRequest) {
        return;
    }
    const std::uint32_t inFlightBefore = state->inFlight;
    --state->inFlight;
    this->recordResult(*state, outcome, latency, inFlightBefore, context);
    this->returnConnection(*state, reservation.connection, context);
}

void TargetTable::scheduleQueueCheck(Instant at, Context &context)
{
    if (!this->nextQueueCheckAt || at < *this->nextQueueCheckAt) {
        this->nextQueueCheckAt = at;
        context.emit(SetTimer {{TimerKind::QueueCheck, 0}, at});
    }
}

void TargetTable::onQueueCheck(Context &context)
{
    this->nextQueueCheckAt.reset();
    for (const auto &[id, state] : this->targets) {
        if (state->limit.backoffEnd() > context.now) {
            this->scheduleQueueCheck(state->limit.backoffEnd(), context);
        }
    }
}

void TargetTable::recordResult(TargetState &state, SubRequestOutcome outcome, Duration latency,
                               std::uint32_t inFlightBefore, Context &context)
{
    if (outcome == SubRequestOutcome::Answered) {
        state.latency.add(latency, context.now);
        state.limit.onAnswered(state.latency.mean(), state.latency.lowestMean(),
                               inFlightBefore >= state.limit.value(),
                               this->connections.shareOf(state), context.now);
    } else if (outcome == SubRequestOutcome::Cancelled) {
        state.latency.addUnfinished(latency, context.now);
    } else if (outcome == SubRequestOutcome::Shed) {
        state.limit.onShed(state.latency.lowestMean(), state.info.slots, context.now,
                           context.random);
        this->scheduleQueueCheck(state.limit.backoffEnd(), context);
    }
    if (this->policy.informedSelection) {
        const auto replicas = this->shards.replicas({state.info.service, state.info.shard});
        updateProbation(replicas, state, {outcome, latency}, context);
    }
}

std::optional<ConnectionId> TargetTable::reserveForCancel(const TargetId &target)
{
    TargetState *state = this->find(target);
    TargetConnection *idle = state == nullptr ? nullptr : state->findIdleConnection();
    if (idle == nullptr) {
        return std::nullopt;
    }
    idle->use = ConnectionUse::Control;
    return idle->id;
}

std::optional<ShardKey> TargetTable::shardOf(const TargetId &target) const
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return std::nullopt;
    }
    return ShardKey {found->second->info.service, found->second->info.shard};
}

std::size_t TargetTable::connectionCount() const
{
    std::size_t count = 0;
    for (const auto &[id, state] : this->targets) {
        count += state->connections.size();
    }
    return count;
}

std::size_t TargetTable::leavingCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->targets, [](const auto &target) { return target.second->leaving; }));
}

void TargetTable::closeAll(Context &context)
{
    this->connections.stopOpening();
    for (auto &[id, state] : this->targets) {
        this->connections.closeIdle(*state, context);
    }
}

} // namespace lagoondeck
