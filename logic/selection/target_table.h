#pragma once

#include "core/ids.h"
#include "core/instance_list.h"
#include "logic/events.h"
#include "logic/policy.h"
#include "logic/selection/shard_key.h"
#include "logic/selection/snapshot_choice.h"
#include "logic/selection/target_state.h"

#include <cstdint>
#include <map>
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

/// How a sub-request left its target; feeds the choice of replicas.
enum class SubRequestEnd {
    Answered,
    Refused, ///< Proved not run.
    Failed,
    Cancelled,
    Lost,
};

/// The targets of the cell: what is known of them, this instance's connections to them, and the
/// choice among replicas.
class TargetTable
{
public:
    TargetTable(Policy policy, std::uint32_t expectedInstances);

    // Signs of the targets' state.

    void start(Context &context);
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

    // Sub-requests.

    /// Takes a replica of the shard that serves the snapshot, none of the excluded ones.
    std::optional<Reservation> reserve(const ShardKey &key, SnapshotVersion snapshot,
                                       std::span<const TargetId> excluded, Context &context);
    /// Gives a reservation back after its reply came; the connection is idle again.
    void release(const Reservation &reservation, SubRequestEnd end, Duration latency,
                 Context &context);
    /// An idle connection of the target for a cancellation, marked as in use.
    std::optional<ConnectionId> takeForCancel(const TargetId &target);

    // Questions.

    /// The index version that new queries of a service read.
    std::optional<SnapshotAnnouncement> snapshotFor(const ServiceName &service) const;
    /// Some usable target of the shard, not excluded, serves the snapshot.
    bool hasReplica(const ShardKey &key, SnapshotVersion snapshot,
                    std::span<const TargetId> excluded) const;
    /// Some usable target holds the shard, whatever snapshots it serves.
    bool hasUsable(const ShardKey &key) const;
    /// Some listed target of the shard, not excluded, is out of reach for a moment only.
    bool mayReturn(const ShardKey &key, std::span<const TargetId> excluded) const;
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
    void openMissing(TargetState &state, Context &context);
    void probeSilent(TargetState &state, Context &context);
    /// Puts a connection back to idle, or closes it when it is not wanted any more.
    void settle(TargetState &state, ConnectionId connection, Context &context);
    void closeIdle(TargetState &state, Context &context);
    void dropIfDone(const TargetId &target);
    void recomputeSnapshot(const ServiceName &service, Context &context);

    Policy policy;
    std::uint32_t expectedInstances;
    bool closing = false;
    std::unordered_map<TargetId, std::unique_ptr<TargetState>> targets;
    ShardMap shards;
    std::map<ServiceName, SnapshotAnnouncement> snapshots;
};

} // namespace lagoondeck
