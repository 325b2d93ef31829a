#pragma once

#include "core/catalogue_entry.h"
#include "logic/claims/claim_record.h"
#include "logic/events.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// The progress of a claim made by this instance.
enum class ClaimPhase {
    Queued,  ///< Waits for the next transaction.
    Writing, ///< Part of a transaction that has not ended.
    Held,    ///< Written to the store; the request may be sent.
};

/// A claim that this instance makes for one request before it sends it.
struct Claim
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    /// The request's age at its arrival, by this instance's wall clock.
    Duration ageAtArrival {};
    /// A claim that is not held by this instant is refused. The rest of the request's time limit is
    /// reserved for the target.
    Instant claimDeadline {};
    std::string key;
    ClaimRecord record;
    ClaimPhase phase = ClaimPhase::Queued;
    /// Whether a transaction that may have taken effect got no reply.
    bool uncertain = false;
    /// The number of transactions that never reached the store.
    std::uint32_t failures = 0;
    std::int64_t lease = 0;
    /// The store revision at which the claim was written; 0 while unknown.
    std::uint64_t modRevision = 0;
};

/// The result of an attempt to claim a request. After a refusal, this instance has sent nothing.
struct ClaimResult
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    /// None means that the claim is held and the request may be sent while the current event is
    /// applied.
    FailureReason reason = FailureReason::None;
    /// NotRun, or what is known about the request that holds the claim.
    Outcome outcome = Outcome::NotRun;
    /// The outcome of the request that holds the claim, when the store has it.
    std::optional<Outcome> firstOutcome;
};

} // namespace lagoondeck
