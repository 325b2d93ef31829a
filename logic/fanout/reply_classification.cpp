#include "logic/fanout/reply_classification.h"

namespace lagoondeck {

bool provesNotRun(ReplyKind kind)
{
    switch (kind) {
    case ReplyKind::Shed:
    case ReplyKind::Draining:
    case ReplyKind::SnapshotRetired:
    case ReplyKind::CancelledBeforeRun:
    case ReplyKind::ExpiredBeforeRun:
        return true;
    case ReplyKind::Answered:
    case ReplyKind::CancelledWhileRunning:
    case ReplyKind::Failed:
        return false;
    }
    return false;
}

MissingReason missingReasonOf(ReplyKind kind)
{
    switch (kind) {
    case ReplyKind::Shed:
        return MissingReason::TargetsShed;
    case ReplyKind::Draining:
        return MissingReason::NoTarget;
    case ReplyKind::SnapshotRetired:
        return MissingReason::SnapshotRetired;
    case ReplyKind::ExpiredBeforeRun:
        return MissingReason::DeadlinePassed;
    case ReplyKind::CancelledBeforeRun:
    case ReplyKind::CancelledWhileRunning:
        return MissingReason::Withdrawn;
    case ReplyKind::Answered:
    case ReplyKind::Failed:
        return MissingReason::TargetFailed;
    }
    return MissingReason::TargetFailed;
}

SubRequestOutcome subRequestOutcomeOf(ReplyKind kind)
{
    switch (kind) {
    case ReplyKind::Answered:
        return SubRequestOutcome::Answered;
    case ReplyKind::CancelledBeforeRun:
    case ReplyKind::CancelledWhileRunning:
        return SubRequestOutcome::Cancelled;
    case ReplyKind::Shed:
        return SubRequestOutcome::Shed;
    case ReplyKind::Draining:
    case ReplyKind::SnapshotRetired:
    case ReplyKind::ExpiredBeforeRun:
        return SubRequestOutcome::Refused;
    case ReplyKind::Failed:
        return SubRequestOutcome::Failed;
    }
    return SubRequestOutcome::Failed;
}

bool isRetryFree(ReplyKind kind)
{
    return kind == ReplyKind::Draining || kind == ReplyKind::SnapshotRetired;
}

} // namespace lagoondeck
