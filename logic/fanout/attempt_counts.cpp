#include "logic/fanout/attempt_counts.h"

#include "logic/invariant.h"

namespace lagoondeck {

Outcome decideOutcome(const AttemptCounts &counts, bool coverageReached)
{
    if (coverageReached) {
        return Outcome::Answered;
    }
    if (counts.isProvedNotRun()) {
        return Outcome::NotRun;
    }
    return counts.provedRan > 0 ? Outcome::Failed : Outcome::Unknown;
}

void checkOutcome(Outcome outcome, const AttemptCounts &counts)
{
    const bool consistent = counts.provedNotRun + counts.provedRan <= counts.sent;
    ensure(consistent && (outcome != Outcome::NotRun || counts.isProvedNotRun()),
           Invariant::NotRunIsProved, [&] {
               return std::to_string(counts.sent) + " sent, " + std::to_string(counts.provedNotRun)
                       + " proved not run";
           });
}

} // namespace lagoondeck
