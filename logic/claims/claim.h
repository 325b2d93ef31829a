#pragma once

#include "core/catalogue_entry.h"
#include "logic/claims/claim_record.h"
#include "logic/events.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// Where a claim of this node stands.
enum class ClaimPhase {
    Queued, ///< Waits for the next transaction.
    Asked,  ///< In a transaction that has not ended.
    Held,   ///< The store holds it for us; the request may be sent.
};

/// A claim that this node makes for one request before it sends it.
struct Claim
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    /// The request's age at its arrival, by this node's wall clock.
    Duration ageAtArrival {};
    /// A claim that is not held by then is refused; the rest of the time is the target's.
    Instant giveUpAt {};
    std::string key;
    ClaimRecord record;
    ClaimPhase phase = ClaimPhase::Queued;
    /// A transaction that may have taken effect was not answered.
    bool uncertain = false;
    /// Transactions that never reached the store.
    std::uint32_t failures = 0;
    std::int64_t lease = 0;
    /// The store's revision at which the claim was written; 0 while not known.
    std::uint64_t modRevision = 0;
};

/// How the making of a claim ended. A refusal always means that this node sent nothing.
struct ClaimEnd
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    /// None: the claim is held and the request may be sent in this very event.
    FailureReason reason = FailureReason::None;
    /// NotRun, or what is known of the sending that holds the claim.
    Outcome outcome = Outcome::NotRun;
    /// What came of the first sending, when the store tells.
    std::optional<Outcome> firstOutcome;
};

} // namespace lagoondeck
