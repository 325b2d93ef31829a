#include "logic/gateway/store_sync.h"

#include "core/address.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace lagoondeck {

namespace {

/// The poll interval as a fraction of the maximum reaction time. The remaining time is left for the
/// members that take over and for the transfer of the answer.
constexpr int pollIntervalParts = 1;
constexpr int reactionTimeParts = 2;
/// The connection of a pending watch may have broken unnoticed, so it is not trusted for longer.
constexpr Duration maxPollInterval = std::chrono::seconds(3);
/// Delays the next watch so that changes in quick succession arrive in one answer.
constexpr Duration pollPause = std::chrono::milliseconds(300);
constexpr Duration callTimeout = std::chrono::milliseconds(1500);
/// An instance without a configuration requests the state from a member when the store has not
/// answered for this long.
constexpr Duration firstStateRequestDelay = std::chrono::milliseconds(300);
constexpr Duration initialBackoff = std::chrono::milliseconds(150);
constexpr Duration maxBackoff = std::chrono::milliseconds(1000);
/// Each member waits longer than the one before it in name order until it calls the store itself,
/// by a fifteenth of the maximum reaction time. With three such delays, a quarter of the reaction
/// time is left for a slow answer and for the members that relay it.
constexpr int rankDelayDivisor = 15;
/// An instance without a configuration can't serve requests, so it does not wait long for a store
/// that fails to answer. The timeout still covers a slow store, which takes a third of a second.
constexpr Duration callTimeoutWithoutConfig = std::chrono::milliseconds(600);
constexpr Duration maxBackoffWithoutConfig = std::chrono::milliseconds(200);
/// Entries that expired during a store outage are registered again within about two seconds after
/// the store is back.
constexpr Duration recoveryGrace = std::chrono::milliseconds(2300);

} // namespace

StoreSync::StoreSync(const GatewaySettings &settings, TargetRegistry &targets)
    : targets(targets), self(settings.id), ownAddress(settings.peerAddress),
      pollInterval(std::min(settings.maxReactionTime * pollIntervalParts / reactionTimeParts,
                            maxPollInterval)),
      rankDelay(settings.maxReactionTime / rankDelayDivisor)
{
    // The settings contain the seeds' control ports. The peer port is the same on all machines.
    const auto ownPeer = parseAddress(settings.peerAddress);
    for (const std::string &seed : settings.seeds) {
        const auto address = parseAddress(seed);
        if (ownPeer && address && address->host != ownPeer->host) {
            this->seeds.push_back(address->host + ":" + std::to_string(ownPeer->port));
        }
    }
}

void StoreSync::start(GatewayContext &context)
{
    this->nextCallAt = context.now;
    this->stateRequestAt = context.now + firstStateRequestDelay;
    this->callStore(context);
}

void StoreSync::startFullRead()
{
    this->fullRead = FullRead();
}

void StoreSync::callStore(GatewayContext &context)
{
    if (this->call || context.now < this->nextCallAt) {
        return;
    }
    this->call = {context.ids.next<StoreOpId>(), this->knownHistory};
    this->nextCallAt = Instant::max();
    StoreCallBody body;
    if (this->fullRead) {
        this->call->readsPage = true;
        this->call->afterKey = this->fullRead->lastKey;
        body = ReadStore {this->call->afterKey};
    } else {
        this->call->wait = this->watchWait();
        body = WatchStore {this->position.revision, this->call->wait};
    }
    const Duration timeout = this->isReady() ? callTimeout : callTimeoutWithoutConfig;
    context.emit(CallStore {this->call->operation, std::move(body), this->call->wait + timeout,
                            this->call->wait + this->answerTime.keptConnectionTimeout(timeout)});
}

void StoreSync::refresh(GatewayContext &context)
{
    if (!this->call) {
        this->nextCallAt = context.now;
        this->callStore(context);
    }
}

void StoreSync::onAnswer(const StoreAnswered &event, GatewayContext &context)
{
    if (!this->call || event.operation != this->call->operation) {
        return;
    }
    const RunningCall answered = *this->call;
    this->call.reset();
    this->noticeHistory(event.answer.history, context);
    switch (event.answer.status) {
    case StoreCallStatus::Done:
        this->unansweredOnKeptConnection = false;
        this->onDone(answered, event.answer, context);
        break;
    case StoreCallStatus::HistoryGone:
        this->unansweredOnKeptConnection = false;
        if (this->health.onAnswered()) {
            this->removalGraceUntil = context.now + recoveryGrace;
        }
        this->startFullRead();
        this->nextCallAt = context.now;
        break;
    default:
        if (event.answer.status == StoreCallStatus::NoAnswer && event.answer.onKeptConnection) {
            // The connection may be dead and the store available.
            this->unansweredOnKeptConnection = true;
            this->nextCallAt = context.now;
        } else {
            this->onFailure(event.answer.status, context);
        }
        break;
    }
    this->callStore(context);
}

void StoreSync::onDone(const RunningCall &call, const StoreAnswer &answer, GatewayContext &context)
{
    if (answer.history != 0 && answer.history < this->knownHistory) {
        // The store gave this answer before it was restored.
        this->nextCallAt = context.now + initialBackoff;
        return;
    }
    this->learnAnswerTime(call, answer);
    if (this->health.onAnswered()) {
        this->removalGraceUntil = context.now + recoveryGrace;
        context.log(LogEvent::StoreAvailable, {});
    }
    this->stateRequestAt = this->isReady() ? Instant::max() : this->stateRequestAt;
    if (call.readsPage && this->fullRead && call.afterKey == this->fullRead->lastKey) {
        this->confirmedAt = context.now;
        this->onPage(answer, context);
    } else if (!call.readsPage && !this->fullRead && call.history == this->knownHistory) {
        this->confirmedAt = context.now;
        this->onChanges(answer, context);
    } else {
        // The state has been replaced since the call was made.
        this->nextCallAt = context.now;
    }
}

void StoreSync::onHistory(std::uint64_t history, GatewayContext &context)
{
    if (this->noticeHistory(history, context)) {
        this->callStore(context);
    }
}

bool StoreSync::noticeHistory(std::uint64_t history, GatewayContext &context)
{
    if (history <= this->knownHistory) {
        return false;
    }
    const bool isFirst = this->knownHistory == 0 && this->position.revision == 0;
    this->knownHistory = history;
    if (isFirst) {
        return false;
    }
    context.log(
            LogEvent::StoreRestored,
            {numberField("history", static_cast<std::int64_t>(history)),
             numberField("revisionBefore", static_cast<std::int64_t>(this->position.revision))});
    this->removalGraceUntil = std::max(this->removalGraceUntil, context.now + recoveryGrace);
    this->withdrawnTargets.onStoreRestored(context.now + recoveryGrace);
    this->call.reset();
    this->startFullRead();
    this->nextCallAt = context.now;
    return true;
}

void StoreSync::learnAnswerTime(const RunningCall &call, const StoreAnswer &answer)
{
    // A watch that returns changes may have waited for them.
    if (call.wait == Duration(0) || answer.changes.empty()) {
        this->answerTime.onAnswered(std::max<Duration>(answer.elapsed - call.wait, Duration(0)));
    }
}

void StoreSync::onFailure(StoreCallStatus status, GatewayContext &context)
{
    if (this->health.onFailed()) {
        context.log(LogEvent::StoreUnavailable,
                    {{"verdict", std::to_string(static_cast<int>(status))}});
        this->stateRequestAt = context.now;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(this->health.failuresInRow() - 1, 3);
    const Duration backoff = std::min(initialBackoff * (1U << doublings),
                                      this->isReady() ? maxBackoff : maxBackoffWithoutConfig);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    this->nextCallAt = context.now
            + Duration(static_cast<Duration::rep>(static_cast<double>(backoff.count())
                                                  * jitter(context.random)));
}

void StoreSync::onPage(const StoreAnswer &answer, GatewayContext &context)
{
    FullRead &read = *this->fullRead;
    if (read.lastKey.empty()) {
        // The pages are not a snapshot: the watch from this position returns what has changed while
        // they were read.
        read.begin = {this->knownHistory, answer.revision};
    }
    for (const StoreChange &change : answer.changes) {
        this->apply(change, ChangeSource::Listing, context);
        read.listedKeys.insert(change.key);
    }
    if (answer.hasMore && !answer.lastKey.empty()) {
        read.lastKey = answer.lastKey;
        this->nextCallAt = context.now;
        return;
    }
    this->position = read.begin;
    this->hasReadStore = true;
    this->removeUnlisted(read.listedKeys, context);
    this->finishFullRead(context);
}

void StoreSync::finishFullRead(GatewayContext &context)
{
    this->fullRead.reset();
    this->targetsKnown = true;
    this->targets.onListed();
    this->nextCallAt = context.now + pollPause;
    this->stateRequestAt = Instant::max();
}

void StoreSync::onChanges(const StoreAnswer &answer, GatewayContext &context)
{
    const std::shared_ptr<StoreUpdate> update = this->makeUpdate(answer, context.now);
    this->applyNewer(answer.changes, context);
    this->sendToMembers(update, context);
    this->position.revision = std::max(this->position.revision, answer.revision);
    // The first member keeps calling the store; the others wait for its updates.
    this->nextCallAt = context.now + (this->rank() == 0 ? pollPause : this->takeoverDelay());
}

Duration StoreSync::watchWait() const
{
    if (this->health.isUnavailable() || this->unansweredOnKeptConnection || this->rank() > 0) {
        // Without a wait, a missing answer is noticed sooner. A later member calls the store only
        // when it has been without an update for long, on a connection that it has not used since.
        return Duration(0);
    }
    return std::max<Duration>(this->pollInterval - pollPause, pollPause);
}

void StoreSync::applyNewer(const std::vector<StoreChange> &changes, GatewayContext &context)
{
    // Changes that another member has sent in the meantime are not applied a second time, as the
    // keys may have changed since.
    for (const StoreChange &change : changes) {
        if (change.revision > this->position.revision) {
            this->apply(change, ChangeSource::Written, context);
        }
    }
}

void StoreSync::apply(const StoreChange &change, ChangeSource source, GatewayContext &context)
{
    if (change.removed) {
        this->knownState.erase(change.key);
    } else if (change.kind != StoreKeyKind::Other) {
        this->knownState.insert_or_assign(change.key, change);
    }
    switch (change.kind) {
    case StoreKeyKind::Config:
        this->applyConfig(change, context);
        break;
    case StoreKeyKind::Target:
        this->applyTarget(change, source, context);
        break;
    case StoreKeyKind::Member:
        this->applyMember(change);
        break;
    case StoreKeyKind::Quarantine:
        // A removal says nothing: the store may have lost the key.
        if (const auto *quarantine = std::get_if<QuarantineRecord>(&change.content)) {
            this->quarantines.push_back(*quarantine);
        }
        break;
    case StoreKeyKind::Evacuation:
        if (change.removed) {
            this->targets.endEvacuation(FailureDomain(change.id), context);
        } else {
            this->targets.beginEvacuation(FailureDomain(change.id), context);
        }
        break;
    case StoreKeyKind::Other:
        break;
    }
}

std::uint64_t StoreSync::configVersion() const
{
    return this->routeTable == nullptr ? 0 : this->routeTable->config()->version;
}

void StoreSync::applyConfig(const StoreChange &change, GatewayContext &context)
{
    const auto *config = std::get_if<RoutingConfigPtr>(&change.content);
    if (config == nullptr) {
        if (!change.removed) {
            context.log(LogEvent::CatalogueEntryRefused, {{"problem", change.problem}});
        }
        return;
    }
    if (this->routeTable != nullptr && (*config)->version <= this->routeTable->config()->version) {
        if ((*config)->version < this->routeTable->config()->version) {
            context.log(LogEvent::CatalogueWentBack,
                        {{"version", std::to_string((*config)->version)}});
        }
        return;
    }
    this->configInForce = change;
    this->routeTable = std::make_shared<const RouteTable>(*config);
    this->targets.setConfig(**config, context.now);
    context.log(LogEvent::CatalogueRevised,
                {{"version", std::to_string((*config)->version)},
                 {"storeRevision", std::to_string(change.revision)}});
}

void StoreSync::applyTarget(const StoreChange &change, ChangeSource source, GatewayContext &context)
{
    const auto *record = std::get_if<TargetRecord>(&change.content);
    if (record == nullptr) {
        // The key was removed, or its value was written by someone else and describes no usable
        // target.
        this->markMissing(TargetId(change.id), context);
        return;
    }
    if (source == ChangeSource::Listing && this->withdrawnTargets.holdsBack(*record, context.now)) {
        return;
    }
    if (record->leaving) {
        this->withdrawnTargets.add(record->id, record->startedAtMs, context.now);
    } else {
        this->withdrawnTargets.onWritten(record->id);
    }
    this->missingTargets.erase(record->id);
    this->targets.update(*record, context.now);
}

void StoreSync::useReleasedTargets(GatewayContext &context)
{
    for (const TargetId &target : this->withdrawnTargets.takeReleased(context.now)) {
        for (const auto &[key, item] : this->knownState) {
            if (const auto *record = std::get_if<TargetRecord>(&item.content);
                record != nullptr && record->id == target) {
                this->applyTarget(item, ChangeSource::Written, context);
                break;
            }
        }
    }
}

void StoreSync::applyMember(const StoreChange &change)
{
    ++this->memberChanges;
    if (const auto *member = std::get_if<MemberRecord>(&change.content)) {
        this->memberTable.insert_or_assign(change.id, *member);
    } else {
        this->memberTable.erase(change.id);
    }
}

void StoreSync::removeUnlisted(const std::unordered_set<std::string> &listedKeys,
                               GatewayContext &context)
{
    std::vector<StoreChange> unlisted;
    for (const auto &[key, item] : this->knownState) {
        if (!listedKeys.contains(key)) {
            unlisted.push_back(item);
        }
    }
    for (StoreChange &item : unlisted) {
        item.removed = true;
        item.content = std::monostate();
        this->apply(item, ChangeSource::Listing, context);
    }
}

void StoreSync::markMissing(const TargetId &target, GatewayContext &context)
{
    this->missingTargets.try_emplace(target, std::max(context.now, this->removalGraceUntil));
    this->dropMissingTargets(context);
}

void StoreSync::dropMissingTargets(GatewayContext &context)
{
    for (auto entry = this->missingTargets.begin(); entry != this->missingTargets.end();) {
        if (context.now < entry->second) {
            ++entry;
            continue;
        }
        if (const auto known = this->targets.all().find(entry->first);
            known != this->targets.all().end()) {
            this->withdrawnTargets.add(entry->first, known->second->record.startedAtMs,
                                       context.now);
        }
        this->targets.remove(entry->first, context.now);
        context.log(LogEvent::TargetGone, {{"target", entry->first.value}});
        entry = this->missingTargets.erase(entry);
    }
}

void StoreSync::onTimer(GatewayContext &context)
{
    if (!this->health.isUnavailable()) {
        this->dropMissingTargets(context);
    }
    this->useReleasedTargets(context);
    if (context.now >= this->stateRequestAt) {
        this->requestState(context);
    }
    this->callStore(context);
}

Instant StoreSync::nextTimer() const
{
    Instant next = std::min({this->call ? Instant::max() : this->nextCallAt, this->stateRequestAt,
                             this->withdrawnTargets.nextRelease()});
    if (!this->health.isUnavailable()) {
        for (const auto &[target, at] : this->missingTargets) {
            next = std::min(next, at);
        }
    }
    return next;
}

} // namespace lagoondeck
