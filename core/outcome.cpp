#include "core/outcome.h"

namespace lagoondeck {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(FailureReason reason)
{
    switch (reason) {
    case FailureReason::None:
        return "none";
    case FailureReason::BadRequest:
        return "bad-request";
    case FailureReason::UnknownEntry:
        return "unknown-entry";
    case FailureReason::NotReady:
        return "not-ready";
    case FailureReason::Stopping:
        return "stopping";
    case FailureReason::RateLimited:
        return "rate-limited";
    case FailureReason::ConcurrencyLimited:
        return "concurrency-limited";
    case FailureReason::Overloaded:
        return "overloaded";
    case FailureReason::DeadlineTooShort:
        return "deadline-too-short";
    case FailureReason::Quarantined:
        return "quarantined";
    case FailureReason::NoSnapshot:
        return "no-snapshot";
    case FailureReason::NoTarget:
        return "no-target";
    case FailureReason::BelowMinimumCoverage:
        return "below-minimum-coverage";
    case FailureReason::DeadlinePassed:
        return "deadline-passed";
    case FailureReason::TargetsLost:
        return "targets-lost";
    case FailureReason::TargetFailed:
        return "target-failed";
    case FailureReason::ClaimUnavailable:
        return "claim-unavailable";
    case FailureReason::AlreadyClaimed:
        return "already-claimed";
    case FailureReason::RequestTooOld:
        return "request-too-old";
    }
    return "none";
}

} // namespace lagoondeck
