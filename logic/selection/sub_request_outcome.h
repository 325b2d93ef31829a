#pragma once

namespace lagoondeck {

/// How a sub-request ended at its target. Used for the choice of replicas.
enum class SubRequestOutcome {
    Answered,
    Shed,    ///< Proved not run: the target is overloaded.
    Refused, ///< Proved not run for another reason.
    Failed,
    Cancelled,
    Lost,
};

} // namespace lagoondeck
