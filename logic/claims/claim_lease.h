#pragma once

#include "core/ids.h"
#include "logic/claims/claim_times.h"

#include <cstdint>
#include <optional>

namespace lagoondeck {

struct Context;
struct StoreReplied;

/// The lease that this node's claims of one time bucket share, so that a grant is made once a
/// bucket and not once a claim. It is never kept alive: its claims end with it.
class ClaimLease
{
public:
    explicit ClaimLease(const ClaimTimes &times);

    /// The lease for a claim written now, or empty; a grant is asked for when one is due.
    std::optional<std::int64_t> lease(Context &context);
    /// Returns whether the operation was this part's own.
    bool onStoreReply(const StoreReplied &reply, Context &context);

private:
    void askIfDue(Context &context);

    ClaimTimes times;
    std::int64_t current = 0;
    /// When the grant was asked for: the store counts from a later instant.
    Instant startedAt {};
    std::optional<StoreOpId> asking;
    Instant askedAt {};
    Instant askAgainAt {};
};

} // namespace lagoondeck
