#pragma once

#include "core/ids.h"
#include "core/instance_list.h"
#include "logic/events.h"
#include "logic/policy.h"
#include "logic/selection/connection_keeper.h"
#include "logic/selection/shard_index.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/sub_request_end.h"
#include "logic/selection/target_state.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

struct Context;

/// A target and an idle connection to it, taken for one sub-request.
struct Reservation
{
    TargetId target;
    ConnectionId connection;
};

/// The targets of the cell: what is known of them, this instance's connections to them, and the
/// choice among replicas.
class TargetTable
{
public:
    TargetTable(Policy policy, std::uint32_t expectedInstances);

    // Signs of the targets' state.

    void start(Context &context);
    /// How many entry instances the membership view has, this one included.
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
    /// Any sign that a target is leaving: no new work from now on.
    void markLeaving(const TargetId &target, Context &context);
    /// Opens missing connections and asks silent targets for their report.
    void onTimer(Context &context);
    /// TimerKind::QueueCheck: some target that refused work may be asked again; what waits is to be
    /// sent after this.
    void onQueueCheck(Context &context);

    // Sub-requests.

    /// Takes a replica of the shard that serves the snapshot, none of the excluded ones.
    std::optional<Reservation> reserve(const ShardKey &key, SnapshotVersion snapshot,
                                       std::span<const TargetId> excluded, Context &context);
    /// Takes a replica on probation that is due for a probe. The probe is a second attempt beside
    /// one at another replica, so that no caller waits for it.
    std::optional<Reservation> reserveProbe(const ShardKey &key, SnapshotVersion snapshot,
                                            std::span<const TargetId> excluded, Context &context);
    /// Gives a reservation back after its reply came; the connection is idle again.
    void release(const Reservation &reservation, SubRequestEnd end, Duration latency,
                 Context &context);
    /// An idle connection of the target for a cancellation, marked as in use.
    std::optional<ConnectionId> takeForCancel(const TargetId &target);

    // Questions.

    /// The index version that new queries of a service read.
    std::optional<SnapshotAnnouncement> snapshotFor(const ServiceName &service) const
    {
        return this->shards.snapshotFor(service);
    }
    /// Some usable target of the shard, not excluded, serves the snapshot.
    bool hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                    std::span<const TargetId> excluded) const
    {
        return this->shards.hasReplica(key, snapshot, excluded);
    }
    /// Some usable target holds the shard, whatever snapshots it serves.
    bool hasUsable(const ShardKey &key) const { return this->shards.hasUsable(key); }
    /// Some listed target of the shard, not excluded, is out of reach for a moment only.
    bool mayReturn(const ShardKey &key, std::span<const TargetId> excluded) const
    {
        return this->shards.mayReturn(key, excluded);
    }
    /// The shard that a target serves; nullopt when it is unknown.
    std::optional<ShardKey> shardOf(const TargetId &target) const;
    std::size_t size() const { return this->targets.size(); }
    std::size_t connectionCount() const;
    std::size_t leavingCount() const;
    /// Closes every idle connection, and each other one when it becomes idle.
    void closeAll(Context &context);

private:
    TargetState *find(const TargetId &target);
    void addTarget(const TargetInstance &info, Context &context);
    void removeUnlisted(const InstanceList &list, Context &context);
    void updateTarget(TargetState &state, const TargetInstance &info, Context &context);
    void markGone(TargetState &state, Context &context);
    /// A target that was leaving has ended, and another process answers under its name.
    void takeReplacement(TargetState &state, Context &context);
    void settle(TargetState &state, ConnectionId connection, Context &context);
    /// A target on probation that takes an ordinary attempt in place of a probe that never went.
    TargetState *dueForAttempt(std::span<TargetState *const> candidates, Instant now) const;
    /// It can carry one more sub-request now.
    bool isFree(TargetState &state, Instant now) const;
    Reservation take(TargetState &state, Instant now);
    void learn(TargetState &state, SubRequestEnd end, Duration latency,
               std::uint32_t inFlightBefore, Context &context);
    void dropIfDone(const TargetId &target);
    void wakeAt(Instant at, Context &context);

    Policy policy;
    ConnectionKeeper connections;
    std::unordered_map<TargetId, std::unique_ptr<TargetState>> targets;
    ShardIndex shards;
    /// When the next target has rested; empty when none rests.
    std::optional<Instant> wake;
};

} // namespace lagoondeck
