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

/// The answer to a caller's query. The coverage is set also when the query was not answered.
struct Answer
{
    Outcome outcome = Outcome::NotRun;
    FailureReason reason = FailureReason::None;
    Coverage coverage;
    std::vector<Hit> hits;
    /// The time after which the caller may try again; zero when trying again would not help.
    Duration retryAfter {};
    /// The time from the request's arrival to this answer.
    Duration elapsed {};
    /// The longest time that any reply in the answer took at its target.
    Duration slowestReply {};
    std::uint32_t subRequestsSent = 0;
    std::uint32_t hedgesSent = 0;
    /// For FailureReason::AlreadyClaimed: the outcome of the first request with the same id, when
    /// it is known.
    std::optional<Outcome> firstOutcome;
};

} // namespace lagoondeck
