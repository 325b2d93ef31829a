#include "logic/claims/claims.h"

#include "logic/context.h"
#include "logic/invariant.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// The timer key of the node's own step; queries are numbered from 1.
constexpr std::uint64_t stepKey = 0;
/// The part of a request's time that its claim may take.
constexpr double claimPart = 0.6;
constexpr Duration longestOperation = std::chrono::milliseconds(250);
constexpr Duration shortestOperation = std::chrono::milliseconds(5);
constexpr Duration blockedRetry = std::chrono::milliseconds(10);
/// A store that is down answers at once that it is; more tries would only load this node.
constexpr std::uint32_t mostFailures = 2;
constexpr std::size_t batchSize = 64;
constexpr std::size_t mostTransactionsAtOnce = 2;
/// Claims beyond this are refused at once: they would not be written in their time.
constexpr std::size_t mostQueued = 1024;
/// The writes are for claims by this part, the rest for settling them.
constexpr double claimShare = 0.75;
constexpr double burstSeconds = 1.0;

Duration timeFor(const CallerRequest &request, const CatalogueEntry &entry, Duration sendWindow)
{
    const Duration asked =
            request.budget.count() > 0 ? std::min(request.budget, entry.deadline) : entry.deadline;
    return std::min(asked, sendWindow);
}

} // namespace

Claims::Claims(const Settings &settings)
    : self(settings.id), times(ClaimTimes::of(settings.claimRetention)),
      cellWritesPerSecond(settings.claimWritesPerSecond),
      fewestMembers(std::max<std::size_t>(1, settings.expectedInstances)), members(fewestMembers),
      leases(times)
{ }

void Claims::setMembers(std::size_t count)
{
    this->members = std::max(count, this->fewestMembers);
}

FailureReason Claims::unacceptable(const CallerRequest &request, WallTime wall) const
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
    ensure(this->unacceptable(request, context.wall) == FailureReason::None,
           Invariant::AtMostOneSend);
    Claim claim;
    claim.request = request;
    claim.entry = entry;
    claim.arrivedAt = context.now;
    claim.ageAtArrival = context.wall - *request.issuedAt;
    const Duration time = timeFor(request, entry, this->times.sendWindow);
    claim.request.budget = time;
    claim.giveUpAt = context.now + Duration(static_cast<Duration::rep>(time.count() * claimPart));
    claim.key = claimKey(request.caller, request.requestId);
    claim.record = {this->self, this->nextClaimId(context), std::nullopt};
    if (this->byKey.contains(claim.key)) {
        this->endWith(claim, FailureReason::AlreadyClaimed, Outcome::Unknown);
        return;
    }
    if (this->queue.size() >= mostQueued) {
        this->endWith(claim, FailureReason::ClaimUnavailable, Outcome::NotRun);
        return;
    }
    const QueryId id = request.query;
    context.emit(SetTimer {{TimerKind::Claim, id.value}, claim.giveUpAt});
    this->byKey.emplace(claim.key, id);
    const bool inserted = this->claims.emplace(id, std::move(claim)).second;
    ensure(inserted, Invariant::OneAnswerPerRequest);
    this->queue.push_back(id);
    this->pump(context);
}

/// The name of a restarted instance may come again and its random numbers may be seeded alike, so
/// the time is in the id too.
std::string Claims::nextClaimId(Context &context) const
{
    return this->self.value + ":" + std::to_string(context.wall.time_since_epoch().count()) + ":"
            + std::to_string(++context.ids.last) + ":" + std::to_string(context.random());
}

void Claims::pump(Context &context)
{
    const double share = this->cellWritesPerSecond / static_cast<double>(this->members);
    const double burst = std::max(1.0, share * claimShare * burstSeconds);
    bool blocked = false;
    while (!this->queue.empty() && this->operations.size() < mostTransactionsAtOnce) {
        const auto lease = this->leases.lease(context);
        blocked = !lease || !this->writes.take(share * claimShare, burst, context.now);
        if (blocked) {
            break;
        }
        this->startBatch(*lease, context);
    }
    auto next = this->settler.pump(share * (1.0 - claimShare), this->times.retention, context);
    if (blocked) {
        next = std::min(next.value_or(Instant::max()), context.now + blockedRetry);
    }
    if (next) {
        context.emit(SetTimer {{TimerKind::Claim, stepKey}, *next});
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
        claim.phase = ClaimPhase::Asked;
        claim.lease = lease;
        transaction.compares.push_back({claim.key, 0});
        transaction.puts.push_back({claim.key, writeClaim(claim.record), lease});
        transaction.readsOnFailure.push_back({claim.key, ""});
        latest = std::max(latest, claim.giveUpAt);
        batch.push_back(claim.request.query);
    }
    const Duration timeout = std::clamp(latest - context.now, shortestOperation, longestOperation);
    StoreOperation operation {context.ids.next<StoreOpId>()};
    operation.request = std::move(transaction);
    operation.timeout = timeout;
    this->operations.emplace(operation.operation, std::move(batch));
    context.emit(std::move(operation));
}

bool Claims::onStoreReply(const StoreReplied &reply, Context &context)
{
    bool own = true;
    const auto found = this->operations.find(reply.operation);
    if (found != this->operations.end()) {
        std::vector<QueryId> batch = std::move(found->second);
        this->operations.erase(found);
        this->onBatchReply(std::move(batch), reply, context);
    } else {
        own = this->leases.onStoreReply(reply, context)
                || this->settler.onStoreReply(reply, context);
    }
    if (own) {
        this->pump(context);
    }
    return own;
}

void Claims::onBatchReply(std::vector<QueryId> batch, const StoreReplied &reply, Context &context)
{
    for (const QueryId id : batch) {
        const auto found = this->claims.find(id);
        // Given up meanwhile; the settler reads it back.
        if (found == this->claims.end() || found->second.phase != ClaimPhase::Asked) {
            continue;
        }
        Claim &claim = found->second;
        if (reply.status == StoreStatus::Ok) {
            this->onCompared(claim, reply, context);
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
    } else if (++claim.failures >= mostFailures) {
        this->refuse(claim.request.query, FailureReason::ClaimUnavailable, context);
        return;
    }
    // The same claim is written again: an earlier write that took effect is then found as ours.
    this->queueAgain(claim, context);
}

void Claims::onCompared(Claim &claim, const StoreReplied &reply, Context &context)
{
    if (reply.succeeded) {
        this->hold(claim, reply.storeRevision, context);
        return;
    }
    const auto found = std::ranges::find(reply.values, claim.key, &StoreKeyValue::key);
    if (found != reply.values.end()) {
        this->onFound(claim, *found, context);
    } else {
        // Another claim of the transaction was taken; this one was not written.
        this->queueAgain(claim, context);
    }
}

void Claims::onFound(Claim &claim, const StoreKeyValue &found, Context &context)
{
    const auto record = parseClaim(found.value);
    if (record && record->claimId == claim.record.claimId) {
        // An earlier try took effect and its reply was lost.
        context.log(LogEvent::ClaimResolved, {{"key", claim.key}, {"ours", "true"}});
        this->hold(claim, found.modRevision, context);
        return;
    }
    claim.phase = ClaimPhase::Queued;
    claim.uncertain = false;
    this->refuseClaimed(claim.request.query, record ? record->outcome : std::nullopt, context);
}

void Claims::hold(Claim &claim, std::uint64_t modRevision, Context &context)
{
    claim.modRevision = modRevision;
    // The present is that of this very event: a process that was paused since it asked sees here
    // that its time is over, and the claim may have ended meanwhile.
    const Duration elapsed = context.now - claim.arrivedAt;
    const Duration age =
            std::max(context.wall - *claim.request.issuedAt, claim.ageAtArrival + elapsed);
    if (context.now >= claim.giveUpAt || age > this->times.maximumAge + this->times.sendWindow) {
        this->refuse(claim.request.query, FailureReason::ClaimUnavailable, context);
        return;
    }
    ensure(claim.phase == ClaimPhase::Asked, Invariant::AtMostOneSend);
    ensure(elapsed <= this->times.sendWindow, Invariant::AtMostOneSend);
    claim.phase = ClaimPhase::Held;
    this->endWith(claim, FailureReason::None, Outcome::Unknown);
}

void Claims::queueAgain(Claim &claim, Context &context)
{
    if (context.now >= claim.giveUpAt) {
        this->refuse(claim.request.query, FailureReason::ClaimUnavailable, context);
        return;
    }
    claim.phase = ClaimPhase::Queued;
    this->queue.push_back(claim.request.query);
}

void Claims::refuse(QueryId query, FailureReason reason, Context &context)
{
    const Claim &claim = this->claims.at(query);
    this->endWith(claim, reason, Outcome::NotRun);
    this->drop(query, context);
}

void Claims::refuseClaimed(QueryId query, std::optional<Outcome> firstOutcome, Context &context)
{
    const Claim &claim = this->claims.at(query);
    const bool ran = firstOutcome && firstOutcome != Outcome::Unknown;
    this->endWith(claim, FailureReason::AlreadyClaimed, ran ? Outcome::Failed : Outcome::Unknown,
                  firstOutcome);
    this->drop(query, context);
}

void Claims::drop(QueryId query, Context &context)
{
    const auto found = this->claims.find(query);
    const Claim &claim = found->second;
    ensure(claim.phase != ClaimPhase::Held, Invariant::AtMostOneSend);
    const bool written = claim.modRevision != 0;
    if (written || claim.uncertain || claim.phase == ClaimPhase::Asked) {
        if (!written && claim.uncertain) {
            context.log(LogEvent::ClaimUncertain, {{"key", claim.key}});
        }
        this->settler.release(claim, context);
    }
    std::erase(this->queue, query);
    this->byKey.erase(claim.key);
    this->claims.erase(found);
}

void Claims::endWith(const Claim &claim, FailureReason reason, Outcome outcome,
                     std::optional<Outcome> firstOutcome)
{
    this->ends.push_back(
            {claim.request, claim.entry, claim.arrivedAt, reason, outcome, firstOutcome});
}

void Claims::onTimer(std::uint64_t key, Context &context)
{
    const auto found = this->claims.find(QueryId(key));
    if (key != stepKey && found != this->claims.end() && found->second.phase != ClaimPhase::Held
        && context.now >= found->second.giveUpAt) {
        this->refuse(QueryId(key), FailureReason::ClaimUnavailable, context);
    }
    this->pump(context);
}

void Claims::onCallerGone(QueryId query, Context &context)
{
    const auto found = this->claims.find(query);
    if (found != this->claims.end() && found->second.phase != ClaimPhase::Held) {
        this->refuse(query, FailureReason::ClaimUnavailable, context);
        this->pump(context);
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
        this->settler.release(claim, context);
    } else if (outcome != Outcome::Unknown) {
        this->settler.noteOutcome(claim, outcome, context);
    }
    this->byKey.erase(claim.key);
    this->claims.erase(found);
    this->pump(context);
}

std::vector<ClaimEnd> Claims::takeEnds()
{
    return std::exchange(this->ends, {});
}

std::size_t Claims::pending() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->claims, [](const auto &item) { return item.second.phase != ClaimPhase::Held; }));
}

} // namespace lagoondeck
