#pragma once

#include "core/coverage.h"
#include "logic/events.h"
#include "logic/selection/target_table.h"

namespace lagoondeck {

/// The reply proves that the target ran no part of the sub-request.
bool provesNotRun(ReplyKind kind);

/// Why a shard is missing when this was its last reply.
MissingReason missingReasonOf(ReplyKind kind);

/// How the sub-request left its target, for the choice of replicas.
SubRequestEnd endOf(ReplyKind kind);

/// The refusal is no sign of load: another attempt adds nothing to an overload.
bool isFreeToRetry(ReplyKind kind);

} // namespace lagoondeck
