#include "core/coverage.h"

namespace lagoondeck {

std::string_view toString(MissingReason reason)
{
    switch (reason) {
    case MissingReason::DeadlinePassed:
        return "deadline-passed";
    case MissingReason::NoTarget:
        return "no-target";
    case MissingReason::TargetsLost:
        return "targets-lost";
    case MissingReason::TargetsShed:
        return "targets-shed";
    case MissingReason::SnapshotRetired:
        return "snapshot-retired";
    case MissingReason::TargetFailed:
        return "target-failed";
    case MissingReason::Withdrawn:
        return "withdrawn";
    }
    return "withdrawn";
}

} // namespace lagoondeck
