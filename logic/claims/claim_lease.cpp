#include "logic/claims/claim_lease.h"

#include "logic/context.h"
#include "logic/events.h"

namespace lagoondeck {

namespace {

constexpr Duration grantTimeout = std::chrono::milliseconds(250);
constexpr Duration pauseAfterFailure = std::chrono::milliseconds(100);

} // namespace

ClaimLease::ClaimLease(const ClaimTimes &times) : times(times) { }

std::optional<std::int64_t> ClaimLease::lease(Context &context)
{
    this->askIfDue(context);
    const bool usable =
            this->current != 0 && context.now < this->startedAt + this->times.leaseBucket;
    return usable ? std::optional(this->current) : std::nullopt;
}

void ClaimLease::askIfDue(Context &context)
{
    // The next lease is asked for early, so that no claim waits for it.
    const Instant due = this->startedAt + this->times.leaseBucket * 4 / 5;
    const bool needed = this->current == 0 || context.now >= due;
    if (!needed || this->asking || context.now < this->askAgainAt) {
        return;
    }
    this->asking = context.ids.next<StoreOpId>();
    this->askedAt = context.now;
    context.emit(StoreOperation {*this->asking, StoreLeaseGrant {this->times.leaseTime()},
                                 grantTimeout});
}

bool ClaimLease::onStoreReply(const StoreReplied &reply, Context &context)
{
    if (this->asking != reply.operation) {
        return false;
    }
    this->asking.reset();
    if (reply.status == StoreStatus::Ok && reply.lease != 0) {
        this->current = reply.lease;
        this->startedAt = this->askedAt;
    } else {
        this->askAgainAt = context.now + pauseAfterFailure;
    }
    return true;
}

} // namespace lagoondeck
