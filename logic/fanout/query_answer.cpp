#include "logic/fanout/query_answer.h"

#include "logic/fanout/merge.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr Duration retryAfterNotRun = std::chrono::milliseconds(100);

FailureReason failureReasonOf(MissingReason reason)
{
    switch (reason) {
    case MissingReason::TargetsShed:
        return FailureReason::Overloaded;
    case MissingReason::NoTarget:
        return FailureReason::NoTarget;
    case MissingReason::SnapshotRetired:
        return FailureReason::NoSnapshot;
    case MissingReason::TargetsLost:
        return FailureReason::TargetsLost;
    case MissingReason::TargetFailed:
        return FailureReason::TargetFailed;
    case MissingReason::DeadlinePassed:
        return FailureReason::DeadlinePassed;
    case MissingReason::Withdrawn:
        return FailureReason::BelowMinimumCoverage;
    }
    return FailureReason::BelowMinimumCoverage;
}

/// Returns why the query failed: the reason of the first shard that is missing for another cause
/// than withdrawal. Shards are withdrawn only as a consequence of the failure.
FailureReason failureReasonOf(const Query &query, Instant now)
{
    if (query.shardsNeeded == 0) {
        return FailureReason::NoSnapshot;
    }
    const auto abandoned = std::ranges::find_if(query.shards, [](const ShardWork &work) {
        return work.phase == ShardPhase::Missing && work.reason != MissingReason::Withdrawn;
    });
    const FailureReason reason = abandoned == query.shards.end()
            ? FailureReason::BelowMinimumCoverage
            : failureReasonOf(abandoned->reason);
    if (reason != FailureReason::DeadlinePassed || query.attemptCounts.sent > 0) {
        return reason;
    }
    // Nothing was sent: either the deadline was too short from the start, or no replica became free
    // in time.
    return now == query.arrivedAt ? FailureReason::DeadlineTooShort : FailureReason::Overloaded;
}

} // namespace

void markOpenShardsMissing(Query &query, Instant now)
{
    const MissingReason reason =
            now >= query.deadlineAt ? MissingReason::DeadlinePassed : MissingReason::Withdrawn;
    for (ShardWork &work : query.shards) {
        if (work.isOpen()) {
            work.phase = ShardPhase::Missing;
            work.reason = reason;
        }
    }
    query.shardsOpen = 0;
}

Answer buildAnswer(Query &query, Instant now)
{
    Answer answer;
    answer.coverage = coverageOf(query);
    const bool coverageReached = answer.coverage.shardsAnswered > 0
            && answer.coverage.fraction() >= query.minimumCoverage();
    answer.outcome = decideOutcome(query.attemptCounts, coverageReached);
    checkOutcome(answer.outcome, query.attemptCounts);
    if (answer.outcome == Outcome::Answered) {
        answer.hits = mergeHits(query);
    } else {
        answer.reason = failureReasonOf(query, now);
    }
    if (answer.outcome == Outcome::NotRun && answer.reason != FailureReason::DeadlineTooShort) {
        answer.retryAfter = retryAfterNotRun;
    }
    answer.elapsed = now - query.arrivedAt;
    answer.slowestReply = query.slowestReply;
    answer.subRequestsSent = query.attemptCounts.sent;
    answer.hedgesSent = query.hedgesSent;
    return answer;
}

} // namespace lagoondeck
