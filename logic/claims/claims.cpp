#include "logic/claims/claims.h"

#include "logic/context.h"
#include "logic/invariant.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// The timer key for processing the queue. Query ids start at 1.
constexpr std::uint64_t queueTimerKey = 0;
/// The fraction of a request's time limit that its claim may take.
constexpr double claimTimeFraction = 0.6;
constexpr Duration maxOperationTimeout = std::chrono::milliseconds(250);
constexpr Duration minOperationTimeout = std::chrono::milliseconds(5);
constexpr Duration blockedRetryDelay = std::chrono::milliseconds(10);
/// Operations on a store that is down fail immediately, so more retries would only load this
/// instance.
constexpr std::uint32_t maxFailures = 2;
constexpr std::size_t batchSize = 64;
constexpr std::size_t maxConcurrentTransactions = 2;
/// Claims beyond this number are refused immediately, because they would not be written in time.
constexpr std::size_t maxQueued = 1024;
/// The fraction of the writes that is used for new claims; the rest is for finalizing them.
constexpr double claimWriteFraction = 0.75;
constexpr double burstSeconds = 1.0;

Duration timeLimitFor(const CallerRequest &request, const CatalogueEntry &entry,
                      Duration sendWindow)
{
    const Duration requested = request.timeLimit.count() > 0
            ? std::min(request.timeLimit, entry.deadline)
            : entry.deadline;
    return std::min(requested, sendWindow);
}

} // namespace

Claims::Claims(const Settings &settings)
    : self(settings.id), times(ClaimTimes::of(settings.claimRetention)),
      cellWritesPerSecond(settings.claimWritesPerSecond),
      minMembers(std::max<std::size_t>(1, settings.expectedInstances)), members(minMembers),
      leases(times)
{ }

void Claims::setMembers(std::size_t count)
{
    this->members = std::max(count, this->minMembers);
}

FailureReason Claims::rejectionReason(const CallerRequest &request, WallTime wall) const
{
    if (!request.issuedAt || !request.shard) {
        return FailureReason::BadRequest;
    }
    const Duration age = wall - *request.issuedAt;
    if (age > this->times.maximumAge) {
        return FailureReason::RequestTooOld;
    }
    return age < -this->times.futureAllowance ? FailureReason::BadRequest : FailureReason::None;
}

void Claims::begin(const CallerRequest &request, const CatalogueEntry &entry, Context &context)
{
    ensure(this->rejectionReason(request, context.wall) == FailureReason::None,
           Invariant::AtMostOneSend);
    Claim claim;
    claim.request = request;
    claim.entry = entry;
    claim.arrivedAt = context.now;
    claim.ageAtArrival = context.wall - *request.issuedAt;
    const Duration timeLimit = timeLimitFor(request, entry, this->times.sendWindow);
    claim.request.timeLimit = timeLimit;
    claim.claimDeadline = context.now
            + Duration(static_cast<Duration::rep>(timeLimit.count() * claimTimeFraction));
    claim.key = claimKey(request.caller, request.requestId);
    claim.record = {this->self, this->nextClaimId(context), std::nullopt};
    if (this->queryByKey.contains(claim.key)) {
        this->addResult(claim, FailureReason::AlreadyClaimed, Outcome::Unknown);
        return;
    }
    if (this->queue.size() >= maxQueued) {
        this->addResult(claim, FailureReason::ClaimUnavailable, Outcome::NotRun);
        return;
    }
    const QueryId id = request.query;
    context.emit(SetTimer {{TimerKind::Claim, id.value}, claim.claimDeadline});
    this->queryByKey.emplace(claim.key, id);
    const bool inserted = this->claims.emplace(id, std::move(claim)).second;
    ensure(inserted, Invariant::OneAnswerPerRequest);
    this->queue.push_back(id);
    this->startOperations(context);
}

/// The id contains the time too, because a restarted instance may have the same name and the same
/// random seed.
std::string Claims::nextClaimId(Context &context) const
{
    return this->self.value + ":" + std::to_string(context.wall.time_since_epoch().count()) + ":"
            + std::to_string(++context.ids.last) + ":" + std::to_string(context.random());
}

void Claims::startOperations(Context &context)
{
    const double memberRate = this->cellWritesPerSecond / static_cast<double>(this->members);
    const double burst = std::max(1.0, memberRate * claimWriteFraction * burstSeconds);
    bool blocked = false;
    while (!this->queue.empty() && this->operations.size() < maxConcurrentTransactions) {
        const auto lease = this->leases.lease(context);
        blocked = !lease
                || !this->writes.tryTake(memberRate * claimWriteFraction, burst, context.now);
        if (blocked) {
            break;
        }
        this->startBatch(*lease, context);
    }
    auto next = this->finalizer.startDue(memberRate * (1.0 - claimWriteFraction),
                                         this->times.retention, context);
    if (blocked) {
        next = std::min(next.value_or(Instant::max()), context.now + blockedRetryDelay);
    }
    if (next) {
        context.emit(SetTimer {{TimerKind::Claim, queueTimerKey}, *next});
    }
}

void Claims::startBatch(std::int64_t lease, Context &context)
{
    StoreTransaction transaction;
    std::vector<QueryId> batch;
    Instant latest = context.now;
    while (!this->queue.empty() && batch.size() < batchSize) {
        Claim &claim = this->claims.at(this->queue.front());
        this->queue.pop_front();
        claim.phase = ClaimPhase::Writing;
        claim.lease = lease;
        transaction.compares.push_back({claim.key, 0});
        transaction.puts.push_back({claim.key, writeClaim(claim.record), lease});
        transaction.readsOnFailure.push_back({claim.key, ""});
        latest = std::max(latest, claim.claimDeadline);
        batch.push_back(claim.request.query);
    }
    const Duration timeout =
            std::clamp(latest - context.now, minOperationTimeout, maxOperationTimeout);
    StoreOperation operation {context.ids.next<StoreOpId>()};
    operation.request = std::move(transaction);
    operation.timeout = timeout;
    this->operations.emplace(operation.operation, std::move(batch));
    context.emit(std::move(operation));
}

bool Claims::onStoreReply(const StoreReplied &reply, Context &context)
{
    bool handled = true;
    const auto found = this->operations.find(reply.operation);
    if (found != this->operations.end()) {
        std::vector<QueryId> batch = std::move(found->second);
        this->operations.erase(found);
        this->onBatchReply(std::move(batch), reply, context);
    } else {
        handled = this->leases.onStoreReply(reply, context)
                || this->finalizer.onStoreReply(reply, context);
    }
    if (handled) {
        this->startOperations(context);
    }
    return handled;
}

void Claims::onBatchReply(std::vector<QueryId> batch, const StoreReplied &reply, Context &context)
{
    for (const QueryId id : batch) {
        const auto found = this->claims.find(id);
        // The claim was abandoned meanwhile; the finalizer reads it back.
        if (found == this->claims.end() || found->second.phase != ClaimPhase::Writing) {
            continue;
        }
        Claim &claim = found->second;
        if (reply.status == StoreStatus::Ok) {
            this->onTransactionReply(claim, reply, context);
            continue;
        }
        this->onFailed(claim, reply.status, context);
    }
}

void Claims::onFailed(Claim &claim, StoreStatus status, Context &context)
{
    claim.phase = ClaimPhase::Queued;
    if (status != StoreStatus::Unavailable) {
        claim.uncertain = true;
    } else if (++claim.failures >= maxFailures) {
        this->refuse(claim.request.query, FailureReason::ClaimUnavailable, context);
        return;
    }
    // The same claim is written again, so that an earlier write that took effect is recognized as
    // this instance's own.
    this->requeue(claim, context);
}

void Claims::onTransactionReply(Claim &claim, const StoreReplied &reply, Context &context)
{
    if (reply.succeeded) {
        this->markHeld(claim, reply.storeRevision, context);
        return;
    }
    const auto found = std::ranges::find(reply.values, claim.key, &StoreKeyValue::key);
    if (found != reply.values.end()) {
        this->onExistingRecord(claim, *found, context);
    } else {
        // Another claim of the transaction already existed, so this one was not written.
        this->requeue(claim, context);
    }
}

void Claims::onExistingRecord(Claim &claim, const StoreKeyValue &found, Context &context)
{
    const auto record = parseClaim(found.value);
    if (record && record->claimId == claim.record.claimId) {
        // An earlier write took effect and its reply was lost.
        context.log(LogEvent::ClaimResolved, {{"key", claim.key}, {"ours", "true"}});
        this->markHeld(claim, found.modRevision, context);
        return;
    }
    claim.phase = ClaimPhase::Queued;
    claim.uncertain = false;
    this->refuseAlreadyClaimed(claim.request.query, record ? record->outcome : std::nullopt,
                               context);
}

void Claims::markHeld(Claim &claim, std::uint64_t modRevision, Context &context)
{
    claim.modRevision = modRevision;
    // The times compared are those of the current event. A process that was paused since it started
    // the write detects here that the claim's deadline has passed and that the claim may have
    // expired meanwhile.
    const Duration elapsed = context.now - claim.arrivedAt;
    const Duration age =
            std::max(context.wall - *claim.request.issuedAt, claim.ageAtArrival + elapsed);
    if (context.now >= claim.claimDeadline
        || age > this->times.maximumAge + this->times.sendWindow) {
        this->refuse(claim.request.query, FailureReason::ClaimUnavailable, context);
        return;
    }
    ensure(claim.phase == ClaimPhase::Writing, Invariant::AtMostOneSend);
    ensure(elapsed <= this->times.sendWindow, Invariant::AtMostOneSend);
    claim.phase = ClaimPhase::Held;
    this->addResult(claim, FailureReason::None, Outcome::Unknown);
}

void Claims::requeue(Claim &claim, Context &context)
{
    if (context.now >= claim.claimDeadline) {
        this->refuse(claim.request.query, FailureReason::ClaimUnavailable, context);
        return;
    }
    claim.phase = ClaimPhase::Queued;
    this->queue.push_back(claim.request.query);
}

void Claims::refuse(QueryId query, FailureReason reason, Context &context)
{
    const Claim &claim = this->claims.at(query);
    this->addResult(claim, reason, Outcome::NotRun);
    this->remove(query, context);
}

void Claims::refuseAlreadyClaimed(QueryId query, std::optional<Outcome> firstOutcome,
                                  Context &context)
{
    const Claim &claim = this->claims.at(query);
    const bool ran = firstOutcome && firstOutcome != Outcome::Unknown;
    this->addResult(claim, FailureReason::AlreadyClaimed, ran ? Outcome::Failed : Outcome::Unknown,
                    firstOutcome);
    this->remove(query, context);
}

void Claims::remove(QueryId query, Context &context)
{
    const auto found = this->claims.find(query);
    const Claim &claim = found->second;
    ensure(claim.phase != ClaimPhase::Held, Invariant::AtMostOneSend);
    const bool written = claim.modRevision != 0;
    if (written || claim.uncertain || claim.phase == ClaimPhase::Writing) {
        if (!written && claim.uncertain) {
            context.log(LogEvent::ClaimUncertain, {{"key", claim.key}});
        }
        this->finalizer.release(claim, context);
    }
    std::erase(this->queue, query);
    this->queryByKey.erase(claim.key);
    this->claims.erase(found);
}

void Claims::addResult(const Claim &claim, FailureReason reason, Outcome outcome,
                       std::optional<Outcome> firstOutcome)
{
    this->results.push_back(
            {claim.request, claim.entry, claim.arrivedAt, reason, outcome, firstOutcome});
}

void Claims::onTimer(std::uint64_t key, Context &context)
{
    const auto found = this->claims.find(QueryId(key));
    if (key != queueTimerKey && found != this->claims.end()
        && found->second.phase != ClaimPhase::Held && context.now >= found->second.claimDeadline) {
        this->refuse(QueryId(key), FailureReason::ClaimUnavailable, context);
    }
    this->startOperations(context);
}

void Claims::onCallerGone(QueryId query, Context &context)
{
    const auto found = this->claims.find(query);
    if (found != this->claims.end() && found->second.phase != ClaimPhase::Held) {
        this->refuse(query, FailureReason::ClaimUnavailable, context);
        this->startOperations(context);
    }
}

void Claims::onAnswered(QueryId query, Outcome outcome, Context &context)
{
    const auto found = this->claims.find(query);
    if (found == this->claims.end() || found->second.phase != ClaimPhase::Held) {
        return;
    }
    const Claim &claim = found->second;
    if (outcome == Outcome::NotRun) {
        this->finalizer.release(claim, context);
    } else if (outcome != Outcome::Unknown) {
        this->finalizer.recordOutcome(claim, outcome, context);
    }
    this->queryByKey.erase(claim.key);
    this->claims.erase(found);
    this->startOperations(context);
}

std::vector<ClaimResult> Claims::takeResults()
{
    return std::exchange(this->results, {});
}

std::size_t Claims::pending() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->claims, [](const auto &item) { return item.second.phase != ClaimPhase::Held; }));
}

} // namespace lagoondeck
