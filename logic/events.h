#pragma once

#include "core/answer.h"
#include "core/ids.h"
#include "core/instance_list.h"
#include "core/time.h"
#include "logic/store_operation.h"
#include "logic/target_report.h"
#include "logic/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

namespace proto {
class PeerMessage;
}

/// A caller's query arrived at this instance.
struct CallerRequest
{
    QueryId query;
    EntryName entry;
    CallerName caller;
    RequestId requestId;
    /// How long the caller waits. Zero means the entry's deadline.
    Duration timeLimit {};
    /// When false, the request must run at most once and runs on a single shard.
    bool idempotent = true;
    /// The caller's minimum coverage, 0 to 1. When empty, the entry's minimum applies.
    std::optional<double> minimumCoverage;
    /// The only shard to run on. Required when the request is not idempotent.
    std::optional<ShardId> shard;
    /// When the caller created the request id. Required when the request is not idempotent.
    std::optional<WallTime> issuedAt;
    std::shared_ptr<const std::string> body;
};

/// The caller of a query closed its connection.
struct CallerGone
{
    QueryId query;
};

/// The outcome of a sub-request, as its target's reply states it.
enum class ReplyKind {
    Answered,
    Shed,               ///< Not run: the target is overloaded.
    Draining,           ///< Not run: the target is leaving.
    SnapshotRetired,    ///< Not run: the target does not serve the snapshot.
    CancelledBeforeRun, ///< Not run: the cancellation arrived before execution.
    ExpiredBeforeRun,   ///< Not run: the deadline passed in the target's queue.
    CancelledWhileRunning,
    Failed, ///< It ran and failed.
};

/// A target replied to a sub-request; its connection is idle again.
struct TargetReplied
{
    AttemptId attempt;
    ConnectionId connection;
    ReplyKind kind = ReplyKind::Failed;
    /// The snapshot that the reply was computed from.
    SnapshotVersion snapshot;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;
    /// The time that the target reports for the sub-request, including the wait in its queue.
    Duration serviceTime {};
    std::optional<TargetReport> report;
};

/// A connection was accepted by its target and is idle.
struct ConnectionOpened
{
    ConnectionId connection;
    TargetId target;
    std::optional<TargetReport> report;
};

/// Why a connection ended.
enum class ConnectionEnd {
    RefusedAtCap,  ///< The target refused it because its connection cap is reached.
    ConnectFailed, ///< The target could not be reached.
    ClosedByUs,
    Lost, ///< The target closed it, or it broke.
};

/// A connection ended. When it carried an attempt, `sent` says whether any byte of it was sent.
struct ConnectionClosed
{
    ConnectionId connection;
    TargetId target;
    ConnectionEnd end = ConnectionEnd::Lost;
    std::optional<AttemptId> attempt;
    bool sent = false;
};

/// A target answered a health check; the connection that carried it is idle again.
struct TargetHealth
{
    ConnectionId connection;
    TargetId target;
    std::optional<TargetReport> report;
};

/// A target confirmed a cancellation; the connection that carried it is idle again.
struct CancelConfirmed
{
    ConnectionId connection;
    TargetId target;
};

/// A timer expired.
struct TimerFired
{
    Timer timer;
};

/// A new reading of the platform's instance list is available.
struct InstancesListed
{
    InstanceList list;
};

/// A message from another entry instance arrived. Its sender is authenticated as a member.
struct PeerMessageReceived
{
    std::shared_ptr<const proto::PeerMessage> message;
};

/// An operation on the key-value service ended, or a watch reports changes (status Ok, values set).
struct StoreReplied
{
    StoreOpId operation;
    StoreStatus status = StoreStatus::Unavailable;
    /// For a transaction: whether all comparisons succeeded.
    bool succeeded = false;
    std::vector<StoreKeyValue> values;
    /// Keys whose deletion a watch reports.
    std::vector<std::string> deletedKeys;
    std::int64_t lease = 0;
    /// The store's revision at the time of the reply.
    std::uint64_t storeRevision = 0;
};

/// The operator or the platform asked this process to stop.
struct StopRequested
{
};

/// The process started. The reducer sets its first timers.
struct ProcessStarted
{
};

using EventBody =
        std::variant<ProcessStarted, CallerRequest, CallerGone, TargetReplied, ConnectionOpened,
                     ConnectionClosed, TargetHealth, CancelConfirmed, TimerFired, InstancesListed,
                     PeerMessageReceived, StoreReplied, StopRequested>;

/// An input of the reducer, with the monotonic and wall clock times at which this process
/// received it.
struct Event
{
    Instant at {};
    WallTime wall {};
    EventBody body;
};

} // namespace lagoondeck
