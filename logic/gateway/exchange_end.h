#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>

namespace lagoondeck {

/// How an exchange ended for the caller.
enum class ExchangeOutcome {
    Served,  ///< Answered completely and within the route's latency objective.
    Partial, ///< Answered within the objective, with parts missing.
    Late,    ///< Answered after the objective.
    Refused, ///< Refused without being run by any target.
    Failed,
    CallerLeft, ///< The caller closed its connection before it got an answer.
};

/// Why an exchange ended as it did.
enum class EndReason {
    Complete,
    ObjectiveReached, ///< The latency objective was reached; the parts answered by then were sent.
    CoverageReached,  ///< The minimum coverage was reached after the objective.
    PartsAbandoned,   ///< All missing parts were abandoned.
    NoRoute,
    UnconfirmedConfig, ///< Members may have a newer configuration than this instance.
    UnknownKey,        ///< The request has no key of a client account.
    AccountCapReached, ///< The account has used what it may use in the whole fleet.
    NoConfiguration,
    NoTarget,       ///< No replica accepted the request.
    NoPath,         ///< This instance reaches no target, and no member took the request.
    TargetsLimited, ///< The limits of the targets left no request.
    QueueTooLong,   ///< Too many requests waited for the targets ahead of it.
    TargetFailed,   ///< A target's own failure reply was passed on.
    TargetsFailed,  ///< All attempts failed, and no further one was allowed.
    DeadlinePassed,
    CallerLeft,
    CoordinatorSilent, ///< The coordinator of the request did not react any more.
    ReadLate,          ///< The caller's time may have run out before the request was read.
    Stopping,          ///< This instance stops before the request can be answered.
    Quarantined,       ///< The request broke the connections of targets that ran it earlier.
};

const char *toString(ExchangeOutcome outcome);
const char *toString(EndReason reason);

/// How an exchange ended, for logs and metrics.
struct ExchangeEnd
{
    std::string route;
    ExchangeOutcome outcome = ExchangeOutcome::Served;
    EndReason reason = EndReason::Complete;
    Duration elapsed {};
    std::size_t partsNeeded = 0;
    std::size_t partsAnswered = 0;
};

} // namespace lagoondeck
