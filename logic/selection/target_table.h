#pragma once

#include "core/ids.h"
#include "core/instance_list.h"
#include "logic/events.h"
#include "logic/policy.h"
#include "logic/selection/connection_manager.h"
#include "logic/selection/shard_index.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/sub_request_outcome.h"
#include "logic/selection/target_state.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

struct Context;

/// A target and a connection to it, reserved for one sub-request.
struct Reservation
{
    TargetId target;
    ConnectionId connection;
};

/// The targets of the cell: their known state, this instance's connections to them, and the choice
/// among replicas.
class TargetTable
{
public:
    TargetTable(Policy policy, std::uint32_t expectedInstances);

    // Events that change the targets' state.

    void start(Context &context);
    /// Sets the number of entry instances in the membership view, including this one.
    void setLiveInstances(std::uint32_t instances)
    {
        this->connections.setLiveInstances(instances);
    }
    void onInstances(const InstanceList &list, Context &context);
    void onConnectionOpened(const ConnectionOpened &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);
    void onHealth(const TargetHealth &event, Context &context);
    void onCancelConfirmed(const CancelConfirmed &event, Context &context);
    void onReport(const TargetId &target, const TargetReport &report, Context &context);
    /// Called at any sign that a target is leaving. It gets no new work from now on.
    void markLeaving(const TargetId &target, Context &context);
    /// Opens missing connections and requests a report from targets that have not sent one for a
    /// while.
    void onTimer(Context &context);
    /// Called for TimerKind::QueueCheck, when a target that refused work may get work again. The
    /// caller sends the waiting sub-requests after this.
    void onQueueCheck(Context &context);

    // Sub-requests.

    /// Reserves a replica of the shard that serves the snapshot and is not excluded. Returns
    /// nullopt when none is free.
    std::optional<Reservation> reserve(const ShardKey &key, SnapshotVersion snapshot,
                                       std::span<const TargetId> excluded, Context &context);
    /// Reserves a replica on probation that is due for a probe. The probe is a second attempt in
    /// parallel to one at another replica, so that no caller waits for it.
    std::optional<Reservation> reserveProbe(const ShardKey &key, SnapshotVersion snapshot,
                                            std::span<const TargetId> excluded, Context &context);
    /// Releases a reservation after its reply arrived. The connection is idle again.
    void release(const Reservation &reservation, SubRequestOutcome outcome, Duration latency,
                 Context &context);
    /// Reserves an idle connection to the target for a cancellation. Returns nullopt when there is
    /// none.
    std::optional<ConnectionId> reserveForCancel(const TargetId &target);

    // Lookups.

    /// Returns the snapshot (the version of the index) that new queries of a service read.
    std::optional<SnapshotAnnouncement> snapshotFor(const ServiceName &service) const
    {
        return this->shards.snapshotFor(service);
    }
    /// Returns whether a usable replica of the shard that is not excluded serves the snapshot.
    bool hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                    std::span<const TargetId> excluded) const
    {
        return this->shards.hasReplica(key, snapshot, excluded);
    }
    /// Returns whether a usable target holds the shard, whatever snapshots it serves.
    bool hasUsableReplica(const ShardKey &key) const { return this->shards.hasUsableReplica(key); }
    /// Returns whether a listed target of the shard that is not excluded is only briefly
    /// unreachable.
    bool hasRecoveringReplica(const ShardKey &key, std::span<const TargetId> excluded) const
    {
        return this->shards.hasRecoveringReplica(key, excluded);
    }
    /// Returns the shard that a target serves; nullopt when the target is unknown.
    std::optional<ShardKey> shardOf(const TargetId &target) const;
    std::size_t size() const { return this->targets.size(); }
    std::size_t connectionCount() const;
    std::size_t leavingCount() const;
    /// Closes every idle connection now, and each other connection when it becomes idle.
    void closeAll(Context &context);

private:
    TargetState *find(const TargetId &target);
    void addTarget(const TargetInstance &info, Context &context);
    void removeUnlisted(const InstanceList &list, Context &context);
    void updateTarget(TargetState &state, const TargetInstance &info, Context &context);
    void markRemoved(TargetState &state, Context &context);
    /// Resets the state of a leaving target when a new process has taken over its name.
    void resetForReplacement(TargetState &state, Context &context);
    void returnConnection(TargetState &state, ConnectionId connection, Context &context);
    /// Returns a target on probation that is due for an ordinary attempt in place of a probe;
    /// nullptr when there is none.
    TargetState *findDueForAttempt(std::span<TargetState *const> candidates, Instant now) const;
    /// Returns whether one more sub-request can be sent to the target now.
    bool canSendTo(TargetState &state, Instant now) const;
    Reservation reserveConnection(TargetState &state, Instant now);
    void recordResult(TargetState &state, SubRequestOutcome outcome, Duration latency,
                      std::uint32_t inFlightBefore, Context &context);
    void eraseIfDisconnected(const TargetId &target);
    void scheduleQueueCheck(Instant at, Context &context);

    Policy policy;
    ConnectionManager connections;
    std::unordered_map<TargetId, std::unique_ptr<TargetState>> targets;
    ShardIndex shards;
    /// When the next pause after a refusal ends; empty when no target is paused.
    std::optional<Instant> nextQueueCheckAt;
};

} // namespace lagoondeck
