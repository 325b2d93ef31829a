#pragma once

#include "core/http_message.h"
#include "core/ids.h"
#include "core/time.h"
#include "logic/gateway/store_call.h"

#include <memory>
#include <variant>

namespace lagoondeck {

/// A caller's request and its answer; unique while the process lives.
using ExchangeId = StrongId<struct ExchangeTag, std::uint64_t>;

/// A caller's request was read whole.
struct RequestArrived
{
    ExchangeId exchange;
    std::shared_ptr<const ForwardedRequest> request;
};

/// The caller closed its connection before it had its answer.
struct CallerLeft
{
    ExchangeId exchange;
};

/// A target replied; its connection is settled.
struct AttemptReplied
{
    AttemptId attempt;
    std::shared_ptr<const ForwardedReply> reply;
};

/// How an attempt ended without a reply.
enum class AttemptEndKind {
    Unreachable, ///< No connection could be made; no byte left.
    Lost,        ///< The connection broke after bytes had left.
    Spoiled,     ///< What came back is no reply.
    Closed,      ///< We closed the connection.
};

struct AttemptEnded
{
    AttemptId attempt;
    AttemptEndKind kind = AttemptEndKind::Lost;
};

/// The store answered, or did not in time.
struct StoreAnswered
{
    StoreOpId operation;
    StoreAnswer answer;
};

/// The instant came that the reducer asked to be woken at.
struct TimerDue
{
};

/// The process did not run for a while, and what it believes has aged unseen.
struct ProcessPaused
{
    Duration length {};
};

/// The process began.
struct GatewayStarted
{
};

/// The platform asked this process to stop.
struct GatewayStopRequested
{
};

using GatewayEvent = std::variant<GatewayStarted, RequestArrived, CallerLeft, AttemptReplied,
                                  AttemptEnded, StoreAnswered, TimerDue, ProcessPaused,
                                  GatewayStopRequested>;

} // namespace lagoondeck
