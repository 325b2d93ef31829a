#pragma once

#include <string_view>

namespace lagoondeck {

/// What became of a request. The names are part of the callers' interface.
enum class Outcome {
    Answered, ///< Whole, or above the minimum coverage.
    NotRun,   ///< Proved: no target ran any part of it.
    Failed,   ///< Some target ran a part, and no usable answer came of it.
    Unknown,  ///< A target may have run it; no reply tells.
};

/// Why a request was not answered.
enum class FailureReason {
    None,
    BadRequest,
    UnknownEntry,
    NotReady, ///< This instance has no catalogue yet.
    Stopping, ///< This instance is stopping.
    RateLimited,
    ConcurrencyLimited,
    Overloaded, ///< The queue can't serve it in its deadline.
    DeadlineTooShort,
    Quarantined, ///< The same request lost targets before.
    NoSnapshot,  ///< No index version is served by every needed shard.
    NoTarget,
    BelowMinimumCoverage,
    DeadlinePassed,
    TargetsLost,
    TargetFailed,
    ClaimUnavailable, ///< At most once can't be shown: the store did not answer.
    AlreadyClaimed,   ///< The same request id was claimed before.
    RequestTooOld,
};

std::string_view toString(Outcome outcome);
std::string_view toString(FailureReason reason);

} // namespace lagoondeck
