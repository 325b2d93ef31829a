#include "logic/gateway/exchange_end.h"

namespace lagoondeck {

const char *toString(ExchangeOutcome outcome)
{
    switch (outcome) {
    case ExchangeOutcome::Served:
        return "served";
    case ExchangeOutcome::Partial:
        return "partial";
    case ExchangeOutcome::Late:
        return "late";
    case ExchangeOutcome::Refused:
        return "refused";
    case ExchangeOutcome::Failed:
        return "failed";
    case ExchangeOutcome::CallerLeft:
        return "left";
    }
    return "unknown";
}

const char *toString(EndReason reason)
{
    switch (reason) {
    case EndReason::Complete:
        return "complete";
    case EndReason::ObjectiveReached:
        return "objective-reached";
    case EndReason::CoverageReached:
        return "coverage-reached";
    case EndReason::PartsAbandoned:
        return "parts-given-up";
    case EndReason::NoRoute:
        return "no-route";
    case EndReason::UnconfirmedConfig:
        return "unconfirmed-configuration";
    case EndReason::UnknownKey:
        return "unknown-key";
    case EndReason::AccountCapReached:
        return "account-cap-reached";
    case EndReason::NoConfiguration:
        return "no-configuration";
    case EndReason::NoTarget:
        return "no-target";
    case EndReason::NoPath:
        return "no-path";
    case EndReason::TargetsLimited:
        return "targets-limited";
    case EndReason::QueueTooLong:
        return "queue-too-long";
    case EndReason::TargetFailed:
        return "target-failed";
    case EndReason::TargetsFailed:
        return "targets-failed";
    case EndReason::DeadlinePassed:
        return "deadline-passed";
    case EndReason::CallerLeft:
        return "caller-left";
    case EndReason::CoordinatorSilent:
        return "coordinator-silent";
    case EndReason::ReadLate:
        return "read-late";
    case EndReason::Stopping:
        return "stopping";
    case EndReason::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace lagoondeck
