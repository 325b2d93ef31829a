#pragma once

namespace lagoondeck {

/// How a sub-request left its target; feeds the choice of replicas.
enum class SubRequestEnd {
    Answered,
    Shed,    ///< Proved not run: the target is overloaded.
    Refused, ///< Proved not run for another reason.
    Failed,
    Cancelled,
    Lost,
};

} // namespace lagoondeck
