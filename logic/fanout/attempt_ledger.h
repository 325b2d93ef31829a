#pragma once

#include "core/outcome.h"

#include <cstdint>

namespace lagoondeck {

/// What is proved of the sub-requests that left for one query.
struct AttemptLedger
{
    std::uint32_t sent = 0;
    /// Replies or withdrawals that prove that the target did not run it.
    std::uint32_t provedNotRun = 0;
    /// Replies that prove that the target ran it, at least in part.
    std::uint32_t provedRan = 0;

    /// Sent, and nothing is proved: lost, or still out.
    std::uint32_t unproved() const { return this->sent - this->provedNotRun - this->provedRan; }
    bool nothingRan() const { return this->sent == this->provedNotRun; }
};

/// The only place that decides what a caller is told. "Not run" only when every sub-request that
/// left is proved not to have run.
Outcome decideOutcome(const AttemptLedger &ledger, bool coverageReached);

/// Checks that an outcome is one that the ledger proves.
void checkOutcome(Outcome outcome, const AttemptLedger &ledger);

} // namespace lagoondeck
