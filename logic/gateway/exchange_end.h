#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>

namespace lagoondeck {

/// What a caller got.
enum class ExchangeOutcome {
    Served,  ///< Whole and within the objective.
    Partial, ///< Within the objective, with parts missing.
    Late,
    Refused, ///< Not run.
    Failed,
    Left, ///< The caller went away first.
};

/// Why an exchange ended as it did.
enum class EndReason {
    Complete,
    ObjectiveReached, ///< At the objective the parts that were there went out.
    CoverageReached,  ///< After the objective, the minimum coverage was reached.
    PartsGivenUp,     ///< Nothing was left to wait for.
    NoRoute,
    NoConfiguration,
    NoTarget,      ///< No replica could take the request.
    TargetFailed,  ///< A target's own failure was passed on.
    TargetsFailed, ///< Attempts came to nothing, and no further one was allowed.
    DeadlinePassed,
    CallerLeft,
    Quarantined, ///< The request broke the connections of the targets that ran it before.
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
