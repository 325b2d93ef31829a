#pragma once

#include "core/coverage.h"
#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// One hit of a merged answer.
struct Hit
{
    double score = 0.0;
    /// The hit as the target wrote it: one JSON value.
    std::string json;
};

/// What a caller is told. Coverage is told also when there is no answer.
struct Answer
{
    Outcome outcome = Outcome::NotRun;
    FailureReason reason = FailureReason::None;
    Coverage coverage;
    std::vector<Hit> hits;
    /// When the caller may try again; zero when trying again is no use.
    Duration retryAfter {};
    /// From the request's arrival to this answer.
    Duration elapsed {};
    /// The longest that a reply in the answer took at its target.
    Duration slowestReply {};
    std::uint32_t subRequestsSent = 0;
    std::uint32_t hedgesSent = 0;
    /// For FailureReason::AlreadyClaimed: what came of the first sending, when it is known.
    std::optional<Outcome> firstOutcome;
};

} // namespace lagoondeck
