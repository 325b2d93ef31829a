#include "logic/fanout/attempt_ledger.h"

namespace lagoondeck {

Outcome decideOutcome(const AttemptLedger &ledger, bool coverageReached)
{
    if (coverageReached) {
        return Outcome::Answered;
    }
    if (ledger.nothingRan()) {
        return Outcome::NotRun;
    }
    return ledger.provedRan > 0 ? Outcome::Failed : Outcome::Unknown;
}

} // namespace lagoondeck
