#include "logic/claims/claim_finalizer.h"

#include "logic/context.h"
#include "logic/events.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration operationTimeout = std::chrono::milliseconds(500);
/// Outcomes are batched for this long, because no caller waits for them.
constexpr Duration outcomeDelay = std::chrono::milliseconds(100);
/// A claim whose reply was lost is read back after this delay, when its write can't be in flight
/// any more.
constexpr Duration readBackDelay = std::chrono::milliseconds(600);
constexpr Duration retryDelay = std::chrono::seconds(1);
constexpr Duration blockedRetryDelay = std::chrono::milliseconds(50);
constexpr std::size_t batchSize = 64;
/// Beyond this number the oldest are dropped; their claims expire with their lease.
constexpr std::size_t maxPending = 4096;
constexpr double writeBurst = 4.0;

} // namespace

std::size_t ClaimFinalizer::inFlight() const
{
    std::size_t count = 0;
    for (const auto &[operation, batch] : this->operations) {
        count += batch.size();
    }
    return count;
}

void ClaimFinalizer::add(Finalization finalization)
{
    if (this->pending.size() >= maxPending) {
        this->pending.pop_front();
    }
    this->pending.push_back(std::move(finalization));
}

void ClaimFinalizer::release(const Claim &claim, Context &context)
{
    const bool known = claim.modRevision != 0;
    this->add({claim.key, claim.record, claim.lease, claim.modRevision, context.now,
               known ? context.now : context.now + readBackDelay});
}

void ClaimFinalizer::recordOutcome(const Claim &claim, Outcome outcome, Context &context)
{
    Finalization finalization {claim.key,         claim.record, claim.lease,
                               claim.modRevision, context.now,  context.now + outcomeDelay};
    finalization.record.outcome = outcome;
    this->add(std::move(finalization));
}

std::optional<Instant> ClaimFinalizer::startDue(double writesPerSecond, Duration maxAge,
                                                Context &context)
{
    std::erase_if(this->pending, [&](const Finalization &finalization) {
        return context.now - finalization.since > maxAge;
    });
    const auto hasDue = [&] {
        return std::ranges::any_of(this->pending, [&](const Finalization &finalization) {
            return finalization.dueAt <= context.now;
        });
    };
    while (hasDue()) {
        if (!this->writes.tryTake(writesPerSecond, writeBurst, context.now)) {
            return context.now + blockedRetryDelay;
        }
        this->start(this->takeExpired(context.now), context);
    }
    if (this->pending.empty()) {
        return std::nullopt;
    }
    return std::ranges::min_element(this->pending, {}, &Finalization::dueAt)->dueAt;
}

ClaimFinalizer::Batch ClaimFinalizer::takeExpired(Instant now)
{
    Batch batch;
    for (auto next = this->pending.begin(); next != this->pending.end();) {
        const bool single = next->sendAlone || next->modRevision == 0;
        if (next->dueAt > now || (single && !batch.empty())) {
            ++next;
            continue;
        }
        batch.push_back(std::move(*next));
        next = this->pending.erase(next);
        if (single || batch.size() >= batchSize) {
            break;
        }
    }
    return batch;
}

void ClaimFinalizer::start(Batch batch, Context &context)
{
    if (batch.front().modRevision == 0) {
        this->startRead(batch.front(), context);
        return;
    }
    StoreTransaction transaction;
    for (const Finalization &finalization : batch) {
        transaction.compares.push_back({finalization.key, finalization.modRevision});
        if (finalization.record.outcome) {
            transaction.puts.push_back(
                    {finalization.key, writeClaim(finalization.record), finalization.lease});
        } else {
            transaction.deletes.push_back(finalization.key);
        }
    }
    StoreOperation operation {context.ids.next<StoreOpId>()};
    operation.request = std::move(transaction);
    operation.timeout = operationTimeout;
    this->operations.emplace(operation.operation, std::move(batch));
    context.emit(std::move(operation));
}

void ClaimFinalizer::startRead(const Finalization &finalization, Context &context)
{
    const auto operation = context.ids.next<StoreOpId>();
    context.emit(StoreOperation {operation, StoreRange {finalization.key, ""}, operationTimeout});
    this->operations.emplace(operation, Batch {finalization});
}

bool ClaimFinalizer::onStoreReply(const StoreReplied &reply, Context &context)
{
    const auto found = this->operations.find(reply.operation);
    if (found == this->operations.end()) {
        return false;
    }
    Batch batch = std::move(found->second);
    this->operations.erase(found);
    if (reply.status != StoreStatus::Ok) {
        for (Finalization &finalization : batch) {
            this->retry(std::move(finalization), context);
        }
    } else if (batch.front().modRevision == 0) {
        this->onReadBack(std::move(batch.front()), reply, context);
    } else if (!reply.succeeded && batch.size() > 1) {
        for (Finalization &finalization : batch) {
            finalization.sendAlone = true;
            this->add(std::move(finalization));
        }
    }
    // A single finalization whose comparison failed needs no retry: the lease of the claim expired,
    // or an earlier attempt whose reply was lost took effect.
    return true;
}

void ClaimFinalizer::onReadBack(Finalization finalization, const StoreReplied &reply,
                                Context &context)
{
    if (reply.values.empty()) {
        return;
    }
    const auto record = parseClaim(reply.values.front().value);
    if (!record || record->claimId != finalization.record.claimId) {
        return;
    }
    finalization.modRevision = reply.values.front().modRevision;
    finalization.dueAt = context.now;
    context.log(LogEvent::ClaimResolved, {{"key", finalization.key}, {"sent", "false"}});
    this->add(std::move(finalization));
}

void ClaimFinalizer::retry(Finalization finalization, Context &context)
{
    finalization.dueAt = context.now + retryDelay;
    this->add(std::move(finalization));
}

} // namespace lagoondeck
