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
    /// The time left to the target.
    Duration deadline {};
    std::shared_ptr<const std::string> body;
    QueryId query;
    /// No byte may leave later: the process may have been paused since it decided to send.
    Instant notAfter = Instant::max();
};

/// Ask a target to drop an attempt; the reply still comes over the attempt's connection.
struct CancelSubRequest
{
    AttemptId attempt;
    /// The connection that carries the attempt.
    ConnectionId connection;
    TargetId target;
    /// An idle connection to carry the cancellation; empty closes the attempt's connection.
    std::optional<ConnectionId> via;
};

/// Open a connection and check that the target accepts it.
struct OpenConnection
{
    ConnectionId connection;
    TargetId target;
    std::string address;
};

/// Ask a target for its report over an idle connection.
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

/// Answer a caller. Exactly one for each CallerRequest.
struct AnswerCaller
{
    QueryId query;
    EntryName entry;
    std::string trafficClass;
    CallerName caller;
    Answer answer;
    /// Admission took the query; otherwise it was refused before any work.
    bool admitted = false;
};

/// Send a message to another entry instance; it may be lost.
struct SendPeerMessage
{
    /// IP number and port.
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

/// End a watch.
struct StoreWatchEnd
{
    StoreOpId operation;
};

/// Fire a timer at an instant; an earlier setting of the same timer is replaced.
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
    /// The value is a number and written as one.
    bool isNumber = false;
};

/// A field that holds a whole number.
inline LogField numberField(std::string name, std::int64_t value)
{
    return {std::move(name), std::to_string(value), true};
}

/// Write one numbered event to the log.
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
