#include "logic/claims/claim_lease.h"

#include "logic/context.h"
#include "logic/events.h"

namespace lagoondeck {

namespace {

constexpr Duration grantTimeout = std::chrono::milliseconds(250);
constexpr Duration retryDelay = std::chrono::milliseconds(100);

} // namespace

ClaimLease::ClaimLease(const ClaimTimes &times) : times(times) { }

std::optional<std::int64_t> ClaimLease::lease(Context &context)
{
    this->requestIfDue(context);
    const bool usable =
            this->current != 0 && context.now < this->startedAt + this->times.leaseBucket;
    return usable ? std::optional(this->current) : std::nullopt;
}

void ClaimLease::requestIfDue(Context &context)
{
    // The next lease is requested early, so that no claim waits for it.
    const Instant renewAt = this->startedAt + this->times.leaseBucket * 4 / 5;
    const bool needed = this->current == 0 || context.now >= renewAt;
    if (!needed || this->pendingGrant || context.now < this->retryAt) {
        return;
    }
    this->pendingGrant = context.ids.next<StoreOpId>();
    this->requestedAt = context.now;
    context.emit(StoreOperation {*this->pendingGrant, StoreLeaseGrant {this->times.leaseTime()},
                                 grantTimeout});
}

bool ClaimLease::onStoreReply(const StoreReplied &reply, Context &context)
{
    if (this->pendingGrant != reply.operation) {
        return false;
    }
    this->pendingGrant.reset();
    if (reply.status == StoreStatus::Ok && reply.lease != 0) {
        this->current = reply.lease;
        this->startedAt = this->requestedAt;
    } else {
        this->retryAt = context.now + retryDelay;
    }
    return true;
}

} // namespace lagoondeck
