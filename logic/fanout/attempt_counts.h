#pragma once

#include "core/outcome.h"

#include <cstdint>

namespace lagoondeck {

/// Counts the sub-requests sent for one query by what is proved about their execution.
struct AttemptCounts
{
    std::uint32_t sent = 0;
    /// Sub-requests that are proved not to have run, by a reply or because no byte of them was
    /// sent.
    std::uint32_t provedNotRun = 0;
    /// Sub-requests that are proved by a reply to have run, at least in part.
    std::uint32_t provedRan = 0;

    /// Returns the number of sub-requests about which nothing is proved: they are lost or still in
    /// flight.
    std::uint32_t unproved() const { return this->sent - this->provedNotRun - this->provedRan; }
    bool isProvedNotRun() const { return this->sent == this->provedNotRun; }
};

/// Returns the outcome that the caller gets. All outcomes are decided here. The outcome is "not
/// run" only when every sub-request that was sent is proved not to have run.
Outcome decideOutcome(const AttemptCounts &counts, bool coverageReached);

/// Checks that the counts are consistent and prove the outcome.
void checkOutcome(Outcome outcome, const AttemptCounts &counts);

} // namespace lagoondeck
