#include "logic/gateway/world_sync.h"

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
/// Each member waits longer than the one before it in name order, by a fifteenth of the maximum
/// reaction time. With three such delays, a quarter of the reaction time is left for a slow answer
/// and for the members that relay it.
constexpr int rankDelayDivisor = 15;
/// An instance without a configuration can't serve requests, so it does not wait long for a store
/// that fails to answer. The timeout still covers a slow store, which takes a third of a second.
constexpr Duration callTimeoutWithoutConfig = std::chrono::milliseconds(600);
constexpr Duration maxBackoffWithoutConfig = std::chrono::milliseconds(200);
/// Entries that expired during a store outage are registered again within about two seconds after
/// the store is back.
constexpr Duration recoveryGrace = std::chrono::milliseconds(2300);

} // namespace

WorldSync::WorldSync(const GatewaySettings &settings, TargetRegistry &targets)
    : targets(targets), self(settings.id), ownAddress(settings.peerAddress),
      pollInterval(std::min(settings.reactionBound * pollIntervalParts / reactionTimeParts,
                            maxPollInterval)),
      rankDelay(settings.reactionBound / rankDelayDivisor)
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

void WorldSync::start(GatewayContext &context)
{
    this->nextCallAt = context.now;
    this->stateRequestAt = context.now + firstStateRequestDelay;
    this->callStore(context);
}

void WorldSync::startFullRead()
{
    this->fullReadRunning = true;
    this->lastReadKey.clear();
    this->listedKeys.clear();
}

void WorldSync::callStore(GatewayContext &context)
{
    if (this->operation || context.now < this->nextCallAt) {
        return;
    }
    this->operation = context.ids.next<StoreOpId>();
    this->nextCallAt = Instant::max();
    if (this->fullReadRunning) {
        context.emit(CallStore {*this->operation, ReadWorld {this->lastReadKey},
                                this->ready() ? callTimeout : callTimeoutWithoutConfig});
    } else {
        context.emit(CallStore {*this->operation, WatchWorld {this->revision, this->watchWait()},
                                this->watchWait() + callTimeout});
    }
}

void WorldSync::refresh(GatewayContext &context)
{
    if (!this->operation) {
        this->nextCallAt = context.now;
        this->callStore(context);
    }
}

void WorldSync::onAnswer(const StoreAnswered &event, GatewayContext &context)
{
    if (event.operation != this->operation) {
        return;
    }
    this->operation.reset();
    switch (event.answer.verdict) {
    case StoreVerdict::Done:
        if (this->health.onAnswered()) {
            this->removalGraceUntil = context.now + recoveryGrace;
            context.log(LogEvent::StoreAvailable, {});
        }
        this->confirmedAt = context.now;
        this->stateRequestAt = this->ready() ? Instant::max() : this->stateRequestAt;
        this->fullReadRunning ? this->onPage(event.answer, context)
                              : this->onChanges(event.answer, context);
        break;
    case StoreVerdict::HistoryGone:
        if (this->health.onAnswered()) {
            this->removalGraceUntil = context.now + recoveryGrace;
        }
        this->startFullRead();
        this->nextCallAt = context.now;
        break;
    default:
        this->onFailure(event.answer.verdict, context);
        break;
    }
    this->callStore(context);
}

void WorldSync::onFailure(StoreVerdict verdict, GatewayContext &context)
{
    if (this->health.onFailed()) {
        context.log(LogEvent::StoreUnavailable,
                    {{"verdict", std::to_string(static_cast<int>(verdict))}});
        this->stateRequestAt = context.now;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(this->health.failuresInRow() - 1, 3);
    const Duration backoff = std::min(initialBackoff * (1U << doublings),
                                      this->ready() ? maxBackoff : maxBackoffWithoutConfig);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    this->nextCallAt = context.now
            + Duration(static_cast<Duration::rep>(static_cast<double>(backoff.count())
                                                  * jitter(context.random)));
}

void WorldSync::onPage(const StoreAnswer &answer, GatewayContext &context)
{
    if (this->lastReadKey.empty()) {
        // The pages are not a snapshot: the watch from this revision returns what has changed while
        // they were read.
        this->revision = answer.revision;
    }
    for (const WorldChange &change : answer.changes) {
        this->apply(change, context);
        this->listedKeys.insert(change.key);
    }
    if (answer.more && !answer.lastKey.empty()) {
        this->lastReadKey = answer.lastKey;
        this->nextCallAt = context.now;
        return;
    }
    this->finishFullRead(context);
}

void WorldSync::finishFullRead(GatewayContext &context)
{
    this->fullReadRunning = false;
    this->targetsKnown = true;
    this->removeUnlisted(context);
    this->nextCallAt = context.now + pollPause;
    this->stateRequestAt = Instant::max();
}

void WorldSync::onChanges(const StoreAnswer &answer, GatewayContext &context)
{
    const std::shared_ptr<StoreUpdate> update = this->makeUpdate(answer);
    this->applyNewer(answer.changes, context);
    this->sendToMembers(update, context);
    this->revision = std::max(this->revision, answer.revision);
    // The first member keeps calling the store; the others wait for its updates.
    this->nextCallAt = context.now + (this->rank() == 0 ? pollPause : this->takeoverDelay());
}

Duration WorldSync::watchWait() const
{
    return std::max<Duration>(this->pollInterval - pollPause, pollPause);
}

void WorldSync::applyNewer(const std::vector<WorldChange> &changes, GatewayContext &context)
{
    // Changes that another member has sent in the meantime are not applied a second time, as the
    // keys may have changed since.
    for (const WorldChange &change : changes) {
        if (change.revision > this->revision) {
            this->apply(change, context);
        }
    }
}

void WorldSync::apply(const WorldChange &change, GatewayContext &context)
{
    if (change.removed) {
        this->knownState.erase(change.key);
    } else if (change.part != WorldPart::Other) {
        this->knownState.insert_or_assign(change.key, change);
    }
    switch (change.part) {
    case WorldPart::Config:
        this->applyConfig(change, context);
        break;
    case WorldPart::Target:
        this->applyTarget(change, context);
        break;
    case WorldPart::Member:
        this->applyMember(change);
        break;
    case WorldPart::Other:
        break;
    }
}

void WorldSync::applyConfig(const WorldChange &change, GatewayContext &context)
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
    this->targets.setCaps(**config);
    context.log(LogEvent::CatalogueRevised,
                {{"version", std::to_string((*config)->version)},
                 {"storeRevision", std::to_string(change.revision)}});
}

void WorldSync::applyTarget(const WorldChange &change, GatewayContext &context)
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

void WorldSync::applyMember(const WorldChange &change)
{
    if (const auto *member = std::get_if<MemberRecord>(&change.content)) {
        this->memberTable.insert_or_assign(change.id, *member);
    } else {
        this->memberTable.erase(change.id);
    }
}

void WorldSync::removeUnlisted(GatewayContext &context)
{
    std::vector<WorldChange> unlisted;
    for (const auto &[key, item] : this->knownState) {
        if (!this->listedKeys.contains(key)) {
            unlisted.push_back(item);
        }
    }
    for (WorldChange &item : unlisted) {
        item.removed = true;
        item.content = std::monostate();
        this->apply(item, context);
    }
    this->listedKeys.clear();
}

void WorldSync::markMissing(const TargetId &target, GatewayContext &context)
{
    this->missingTargets.try_emplace(target, std::max(context.now, this->removalGraceUntil));
    this->dropMissingTargets(context);
}

void WorldSync::dropMissingTargets(GatewayContext &context)
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

void WorldSync::onTimer(GatewayContext &context)
{
    if (!this->health.isAway()) {
        this->dropMissingTargets(context);
    }
    if (context.now >= this->stateRequestAt) {
        this->requestState(context);
    }
    this->callStore(context);
}

Instant WorldSync::nextTimer() const
{
    Instant next =
            std::min(this->operation ? Instant::max() : this->nextCallAt, this->stateRequestAt);
    if (!this->health.isAway()) {
        for (const auto &[target, at] : this->missingTargets) {
            next = std::min(next, at);
        }
    }
    return next;
}

} // namespace lagoondeck
