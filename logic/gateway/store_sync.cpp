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
    this->fullReadRunning = true;
    this->lastReadKey.clear();
    this->listedKeys.clear();
}

void StoreSync::callStore(GatewayContext &context)
{
    if (this->operation || context.now < this->nextCallAt) {
        return;
    }
    this->operation = context.ids.next<StoreOpId>();
    this->nextCallAt = Instant::max();
    this->calledWait = this->fullReadRunning ? Duration(0) : this->watchWait();
    const Duration timeout = this->isReady() ? callTimeout : callTimeoutWithoutConfig;
    StoreCallBody call = this->fullReadRunning
            ? StoreCallBody(ReadStore {this->lastReadKey})
            : StoreCallBody(WatchStore {this->revision, this->calledWait});
    context.emit(CallStore {*this->operation, std::move(call), this->calledWait + timeout,
                            this->calledWait + this->answerTime.keptConnectionTimeout(timeout)});
}

void StoreSync::refresh(GatewayContext &context)
{
    if (!this->operation) {
        this->nextCallAt = context.now;
        this->callStore(context);
    }
}

void StoreSync::onAnswer(const StoreAnswered &event, GatewayContext &context)
{
    if (event.operation != this->operation) {
        return;
    }
    this->operation.reset();
    this->noticeHistory(event.answer.history, context);
    switch (event.answer.status) {
    case StoreCallStatus::Done:
        this->unansweredOnKeptConnection = false;
        this->learnAnswerTime(event.answer);
        if (this->health.onAnswered()) {
            this->removalGraceUntil = context.now + recoveryGrace;
            context.log(LogEvent::StoreAvailable, {});
        }
        this->confirmedAt = context.now;
        this->stateRequestAt = this->isReady() ? Instant::max() : this->stateRequestAt;
        this->fullReadRunning ? this->onPage(event.answer, context)
                              : this->onChanges(event.answer, context);
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

void StoreSync::noticeHistory(std::uint64_t history, GatewayContext &context)
{
    if (history <= this->knownHistory) {
        return;
    }
    if (this->knownHistory != 0) {
        context.log(LogEvent::StoreRestored,
                    {numberField("history", static_cast<std::int64_t>(history)),
                     numberField("revisionBefore", static_cast<std::int64_t>(this->revision))});
    }
    this->knownHistory = history;
}

void StoreSync::learnAnswerTime(const StoreAnswer &answer)
{
    // A watch that returns changes may have waited for them.
    if (this->calledWait == Duration(0) || answer.changes.empty()) {
        this->answerTime.onAnswered(
                std::max<Duration>(answer.elapsed - this->calledWait, Duration(0)));
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
    if (this->lastReadKey.empty()) {
        // The pages are not a snapshot: the watch from this revision returns what has changed while
        // they were read.
        this->revision = answer.revision;
    }
    for (const StoreChange &change : answer.changes) {
        this->apply(change, context);
        this->listedKeys.insert(change.key);
    }
    if (answer.hasMore && !answer.lastKey.empty()) {
        this->lastReadKey = answer.lastKey;
        this->nextCallAt = context.now;
        return;
    }
    this->finishFullRead(context);
}

void StoreSync::finishFullRead(GatewayContext &context)
{
    this->fullReadRunning = false;
    this->targetsKnown = true;
    this->removeUnlisted(context);
    this->nextCallAt = context.now + pollPause;
    this->stateRequestAt = Instant::max();
}

void StoreSync::onChanges(const StoreAnswer &answer, GatewayContext &context)
{
    const std::shared_ptr<StoreUpdate> update = this->makeUpdate(answer);
    this->applyNewer(answer.changes, context);
    this->sendToMembers(update, context);
    this->revision = std::max(this->revision, answer.revision);
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
        if (change.revision > this->revision) {
            this->apply(change, context);
        }
    }
}

void StoreSync::apply(const StoreChange &change, GatewayContext &context)
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
        this->applyTarget(change, context);
        break;
    case StoreKeyKind::Member:
        this->applyMember(change);
        break;
    case StoreKeyKind::Other:
        break;
    }
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
    this->routeTable = std::make_shared<const RouteTable>(*config);
    this->targets.setConfig(**config);
    context.log(LogEvent::CatalogueRevised,
                {{"version", std::to_string((*config)->version)},
                 {"storeRevision", std::to_string(change.revision)}});
}

void StoreSync::applyTarget(const StoreChange &change, GatewayContext &context)
{
    const auto *record = std::get_if<TargetRecord>(&change.content);
    if (record != nullptr) {
        this->missingTargets.erase(record->id);
        this->targets.update(*record, context.now);
    } else {
        // The key was removed, or its value was written by someone else and describes no usable
        // target.
        this->markMissing(TargetId(change.id), context);
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

void StoreSync::removeUnlisted(GatewayContext &context)
{
    std::vector<StoreChange> unlisted;
    for (const auto &[key, item] : this->knownState) {
        if (!this->listedKeys.contains(key)) {
            unlisted.push_back(item);
        }
    }
    for (StoreChange &item : unlisted) {
        item.removed = true;
        item.content = std::monostate();
        this->apply(item, context);
    }
    this->listedKeys.clear();
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
        this->targets.remove(entry->first);
        context.log(LogEvent::TargetGone, {{"target", entry->first.value}});
        entry = this->missingTargets.erase(entry);
    }
}

void StoreSync::onTimer(GatewayContext &context)
{
    if (!this->health.isUnavailable()) {
        this->dropMissingTargets(context);
    }
    if (context.now >= this->stateRequestAt) {
        this->requestState(context);
    }
    this->callStore(context);
}

Instant StoreSync::nextTimer() const
{
    Instant next =
            std::min(this->operation ? Instant::max() : this->nextCallAt, this->stateRequestAt);
    if (!this->health.isUnavailable()) {
        for (const auto &[target, at] : this->missingTargets) {
            next = std::min(next, at);
        }
    }
    return next;
}

} // namespace lagoondeck
