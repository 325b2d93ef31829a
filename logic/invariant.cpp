#include "logic/invariant.h"

namespace lagoondeck {

const char *toString(Invariant invariant)
{
    switch (invariant) {
    case Invariant::OneAnswerPerRequest:
        return "OneAnswerPerRequest";
    case Invariant::OneSnapshotPerAnswer:
        return "OneSnapshotPerAnswer";
    case Invariant::CoverageAddsUp:
        return "CoverageAddsUp";
    case Invariant::CoverageIsTrue:
        return "CoverageIsTrue";
    case Invariant::ReplyBelongsToAttempt:
        return "ReplyBelongsToAttempt";
    case Invariant::NotRunIsProved:
        return "NotRunIsProved";
    case Invariant::AtMostOneSend:
        return "AtMostOneSend";
    case Invariant::NoWorkToLeaving:
        return "NoWorkToLeaving";
    case Invariant::RevisionOnlyGrows:
        return "RevisionOnlyGrows";
    case Invariant::ConnectionCapKept:
        return "ConnectionCapKept";
    case Invariant::ConnectionCarriesOneAttempt:
        return "ConnectionCarriesOneAttempt";
    case Invariant::StopCutsNoRequest:
        return "StopCutsNoRequest";
    case Invariant::CanaryAlone:
        return "CanaryAlone";
    case Invariant::HedgeWithinBudget:
        return "HedgeWithinBudget";
    }
    return "Invariant";
}

InvariantViolation::InvariantViolation(Invariant invariant, const std::string &detail)
    : std::logic_error(std::string(toString(invariant)) + ": " + detail), violated(invariant)
{ }

} // namespace lagoondeck
