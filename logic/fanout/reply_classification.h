#pragma once

#include "core/coverage.h"
#include "logic/events.h"
#include "logic/selection/target_table.h"

namespace lagoondeck {

/// Returns whether the reply proves that the target ran no part of the sub-request.
bool provesNotRun(ReplyKind kind);

/// Returns why a shard is missing when its last reply was of this kind.
MissingReason missingReasonOf(ReplyKind kind);

/// Returns the outcome of the sub-request that is reported to the TargetTable, which uses it to
/// choose among replicas.
SubRequestOutcome subRequestOutcomeOf(ReplyKind kind);

/// Returns whether a retry costs no retry budget: the refusal is no sign of load, so another
/// attempt does not add to an overload.
bool isRetryFree(ReplyKind kind);

} // namespace lagoondeck
