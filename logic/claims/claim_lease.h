#pragma once

#include "core/ids.h"
#include "logic/claims/claim_times.h"

#include <cstdint>
#include <optional>

namespace lagoondeck {

struct Context;
struct StoreReplied;

/// Manages the lease that all claims of this instance share within one time bucket, so that one
/// grant per bucket is enough instead of one per claim. The lease is never kept alive; its claims
/// expire with it.
class ClaimLease
{
public:
    explicit ClaimLease(const ClaimTimes &times);

    /// Returns the lease for a claim written now, or nullopt when there is none. Requests a new
    /// grant when one is due.
    std::optional<std::int64_t> lease(Context &context);
    /// Returns whether the reply belongs to an operation of this class.
    bool onStoreReply(const StoreReplied &reply, Context &context);

private:
    void requestIfDue(Context &context);

    ClaimTimes times;
    std::int64_t current = 0;
    /// When the grant was requested. The store's lease starts later than this.
    Instant startedAt {};
    std::optional<StoreOpId> pendingGrant;
    Instant requestedAt {};
    Instant retryAt {};
};

} // namespace lagoondeck
