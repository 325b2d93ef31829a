// The part of StoreSync that exchanges updates and state requests with the other members.

#include "logic/gateway/store_sync.h"
#include "logic/replication/relay_tree.h"
#include "logic/replication/state_digest.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>
#include <variant>
#include <xxhash.h>

namespace lagoondeck {

namespace {

/// Members beyond this rank wait no longer than a member of this rank.
constexpr std::ptrdiff_t maxRank = 3;
/// The minimum time between two full reads caused by digests that differ.
constexpr Duration digestMismatchInterval = std::chrono::seconds(5);
/// Members that hear of a restored store from another member read it within this time.
constexpr Duration maxReadSpread = std::chrono::milliseconds(300);
constexpr Duration stateRequestInterval = std::chrono::milliseconds(500);
/// Updates without a change are relayed again after this long, because they show that a member
/// still calls the store. Shorter than the pause between two calls to the store.
constexpr Duration minRelayInterval = std::chrono::milliseconds(200);

} // namespace

std::ptrdiff_t StoreSync::rank() const
{
    return std::distance(this->memberTable.begin(),
                         this->memberTable.lower_bound(this->self.value));
}

Duration StoreSync::takeoverDelay() const
{
    return this->pollInterval + this->rankDelay * std::min(this->rank(), maxRank);
}

bool StoreSync::isStateChange(const StoreChange &change, Instant now) const
{
    const auto *record = std::get_if<TargetRecord>(&change.content);
    const auto known = this->knownState.find(change.key);
    if (change.kind == StoreKeyKind::Other) {
        return false;
    }
    if (record == nullptr || known == this->knownState.end()) {
        // A removed key that is back must be sent even if its target was not dropped here yet:
        // another member may have dropped it.
        return true;
    }
    const auto *previous = std::get_if<TargetRecord>(&known->second.content);
    if (previous == nullptr || known->second.revision > this->position.revision) {
        // A full read returns changes that are newer than its position, and members at this
        // position don't know them.
        return true;
    }
    if (this->targets.coldTargetsKnown().isExtendedBy(*record, now)) {
        return true;
    }
    TargetRecord unchanged = *previous;
    unchanged.warmupLeft = record->warmupLeft;
    return unchanged != *record;
}

std::shared_ptr<StoreUpdate> StoreSync::makeUpdate(const StoreAnswer &answer, Instant now) const
{
    auto update = std::make_shared<StoreUpdate>();
    update->history = this->position.history;
    update->fromRevision = this->position.revision;
    update->toRevision = answer.revision;
    // A later change of a key may bring back what was known before the first one.
    std::unordered_set<std::string> changedKeys;
    for (const StoreChange &change : answer.changes) {
        if (changedKeys.contains(change.key) || this->isStateChange(change, now)) {
            changedKeys.insert(change.key);
            update->changes.push_back(change);
        }
    }
    return update;
}

void StoreSync::sendToMembers(const std::shared_ptr<StoreUpdate> &update, GatewayContext &context)
{
    SendStoreUpdate effect {this->relayReceivers(this->self), update};
    if (effect.receivers.empty() || update->toRevision < update->fromRevision) {
        return;
    }
    update->origin = this->self;
    update->removalGrace = std::max<Duration>(this->removalGraceUntil - context.now, Duration(0));
    update->digest = this->digest();
    update->evacuationDigest = this->evacuationDigest();
    update->configVersion = this->configVersion();
    context.emit(std::move(effect));
}

std::vector<std::string> StoreSync::otherMembers() const
{
    std::vector<std::string> others;
    for (const auto &[id, member] : this->memberTable) {
        if (member.peerAddress != this->ownAddress) {
            others.push_back(member.peerAddress);
        }
    }
    return others;
}

std::vector<std::string> StoreSync::relayReceivers(const InstanceId &origin) const
{
    std::vector<std::string> members;
    std::vector<std::size_t> domains;
    std::map<FailureDomain, std::size_t> domainNumbers;
    for (const auto &[id, member] : this->memberTable) {
        members.push_back(member.peerAddress);
        domains.push_back(
                domainNumbers.emplace(member.failureDomain, domainNumbers.size()).first->second);
    }
    const auto positionOf = [this](const std::string &id) {
        return static_cast<std::size_t>(
                std::distance(this->memberTable.begin(), this->memberTable.lower_bound(id)));
    };
    std::vector<std::string> receivers;
    for (const std::size_t position :
         relayChildren(domains, positionOf(origin.value), positionOf(this->self.value))) {
        if (members[position] != this->ownAddress) {
            receivers.push_back(members[position]);
        }
    }
    return receivers;
}

void StoreSync::relay(const StoreUpdate &update, GatewayContext &context)
{
    // While the members' views of the membership differ, an update may arrive more than once.
    const StorePosition end {update.history, update.toRevision};
    const bool alreadyRelayed = end < this->relayedPosition
            || (end == this->relayedPosition && context.now - this->relayedAt < minRelayInterval);
    if (update.origin.value.empty() || update.origin == this->self || alreadyRelayed) {
        return;
    }
    this->relayedPosition = end;
    this->relayedAt = context.now;
    auto forwarded = std::make_shared<StoreUpdate>(update);
    if (!this->fullRead && update.history == this->position.history
        && update.fromRevision <= this->position.revision) {
        // Several members may have called the store at once: changes that were already relayed are
        // not sent again.
        forwarded->fromRevision = std::min(this->position.revision, update.toRevision);
        std::erase_if(forwarded->changes, [this](const StoreChange &change) {
            return change.revision <= this->position.revision;
        });
    }
    SendStoreUpdate effect {this->relayReceivers(update.origin), std::move(forwarded)};
    if (!effect.receivers.empty()) {
        context.emit(std::move(effect));
    }
}

void StoreSync::onUpdate(const StoreUpdateReceived &event, GatewayContext &context)
{
    const StoreUpdate &update = event.update;
    if (update.isStateRequest) {
        this->answerStateRequest(event, context);
        return;
    }
    if (update.history < this->knownHistory) {
        // The sender has not noticed yet that the store was restored.
        return;
    }
    if (this->noticeHistory(update.history, context)) {
        // All members notice it now, and the store must serve them all.
        std::uniform_int_distribution<Duration::rep> spread(0, maxReadSpread.count());
        this->nextCallAt = context.now + Duration(spread(context.random));
        if (this->health.isUnavailable()) {
            this->stateRequestAt = context.now;
        }
    }
    if (update.isFullState) {
        this->applyFullState(update, context);
        return;
    }
    this->relay(update, context);
    if (this->fullRead || update.history != this->position.history
        || update.fromRevision > this->position.revision
        || update.toRevision < this->position.revision) {
        // Changes in between were missed, or the sender knows less than this instance.
        this->requestMissedChanges(event, context);
        return;
    }
    this->removalGraceUntil = std::max(this->removalGraceUntil, context.now + update.removalGrace);
    this->applyNewer(update.changes, context);
    this->hasMissedChanges = false;
    this->position.revision = update.toRevision;
    this->confirmedAt = context.now;
    if (!this->call && !this->health.isUnavailable() && this->rank() > 0) {
        this->nextCallAt = context.now + this->takeoverDelay();
    }
    this->checkDigest(event, context);
    this->requestNewerConfig(event, context);
}

void StoreSync::requestMissedChanges(const StoreUpdateReceived &event, GatewayContext &context)
{
    const bool isGap = !this->fullRead && event.update.history == this->position.history
            && event.update.fromRevision > this->position.revision;
    if (!isGap || context.now < this->missedRequestAt) {
        return;
    }
    this->hasMissedChanges = true;
    this->missedRequestAt = context.now + stateRequestInterval;
    auto request = std::make_shared<StoreUpdate>();
    request->isStateRequest = true;
    request->history = this->position.history;
    request->toRevision = this->position.revision;
    this->describeState(*request);
    context.emit(SendStoreUpdate {{event.sender}, std::move(request)});
}

void StoreSync::requestNewerConfig(const StoreUpdateReceived &event, GatewayContext &context)
{
    if (event.update.configVersion <= this->configVersion()
        || context.now < this->configRequestAt) {
        return;
    }
    this->configRequestAt = context.now + stateRequestInterval;
    auto request = std::make_shared<StoreUpdate>();
    request->isStateRequest = true;
    this->describeState(*request);
    context.emit(SendStoreUpdate {{event.sender}, std::move(request)});
}

std::uint64_t StoreSync::digest() const
{
    std::uint64_t sum = 1;
    for (const auto &[key, item] : this->knownState) {
        if (item.kind == StoreKeyKind::Quarantine || item.kind == StoreKeyKind::Evacuation) {
            // Members of an older version don't keep these keys.
            continue;
        }
        sum += contentHash(item);
    }
    return sum;
}

std::uint64_t StoreSync::evacuationDigest() const
{
    std::uint64_t sum = 1;
    for (const auto &[key, item] : this->knownState) {
        sum += item.kind == StoreKeyKind::Evacuation ? XXH3_64bits(key.data(), key.size()) : 0;
    }
    return sum;
}

void StoreSync::checkDigest(const StoreUpdateReceived &event, GatewayContext &context)
{
    const StoreUpdate &update = event.update;
    const auto differs = [](std::uint64_t theirs, std::uint64_t own) {
        return theirs != 0 && theirs != own;
    };
    const bool evacuationsDiffer = differs(update.evacuationDigest, this->evacuationDigest());
    if ((!evacuationsDiffer && !differs(update.digest, this->digest()))
        || context.now - this->digestMismatchAt < digestMismatchInterval) {
        return;
    }
    if (evacuationsDiffer) {
        // Either side may have missed a change that a member of an older version left out. The
        // sender gets no updates that would show it, so it is told.
        auto comparison = std::make_shared<StoreUpdate>();
        comparison->history = this->position.history;
        comparison->fromRevision = comparison->toRevision = this->position.revision;
        comparison->evacuationDigest = this->evacuationDigest();
        context.emit(SendStoreUpdate {{event.sender}, std::move(comparison)});
    }
    this->digestMismatchAt = context.now;
    context.log(LogEvent::BeliefsDiffer,
                {numberField("storeRevision", static_cast<std::int64_t>(update.toRevision))});
    this->call.reset();
    this->startFullRead();
    this->nextCallAt = context.now;
    this->callStore(context);
}

void StoreSync::applyFullState(const StoreUpdate &update, GatewayContext &context)
{
    const StorePosition end {update.history, update.toRevision};
    const bool isStoreAway = !this->targetsKnown || this->health.isUnavailable();
    if ((!isStoreAway && !this->hasMissedChanges) || end < this->position) {
        for (const StoreChange &change : update.changes) {
            if (change.kind == StoreKeyKind::Config) {
                this->applyConfig(change, context);
            }
        }
        return;
    }
    this->removalGraceUntil = std::max(this->removalGraceUntil, context.now + update.removalGrace);
    std::unordered_set<std::string> listedKeys;
    for (const StoreChange &change : update.changes) {
        this->apply(change, ChangeSource::Listing, context);
        listedKeys.insert(change.key);
    }
    if (update.isPartialState) {
        // The rest is the same at the sender.
        for (const auto &[key, item] : this->knownState) {
            if (item.kind == StoreKeyKind::Config
                || std::ranges::find(update.buckets, bucketOf(key)) == update.buckets.end()) {
                listedKeys.insert(key);
            }
        }
    }
    if (update.evacuationDigest == 0) {
        // A member of an older version does not keep these keys.
        for (const auto &[key, item] : this->knownState) {
            if (item.kind == StoreKeyKind::Evacuation) {
                listedKeys.insert(key);
            }
        }
    }
    this->position = end;
    this->confirmedAt = context.now;
    this->removeUnlisted(listedKeys, context);
    this->hasMissedChanges = false;
    const Instant previousCallAt = this->nextCallAt;
    this->finishFullRead(context);
    // The store is called as scheduled before; state requests go on until it answers.
    this->nextCallAt = previousCallAt;
    if (isStoreAway) {
        this->stateRequestAt = context.now + stateRequestInterval;
    }
}

void StoreSync::answerStateRequest(const StoreUpdateReceived &event, GatewayContext &context)
{
    const StorePosition known {event.update.history, event.update.toRevision};
    if (!this->isReady() || this->fullRead || this->position <= known) {
        return;
    }
    auto update = std::make_shared<StoreUpdate>();
    update->history = this->position.history;
    update->toRevision = this->position.revision;
    update->isFullState = true;
    update->acceptsCompression = event.update.acceptsCompression;
    update->evacuationDigest = this->evacuationDigest();
    update->removalGrace = std::max<Duration>(this->removalGraceUntil - context.now, Duration(0));
    if (event.update.bucketDigests.size() == stateBuckets) {
        update->isPartialState = true;
        const std::vector<std::uint64_t> digests = bucketDigests(this->knownState);
        for (std::uint32_t bucket = 0; bucket < stateBuckets; ++bucket) {
            if (digests[bucket] != event.update.bucketDigests[bucket]) {
                update->buckets.push_back(bucket);
            }
        }
    }
    for (const auto &[key, item] : this->knownState) {
        const bool isNeeded = !update->isPartialState
                || std::ranges::find(update->buckets, bucketOf(key)) != update->buckets.end();
        if (item.kind != StoreKeyKind::Config && isNeeded) {
            update->changes.push_back(item);
        }
    }
    if (!update->isPartialState || event.update.configVersion < this->configVersion()) {
        update->changes.push_back(this->configInForce);
    }
    context.emit(SendStoreUpdate {{event.sender}, std::move(update)});
}

void StoreSync::describeState(StoreUpdate &request) const
{
    if (this->targetsKnown) {
        request.bucketDigests = bucketDigests(this->knownState);
        request.configVersion = this->configVersion();
    }
}

void StoreSync::requestState(GatewayContext &context)
{
    this->stateRequestAt = context.now + stateRequestInterval;
    std::vector<std::string> recipients = this->otherMembers();
    recipients.insert(recipients.end(), this->seeds.begin(), this->seeds.end());
    if (recipients.empty()) {
        return;
    }
    auto update = std::make_shared<StoreUpdate>();
    update->isStateRequest = true;
    update->history = this->position.history;
    update->toRevision = this->position.revision;
    this->describeState(*update);
    std::uniform_int_distribution<std::size_t> pick(0, recipients.size() - 1);
    context.emit(SendStoreUpdate {{recipients[pick(context.random)]}, std::move(update)});
}

} // namespace lagoondeck
