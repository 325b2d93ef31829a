#include "logic/fanout/attempt_ledger.h"

#include "logic/invariant.h"

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

void checkOutcome(Outcome outcome, const AttemptLedger &ledger)
{
    const bool possible = ledger.provedNotRun + ledger.provedRan <= ledger.sent;
    ensure(possible && (outcome != Outcome::NotRun || ledger.nothingRan()),
           Invariant::NotRunIsProved, [&] {
               return std::to_string(ledger.sent) + " sent, " + std::to_string(ledger.provedNotRun)
                       + " proved not run";
           });
}

} // namespace lagoondeck
