#pragma once

#include <string_view>

namespace lagoondeck {

/// The outcome of a request. The names are part of the callers' interface.
enum class Outcome {
    Answered, ///< Complete, or with at least the minimum coverage.
    NotRun,   ///< It is proved that no target ran any part of the request.
    Failed,   ///< A target ran a part of the request, and there is no usable answer.
    Unknown,  ///< A target may have run the request, but no reply confirms it.
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
    Overloaded, ///< The queue is too long to serve it within its deadline.
    DeadlineTooShort,
    Quarantined, ///< Targets were lost while they ran the same request before.
    NoSnapshot,  ///< No index version is served by every needed shard.
    NoTarget,
    BelowMinimumCoverage,
    DeadlinePassed,
    TargetsLost,
    TargetFailed,
    ClaimUnavailable, ///< The store did not answer, so running at most once can't be ensured.
    AlreadyClaimed,   ///< A request with the same id was claimed before.
    RequestTooOld,
};

std::string_view toString(Outcome outcome);
std::string_view toString(FailureReason reason);

} // namespace lagoondeck
