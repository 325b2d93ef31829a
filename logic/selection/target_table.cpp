#include "logic/selection/target_table.h"

#include "logic/context.h"
#include "logic/invariant.h"
#include "logic/limits/connection_share.h"

#include <random>
#include <set>

namespace lagoondeck {

namespace {

constexpr Duration maintenanceInterval = std::chrono::milliseconds(100);
/// A target that told nothing for this long is asked.
constexpr Duration reportAge = std::chrono::milliseconds(500);
constexpr Duration firstConnectBackoff = std::chrono::milliseconds(50);
constexpr Duration longestConnectBackoff = std::chrono::seconds(2);
constexpr std::uint32_t mostBackoffDoublings = 6;
/// A target that failed to accept so many connections in a row is not expected back at once.
constexpr std::uint32_t fewestFailuresForLost = 2;

/// Exponential with jitter, so that instances don't return to a target together.
Duration connectBackoff(std::uint32_t failures, RandomEngine &random)
{
    const std::uint32_t doublings = std::min(failures, mostBackoffDoublings);
    const Duration ceiling =
            std::min(longestConnectBackoff, firstConnectBackoff * (1 << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(ceiling.count() / 2, ceiling.count());
    return Duration(jitter(random));
}

} // namespace

TargetTable::TargetTable(Policy policy, std::uint32_t expectedInstances)
    : policy(policy), expectedInstances(expectedInstances)
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
        if (this->find(info.id) == nullptr) {
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
    this->shards[{info.service, info.shard}].push_back(state.get());
    this->openMissing(*state, context);
    this->targets.emplace(info.id, std::move(state));
    context.log(LogEvent::TargetSeen, {{"target", info.id.value}, {"address", info.address}});
}

void TargetTable::removeUnlisted(const InstanceList &list, Context &context)
{
    std::set<TargetId> listed;
    for (const TargetInstance &info : list.targets) {
        listed.insert(info.id);
    }
    std::vector<TargetId> unlisted;
    for (const auto &[id, state] : this->targets) {
        if (!listed.contains(id) && !state->gone) {
            unlisted.push_back(id);
        }
    }
    for (const TargetId &id : unlisted) {
        TargetState &state = *this->find(id);
        state.gone = true;
        context.log(LogEvent::TargetGone, {{"target", id.value}});
        this->recomputeSnapshot(state.info.service, context);
        this->closeIdle(state, context);
        this->dropIfDone(id);
    }
}

void TargetTable::dropIfDone(const TargetId &target)
{
    const TargetState *state = this->find(target);
    if (state == nullptr || !state->gone || !state->connections.empty()) {
        return;
    }
    const ShardKey key {state->info.service, state->info.shard};
    auto &replicas = this->shards[key];
    std::erase(replicas, state);
    if (replicas.empty()) {
        this->shards.erase(key);
    }
    this->targets.erase(target);
}

void TargetTable::openMissing(TargetState &state, Context &context)
{
    if (this->closing || state.leaving || state.gone || context.now < state.retryConnectAt) {
        return;
    }
    const std::uint32_t share =
            connectionShare(state.info.connectionCap, state.info.slots, this->expectedInstances);
    while (state.connections.size() < share) {
        const auto id = context.ids.next<ConnectionId>();
        state.connections.push_back({id, ConnectionUse::Opening});
        context.emit(OpenConnection {id, state.info.id, state.info.address});
    }
}

void TargetTable::closeIdle(TargetState &state, Context &context)
{
    std::erase_if(state.connections, [&](const TargetConnection &connection) {
        if (connection.use != ConnectionUse::Idle) {
            return false;
        }
        context.emit(CloseConnection {connection.id, state.info.id});
        return true;
    });
}

void TargetTable::settle(TargetState &state, ConnectionId id, Context &context)
{
    if (TargetConnection *connection = state.connection(id)) {
        connection->use = ConnectionUse::Idle;
    }
    if (this->closing || state.gone) {
        const TargetId target = state.info.id;
        this->closeIdle(state, context);
        this->dropIfDone(target);
    }
}

void TargetTable::onConnectionOpened(const ConnectionOpened &event, Context &context)
{
    TargetState *state = this->find(event.target);
    if (state == nullptr || state->connection(event.connection) == nullptr) {
        context.emit(CloseConnection {event.connection, event.target});
        return;
    }
    state->connectFailures = 0;
    if (event.report) {
        this->onReport(event.target, *event.report, context);
    }
    this->settle(*state, event.connection, context);
}

void TargetTable::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    TargetState *state = this->find(event.target);
    if (state == nullptr) {
        return;
    }
    const TargetConnection *connection = state->connection(event.connection);
    if (connection != nullptr && connection->use == ConnectionUse::Carrying) {
        --state->inFlight;
    }
    std::erase_if(state->connections, [&](const TargetConnection &candidate) {
        return candidate.id == event.connection;
    });
    if (event.end == ConnectionEnd::RefusedAtCap || event.end == ConnectionEnd::ConnectFailed) {
        state->retryConnectAt =
                context.now + connectBackoff(state->connectFailures, context.random);
        ++state->connectFailures;
    }
    if (event.end == ConnectionEnd::RefusedAtCap) {
        context.log(LogEvent::ConnectionRefused, {{"target", event.target.value}});
    }
    if (state->connections.empty() && state->reportedAt) {
        // Nothing is known of a target that no connection reaches.
        state->reportedAt.reset();
        this->recomputeSnapshot(state->info.service, context);
    }
    this->openMissing(*state, context);
    this->dropIfDone(event.target);
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
    this->settle(*state, event.connection, context);
}

void TargetTable::onCancelConfirmed(const CancelConfirmed &event, Context &context)
{
    if (TargetState *state = this->find(event.target)) {
        this->settle(*state, event.connection, context);
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
        this->recomputeSnapshot(state->info.service, context);
    }
}

void TargetTable::markLeaving(const TargetId &target, Context &context)
{
    TargetState *state = this->find(target);
    if (state == nullptr || state->leaving) {
        return;
    }
    state->leaving = true;
    context.log(LogEvent::TargetLeaving, {{"target", target.value}});
    this->recomputeSnapshot(state->info.service, context);
}

void TargetTable::onTimer(Context &context)
{
    for (auto &[id, state] : this->targets) {
        this->openMissing(*state, context);
        this->probeSilent(*state, context);
    }
    this->start(context);
}

void TargetTable::probeSilent(TargetState &state, Context &context)
{
    if (this->closing || state.gone || !state.reportedAt
        || context.now - *state.reportedAt < reportAge) {
        return;
    }
    const bool probing = std::ranges::any_of(state.connections, [](const auto &connection) {
        return connection.use == ConnectionUse::Probing;
    });
    TargetConnection *idle = state.idleConnection();
    if (probing || idle == nullptr) {
        return;
    }
    idle->use = ConnectionUse::Probing;
    context.emit(ProbeTarget {idle->id, state.info.id});
}

std::optional<Reservation> TargetTable::reserve(const ShardKey &key, SnapshotVersion snapshot,
                                                std::span<const TargetId> excluded,
                                                Context &context)
{
    const auto found = this->shards.find(key);
    if (found == this->shards.end()) {
        return std::nullopt;
    }
    std::vector<TargetState *> candidates;
    for (TargetState *state : found->second) {
        const bool skip = std::ranges::find(excluded, state->info.id) != excluded.end();
        if (!skip && state->usable() && state->serves(snapshot) && state->idleConnection()) {
            candidates.push_back(state);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    TargetState &chosen = *candidates[pick(context.random)];
    ensure(!chosen.leaving && !chosen.gone, Invariant::NoWorkToLeaving);
    TargetConnection &connection = *chosen.idleConnection();
    connection.use = ConnectionUse::Carrying;
    ++chosen.inFlight;
    return Reservation {chosen.info.id, connection.id};
}

void TargetTable::release(const Reservation &reservation, SubRequestEnd, Duration, Context &context)
{
    TargetState *state = this->find(reservation.target);
    if (state == nullptr) {
        return;
    }
    const TargetConnection *connection = state->connection(reservation.connection);
    if (connection == nullptr || connection->use != ConnectionUse::Carrying) {
        return;
    }
    --state->inFlight;
    this->settle(*state, reservation.connection, context);
}

std::optional<ConnectionId> TargetTable::takeForCancel(const TargetId &target)
{
    TargetState *state = this->find(target);
    TargetConnection *idle = state == nullptr ? nullptr : state->idleConnection();
    if (idle == nullptr) {
        return std::nullopt;
    }
    idle->use = ConnectionUse::Probing;
    return idle->id;
}

std::optional<SnapshotAnnouncement> TargetTable::snapshotFor(const ServiceName &service) const
{
    const auto found = this->snapshots.find(service);
    return found == this->snapshots.end() ? std::nullopt : std::optional(found->second);
}

void TargetTable::recomputeSnapshot(const ServiceName &service, Context &context)
{
    const auto chosen = chooseSnapshot(this->shards, service);
    if (chosen == this->snapshotFor(service)) {
        return;
    }
    if (!chosen) {
        this->snapshots.erase(service);
        return;
    }
    this->snapshots[service] = *chosen;
    context.log(LogEvent::SnapshotAdopted,
                {{"service", service.value},
                 {"version", std::to_string(chosen->version.value)},
                 {"shards", std::to_string(chosen->shardCount)}});
}

bool TargetTable::hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                             std::span<const TargetId> excluded) const
{
    const auto found = this->shards.find(key);
    return found != this->shards.end()
            && std::ranges::any_of(found->second, [&](const TargetState *state) {
                   return state->usable() && state->serves(snapshot)
                           && std::ranges::find(excluded, state->info.id) == excluded.end();
               });
}

bool TargetTable::hasUsable(const ShardKey &key) const
{
    const auto found = this->shards.find(key);
    return found != this->shards.end() && std::ranges::any_of(found->second, &TargetState::usable);
}

bool TargetTable::mayReturn(const ShardKey &key, std::span<const TargetId> excluded) const
{
    const auto found = this->shards.find(key);
    return found != this->shards.end()
            && std::ranges::any_of(found->second, [&](const TargetState *state) {
                   return !state->leaving && !state->gone && !state->reportedAt
                           && state->connectFailures < fewestFailuresForLost
                           && std::ranges::find(excluded, state->info.id) == excluded.end();
               });
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
    this->closing = true;
    for (auto &[id, state] : this->targets) {
        this->closeIdle(*state, context);
    }
}

} // namespace lagoondeck
