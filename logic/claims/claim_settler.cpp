#include "logic/claims/claim_settler.h"

#include "logic/context.h"
#include "logic/events.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration operationTimeout = std::chrono::milliseconds(500);
/// Outcomes gather this long, because nobody waits for them.
constexpr Duration outcomeDelay = std::chrono::milliseconds(100);
/// A claim whose reply was lost is read back when the operation can't still be on its way.
constexpr Duration readBackDelay = std::chrono::milliseconds(600);
constexpr Duration retryDelay = std::chrono::seconds(1);
constexpr Duration blockedRetry = std::chrono::milliseconds(50);
constexpr std::size_t batchSize = 64;
/// The oldest are dropped beyond this; their claims end with their lease.
constexpr std::size_t mostWaiting = 4096;
constexpr double burst = 4.0;

} // namespace

std::size_t ClaimSettler::underWay() const
{
    std::size_t count = 0;
    for (const auto &[operation, batch] : this->operations) {
        count += batch.size();
    }
    return count;
}

void ClaimSettler::add(Settlement settlement)
{
    if (this->waiting.size() >= mostWaiting) {
        this->waiting.pop_front();
    }
    this->waiting.push_back(std::move(settlement));
}

void ClaimSettler::release(const Claim &claim, Context &context)
{
    const bool known = claim.modRevision != 0;
    this->add({claim.key, claim.record, claim.lease, claim.modRevision, context.now,
               known ? context.now : context.now + readBackDelay});
}

void ClaimSettler::noteOutcome(const Claim &claim, Outcome outcome, Context &context)
{
    Settlement settlement {claim.key,         claim.record, claim.lease,
                           claim.modRevision, context.now,  context.now + outcomeDelay};
    settlement.record.outcome = outcome;
    this->add(std::move(settlement));
}

std::optional<Instant> ClaimSettler::pump(double writesPerSecond, Duration keepTrying,
                                          Context &context)
{
    std::erase_if(this->waiting, [&](const Settlement &settlement) {
        return context.now - settlement.since > keepTrying;
    });
    const auto due = [&] {
        return std::ranges::any_of(this->waiting, [&](const Settlement &settlement) {
            return settlement.dueAt <= context.now;
        });
    };
    while (due()) {
        if (!this->writes.take(writesPerSecond, burst, context.now)) {
            return context.now + blockedRetry;
        }
        this->start(this->takeDue(context.now), context);
    }
    if (this->waiting.empty()) {
        return std::nullopt;
    }
    return std::ranges::min_element(this->waiting, {}, &Settlement::dueAt)->dueAt;
}

ClaimSettler::Batch ClaimSettler::takeDue(Instant now)
{
    Batch batch;
    for (auto next = this->waiting.begin(); next != this->waiting.end();) {
        const bool single = next->alone || next->modRevision == 0;
        if (next->dueAt > now || (single && !batch.empty())) {
            ++next;
            continue;
        }
        batch.push_back(std::move(*next));
        next = this->waiting.erase(next);
        if (single || batch.size() >= batchSize) {
            break;
        }
    }
    return batch;
}

void ClaimSettler::start(Batch batch, Context &context)
{
    if (batch.front().modRevision == 0) {
        this->startRead(batch.front(), context);
        return;
    }
    StoreTransaction transaction;
    for (const Settlement &settlement : batch) {
        transaction.compares.push_back({settlement.key, settlement.modRevision});
        if (settlement.record.outcome) {
            transaction.puts.push_back(
                    {settlement.key, writeClaim(settlement.record), settlement.lease});
        } else {
            transaction.deletes.push_back(settlement.key);
        }
    }
    StoreOperation operation {context.ids.next<StoreOpId>()};
    operation.request = std::move(transaction);
    operation.timeout = operationTimeout;
    this->operations.emplace(operation.operation, std::move(batch));
    context.emit(std::move(operation));
}

void ClaimSettler::startRead(const Settlement &settlement, Context &context)
{
    const auto operation = context.ids.next<StoreOpId>();
    context.emit(StoreOperation {operation, StoreRange {settlement.key, ""}, operationTimeout});
    this->operations.emplace(operation, Batch {settlement});
}

bool ClaimSettler::onStoreReply(const StoreReplied &reply, Context &context)
{
    const auto found = this->operations.find(reply.operation);
    if (found == this->operations.end()) {
        return false;
    }
    Batch batch = std::move(found->second);
    this->operations.erase(found);
    if (reply.status != StoreStatus::Ok) {
        for (Settlement &settlement : batch) {
            this->retry(std::move(settlement), context);
        }
    } else if (batch.front().modRevision == 0) {
        this->onReadBack(std::move(batch.front()), reply, context);
    } else if (!reply.succeeded && batch.size() > 1) {
        for (Settlement &settlement : batch) {
            settlement.alone = true;
            this->add(std::move(settlement));
        }
    }
    // A single one that did not hold is not ours any more: its lease ended, or an earlier try
    // whose reply was lost took effect.
    return true;
}

void ClaimSettler::onReadBack(Settlement settlement, const StoreReplied &reply, Context &context)
{
    if (reply.values.empty()) {
        return;
    }
    const auto record = parseClaim(reply.values.front().value);
    if (!record || record->claimId != settlement.record.claimId) {
        return;
    }
    settlement.modRevision = reply.values.front().modRevision;
    settlement.dueAt = context.now;
    context.log(LogEvent::ClaimResolved, {{"key", settlement.key}, {"sent", "false"}});
    this->add(std::move(settlement));
}

void ClaimSettler::retry(Settlement settlement, Context &context)
{
    settlement.dueAt = context.now + retryDelay;
    this->add(std::move(settlement));
}

} // namespace lagoondeck
