#pragma once

#include "core/answer.h"
#include "core/ids.h"
#include "core/log_event.h"
#include "core/time.h"
#include "logic/store_operation.h"
#include "logic/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lagoondeck {

namespace proto {
class PeerMessage;
}

/// Send one sub-request over an idle connection.
struct SendSubRequest
{
    AttemptId attempt;
    ConnectionId connection;
    TargetId target;
    ServiceName service;
    ShardId shard;
    SnapshotVersion snapshot;
    RequestId requestId;
    CallerName caller;
    bool idempotent = true;
    /// The time that the target has to reply.
    Duration deadline {};
    std::shared_ptr<const std::string> body;
    QueryId query;
    /// No byte may be sent after this instant. The process may have been paused between the
    /// decision to send and the sending.
    Instant notAfter = Instant::max();
};

/// Ask a target to cancel an attempt; the reply still arrives over the attempt's connection.
struct CancelSubRequest
{
    AttemptId attempt;
    /// The connection that carries the attempt.
    ConnectionId connection;
    TargetId target;
    /// The idle connection over which the cancellation is sent. When empty, the attempt's
    /// connection is closed instead.
    std::optional<ConnectionId> cancelConnection;
};

/// Open a connection and check that the target accepts it.
struct OpenConnection
{
    ConnectionId connection;
    TargetId target;
    std::string address;
};

/// Request a health report from a target over an idle connection.
struct ProbeTarget
{
    ConnectionId connection;
    TargetId target;
};

/// Close an idle connection.
struct CloseConnection
{
    ConnectionId connection;
    TargetId target;
};

/// Answer a caller. Emitted exactly once for each CallerRequest.
struct AnswerCaller
{
    QueryId query;
    EntryName entry;
    std::string trafficClass;
    CallerName caller;
    Answer answer;
    /// Whether admission control accepted the query; otherwise it was refused before any work.
    bool admitted = false;
};

/// Send a message to another entry instance; it may be lost.
struct SendPeerMessage
{
    /// IP address and port.
    std::string address;
    std::shared_ptr<const proto::PeerMessage> message;
};

/// Start an operation on the key-value service.
struct StoreOperation
{
    StoreOpId operation;
    StoreRequest request;
    Duration timeout = std::chrono::milliseconds(500);
};

/// Cancel a watch.
struct StoreWatchEnd
{
    StoreOpId operation;
};

/// Schedule a timer. Replaces the previous schedule of the same timer.
struct SetTimer
{
    Timer timer;
    Instant at {};
};

/// A field of a log line.
struct LogField
{
    std::string name;
    std::string value;
    /// The value is written as a number, without quotes.
    bool isNumber = false;
};

/// Returns a log field that holds an integer.
inline LogField numberField(std::string name, std::int64_t value)
{
    return {std::move(name), std::to_string(value), true};
}

/// Write one event to the log.
struct WriteLog
{
    LogEvent event = LogEvent::Started;
    std::vector<LogField> fields;
};

/// The graceful stop is complete; the process may exit.
struct StopCompleted
{
};

using Effect = std::variant<SendSubRequest, CancelSubRequest, OpenConnection, ProbeTarget,
                            CloseConnection, AnswerCaller, SendPeerMessage, StoreOperation,
                            StoreWatchEnd, SetTimer, WriteLog, StopCompleted>;

} // namespace lagoondeck
