#pragma once

#include <stdexcept>
#include <string>

namespace lagoondeck {

/// The invariants of an entry instance. docs/INVARIANTS.md lists where each one is checked.
enum class Invariant {
    OneAnswerPerRequest,
    OneSnapshotPerAnswer,
    CoverageAddsUp,
    CoverageIsTrue,
    ReplyBelongsToAttempt,
    NotRunIsProved,
    AtMostOneSend,
    NoWorkToLeaving,
    RevisionOnlyGrows,
    ConnectionCapKept,
    ConnectionCarriesOneAttempt,
    StopCutsNoRequest,
    HedgeWithinBudget,
    CanaryAlone,
};

/// Returns the invariant's name as it appears in logs.
const char *toString(Invariant invariant);

/// Thrown when an invariant is violated. The process logs it and exits, because a wrong answer is
/// worse than none.
class InvariantViolation : public std::logic_error
{
public:
    InvariantViolation(Invariant invariant, const std::string &detail);

    Invariant invariant() const { return this->violated; }

private:
    Invariant violated;
};

/// Checks an invariant, in release builds too. `detail` is called only when it is violated.
template <typename Detail>
void ensure(bool holds, Invariant invariant, Detail &&detail)
{
    if (!holds) {
        throw InvariantViolation(invariant, detail());
    }
}

inline void ensure(bool holds, Invariant invariant)
{
    if (!holds) {
        throw InvariantViolation(invariant, "");
    }
}

} // namespace lagoondeck
