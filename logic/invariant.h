#pragma once

#include <stdexcept>
#include <string>

namespace lagoondeck {

/// The rules that must always hold; docs/INVARIANTS.md tells where each is checked.
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

/// The rule's name in logs.
const char *toString(Invariant invariant);

/// A rule was broken. The process logs it and ends: a wrong answer is worse than none.
class InvariantViolation : public std::logic_error
{
public:
    InvariantViolation(Invariant invariant, const std::string &detail);

    Invariant invariant() const { return this->broken; }

private:
    Invariant broken;
};

/// Checks a rule, in release builds too. The detail is made only when the rule is broken.
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
