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
    /// How long the caller waits; zero takes the entry's deadline.
    Duration budget {};
    /// False: it must run at most once, and runs on one shard.
    bool idempotent = true;
    /// The caller's own minimum, 0 to 1; empty takes the entry's.
    std::optional<double> minimumCoverage;
    /// Runs on this shard only; a request that is not idempotent must name one.
    std::optional<ShardId> shard;
    /// When the caller made the request id; a request that is not idempotent must tell it.
    std::optional<WallTime> issuedAt;
    std::shared_ptr<const std::string> body;
};

/// The caller of a query closed its connection.
struct CallerGone
{
    QueryId query;
};

/// What a target's reply proves about its sub-request.
enum class ReplyKind {
    Answered,
    Shed,               ///< Not run: the target is overloaded.
    Draining,           ///< Not run: the target is leaving.
    SnapshotRetired,    ///< Not run: the target does not serve the snapshot.
    CancelledBeforeRun, ///< Not run: the cancellation came in time.
    ExpiredBeforeRun,   ///< Not run: the deadline passed in the target's queue.
    CancelledWhileRunning,
    Failed, ///< It ran, and failed.
};

/// A target replied to a sub-request; its connection is idle again.
struct TargetReplied
{
    AttemptId attempt;
    ConnectionId connection;
    ReplyKind kind = ReplyKind::Failed;
    /// The snapshot the reply was made from.
    SnapshotVersion snapshot;
    std::uint64_t documents = 0;
    std::vector<Hit> hits;
    /// How long the target says it took, its own queue included.
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
    RefusedAtCap,  ///< The target did not accept it: its cap is reached.
    ConnectFailed, ///< The target could not be reached.
    ClosedByUs,
    Lost, ///< The target closed it, or it broke.
};

/// A connection ended. When it carried an attempt, sent tells whether any byte of it left.
struct ConnectionClosed
{
    ConnectionId connection;
    TargetId target;
    ConnectionEnd end = ConnectionEnd::Lost;
    std::optional<AttemptId> attempt;
    bool sent = false;
};

/// A target answered a health check on one of our connections, which is idle again.
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

/// A timer's instant came.
struct TimerFired
{
    Timer timer;
};

/// The platform's list of instances was read.
struct InstancesListed
{
    InstanceList list;
};

/// A message of another entry instance arrived; its sender proved that it is a member.
struct PeerMessageReceived
{
    std::shared_ptr<const proto::PeerMessage> message;
};

/// An operation on the key-value service ended, or a watch has news (status Ok, values set).
struct StoreReplied
{
    StoreOpId operation;
    StoreStatus status = StoreStatus::Unavailable;
    /// For a transaction: all compares held.
    bool succeeded = false;
    std::vector<StoreKeyValue> values;
    /// Keys that a watch saw deleted.
    std::vector<std::string> deletedKeys;
    std::int64_t lease = 0;
    /// The store's revision at the reply.
    std::uint64_t storeRevision = 0;
};

/// The operator or the platform asked this process to stop.
struct StopRequested
{
};

/// The process began; sets the first timers.
struct ProcessStarted
{
};

using EventBody =
        std::variant<ProcessStarted, CallerRequest, CallerGone, TargetReplied, ConnectionOpened,
                     ConnectionClosed, TargetHealth, CancelConfirmed, TimerFired, InstancesListed,
                     PeerMessageReceived, StoreReplied, StopRequested>;

/// One thing that happened, with the times at which this process learned of it.
struct Event
{
    Instant at {};
    WallTime wall {};
    EventBody body;
};

} // namespace lagoondeck
