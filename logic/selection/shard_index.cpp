#include "logic/selection/shard_index.h"

#include "logic/context.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// After this many consecutive connection failures a target is no longer considered briefly
/// unreachable.
constexpr std::uint32_t failuresUntilUnreachable = 2;

bool isExcluded(std::span<const TargetId> excluded, const TargetState &state)
{
    return std::ranges::find(excluded, state.info.id) != excluded.end();
}

} // namespace

void ShardIndex::add(TargetState &state)
{
    this->shards[{state.info.service, state.info.shard}].push_back(&state);
}

void ShardIndex::remove(const TargetState &state)
{
    const auto found = this->shards.find({state.info.service, state.info.shard});
    if (found == this->shards.end()) {
        return;
    }
    std::erase(found->second, &state);
    if (found->second.empty()) {
        this->shards.erase(found);
    }
}

void ShardIndex::recomputeSnapshot(const ServiceName &service, Context &context)
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

std::span<TargetState *const> ShardIndex::replicas(const ShardKey &key) const
{
    const auto found = this->shards.find(key);
    return found == this->shards.end() ? std::span<TargetState *const>() : found->second;
}

std::vector<TargetState *> ShardIndex::servingReplicas(const ShardKey &key,
                                                       SnapshotVersion snapshot,
                                                       std::span<const TargetId> excluded) const
{
    std::vector<TargetState *> servingReplicas;
    for (TargetState *state : this->replicas(key)) {
        if (!isExcluded(excluded, *state) && state->isUsable() && state->serves(snapshot)) {
            servingReplicas.push_back(state);
        }
    }
    return servingReplicas;
}

std::optional<SnapshotAnnouncement> ShardIndex::snapshotFor(const ServiceName &service) const
{
    const auto found = this->snapshots.find(service);
    return found == this->snapshots.end() ? std::nullopt : std::optional(found->second);
}

bool ShardIndex::hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                            std::span<const TargetId> excluded) const
{
    return std::ranges::any_of(this->replicas(key), [&](const TargetState *state) {
        return state->isUsable() && state->serves(snapshot) && !isExcluded(excluded, *state);
    });
}

bool ShardIndex::hasUsableReplica(const ShardKey &key) const
{
    return std::ranges::any_of(this->replicas(key), &TargetState::isUsable);
}

bool ShardIndex::hasRecoveringReplica(const ShardKey &key, std::span<const TargetId> excluded) const
{
    return std::ranges::any_of(this->replicas(key), [&](const TargetState *state) {
        return !state->leaving && !state->removed && !state->reportedAt
                && state->connectFailures < failuresUntilUnreachable
                && !isExcluded(excluded, *state);
    });
}

} // namespace lagoondeck
