#include "logic/gateway/target_path.h"

#include "logic/gateway/target_registry.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lagoondeck {

namespace {

/// How many targets are probed at once when the path is suspected, and later in each round.
constexpr std::size_t firstProbes = 3;
constexpr std::size_t laterProbes = 2;
/// The average time between two rounds of probes while the path is down.
constexpr Duration probeInterval = std::chrono::milliseconds(250);
/// The path recovers for a part of the time for which it was down.
constexpr int recoveryDivisor = 4;
constexpr Duration minRecovery = std::chrono::milliseconds(200);
constexpr Duration maxRecovery = std::chrono::seconds(2);
/// The share of the requests that a recovering path carries at first.
constexpr double initialShare = 0.1;
/// Breaks within this time of one another make the recovery longer.
constexpr Duration breakMemory = std::chrono::seconds(20);
constexpr std::uint32_t maxRecoveryDoublings = 2;
/// How long the path is not suspected after a wrong suspicion. The time doubles with each further
/// one.
constexpr Duration initialTrust = std::chrono::milliseconds(250);
constexpr std::uint32_t maxTrustDoublings = 4;
constexpr Duration suspicionMemory = std::chrono::seconds(10);
constexpr Duration recentReplyTime = std::chrono::seconds(1);

} // namespace

const char *toString(PathState state)
{
    switch (state) {
    case PathState::Up:
        return "up";
    case PathState::Suspect:
        return "suspect";
    case PathState::Down:
        return "down";
    case PathState::Recovering:
        return "recovering";
    }
    return "unknown";
}

void TargetPath::onReply(bool onNewConnection, GatewayContext &context)
{
    this->evidence.onReply(onNewConnection, context.now);
    if (onNewConnection || this->cause == Cause::Silence) {
        this->onWorking(false, context);
    }
}

void TargetPath::onConnectFailed(const TargetId &target, GatewayContext &context)
{
    this->evidence.onConnectFailed(target, context.now);
    this->suspectIfBroken(context);
}

void TargetPath::onSilence(std::span<const TargetId> silent, GatewayContext &context)
{
    this->evidence.onSilence(silent, context.now);
    this->suspectIfBroken(context);
}

void TargetPath::suspectIfBroken(GatewayContext &context)
{
    const bool isTrusted = this->pathState == PathState::Suspect
            || this->pathState == PathState::Down || context.now < this->notSuspectedUntil;
    const std::size_t usable = this->targets.countUsable(PathEvidence::maxRequiredTargets);
    if (isTrusted || !this->evidence.suggestsBrokenPath(usable, context.now)) {
        return;
    }
    this->becomeSuspect(this->evidence.unresponsiveTargets(context.now)
                                        >= this->evidence.unconnectableTargets(context.now)
                                ? Cause::Silence
                                : Cause::NoConnects,
                        context);
}

void TargetPath::check(GatewayContext &context)
{
    if (this->pathState == PathState::Up
        && this->targets.countUsable(PathEvidence::maxRequiredTargets) > 0) {
        this->becomeSuspect(Cause::NoConnects, context);
    }
}

void TargetPath::becomeSuspect(Cause suspectedCause, GatewayContext &context)
{
    this->cause = suspectedCause;
    this->pathState = PathState::Suspect;
    this->brokenSince = context.now;
    this->timerAt = Instant::max();
    context.log(LogEvent::TargetPathSuspected, this->evidence.logFields(context.now));
    this->openProbes.clear();
    this->sendProbes(firstProbes, context);
}

void TargetPath::sendProbes(std::size_t count, GatewayContext &context)
{
    for (const TargetNode *target : this->targets.pickUsable(count, context.random)) {
        const std::uint64_t number = ++this->lastProbe;
        this->openProbes.insert(number);
        context.emit(ProbePath {number, target->record.id, target->record.address});
    }
}

void TargetPath::onProbed(const PathProbed &event, GatewayContext &context)
{
    if (this->openProbes.erase(event.number) == 0) {
        return;
    }
    if (event.connected) {
        this->lastProbeSuccessAt = context.now;
        this->evidence.onConnected();
        this->onWorking(true, context);
    } else if (this->pathState == PathState::Suspect && this->openProbes.empty()) {
        this->becomeDown(context);
    }
}

void TargetPath::onWorking(bool provedByProbe, GatewayContext &context)
{
    if (this->pathState == PathState::Down) {
        this->becomeRecovering(context);
    } else if (this->pathState == PathState::Suspect) {
        if (provedByProbe && this->cause == Cause::Silence) {
            this->change = PathChange::ConnectionsDied;
        }
        this->falseSuspicions = context.now - this->notSuspectedUntil > suspicionMemory
                ? 0
                : std::min(this->falseSuspicions + 1, maxTrustDoublings);
        this->notSuspectedUntil = context.now + initialTrust * (1U << this->falseSuspicions);
        this->becomeUp(context);
    }
}

void TargetPath::becomeUp(GatewayContext &context)
{
    this->evidence.clear();
    this->openProbes.clear();
    this->pathState = context.now < this->recoveredAt ? PathState::Recovering : PathState::Up;
    this->timerAt = this->pathState == PathState::Recovering ? this->recoveredAt : Instant::max();
    if (this->pathState == PathState::Up) {
        context.log(LogEvent::TargetPathUp,
                    {numberField("ms", toMilliseconds(context.now - this->brokenSince))});
    }
}

void TargetPath::becomeDown(GatewayContext &context)
{
    this->pathState = PathState::Down;
    this->recentBreaks =
            context.now - this->lastBreakAt <= breakMemory ? this->recentBreaks + 1 : 1;
    this->lastBreakAt = context.now;
    this->change = PathChange::Broke;
    this->timerAt = context.now + this->timeUntilNextProbe(context);
    context.log(LogEvent::TargetPathDown, this->evidence.logFields(context.now));
}

void TargetPath::becomeRecovering(GatewayContext &context)
{
    const Duration recovery = std::clamp((context.now - this->brokenSince) / recoveryDivisor,
                                         minRecovery, maxRecovery)
            * (1U << std::min(this->recentBreaks - 1, maxRecoveryDoublings));
    this->lastBreakAt = context.now;
    this->recoveringSince = context.now;
    this->recoveredAt = context.now + recovery;
    this->change = PathChange::Returned;
    context.log(LogEvent::TargetPathRecovering,
                {numberField("downMs", toMilliseconds(context.now - this->brokenSince)),
                 numberField("recoveryMs", toMilliseconds(recovery))});
    this->becomeUp(context);
}

Duration TargetPath::timeUntilNextProbe(GatewayContext &context) const
{
    // Instances that are cut off together should not all return at the same moment.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    return std::chrono::duration_cast<Duration>(probeInterval * spread(context.random));
}

void TargetPath::onTimer(GatewayContext &context)
{
    if (context.now < this->timerAt) {
        return;
    }
    if (this->pathState == PathState::Recovering) {
        this->becomeUp(context);
    } else if (this->pathState == PathState::Down) {
        this->sendProbes(laterProbes, context);
        this->timerAt = context.now + this->timeUntilNextProbe(context);
    }
}

bool TargetPath::carriesRequest(GatewayContext &context) const
{
    if (this->pathState != PathState::Recovering) {
        return this->pathState == PathState::Up;
    }
    const std::chrono::duration<double> elapsed = context.now - this->recoveringSince;
    const std::chrono::duration<double> whole = this->recoveredAt - this->recoveringSince;
    std::bernoulli_distribution isCarried(std::clamp(elapsed / whole, initialShare, 1.0));
    return isCarried(context.random);
}

bool TargetPath::isSilent(Instant now) const
{
    const bool hasRecentReply =
            this->lastReplyAt() != Instant::min() && now - this->lastReplyAt() < recentReplyTime;
    return this->pathState == PathState::Down && (this->cause == Cause::Silence || !hasRecentReply);
}

std::optional<PathChange> TargetPath::takeChange()
{
    return std::exchange(this->change, std::nullopt);
}

} // namespace lagoondeck
