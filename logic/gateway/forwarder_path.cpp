// The part of Forwarder that observes the network path to the targets and ends what a broken path
// holds up.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace lagoondeck {

namespace {

/// A reply is overdue after this many times the latency that few attempts exceed.
constexpr int silenceFactor = 2;
/// When a caller may try again at an instance that has no path to the targets.
constexpr Duration retryAfterWithoutPath = std::chrono::milliseconds(250);

Duration silenceLimit(const LatencyModel &latency)
{
    return std::max(forwarding::minSilence, latency.veryLateThreshold() * silenceFactor);
}

} // namespace

void Forwarder::observeEnd(AttemptEndKind kind, const GatewayAttempt &attempt,
                           GatewayContext &context)
{
    switch (kind) {
    case AttemptEndKind::Unreachable:
        ++this->attemptCounts.unreachable;
        this->path.onConnectFailed(attempt.targetId, context);
        this->targets.onUnanswered(attempt.targetId, attempt.sentAt, context);
        this->findLostDomains(context);
        break;
    case AttemptEndKind::Lost:
        ++this->attemptCounts.lost;
        break;
    case AttemptEndKind::Malformed:
        ++this->attemptCounts.malformed;
        break;
    case AttemptEndKind::Closed:
        ++this->attemptCounts.closed;
        break;
    }
}

void Forwarder::observeReply(const AttemptReplied &event, GatewayContext &context)
{
    ++this->attemptCounts.replied;
    this->path.onReply(event.onNewConnection, context);
    this->findLostDomains(context);
}

void Forwarder::findLostDomains(GatewayContext &context)
{
    if (this->path.state() == PathState::Up) {
        this->targets.findLostDomains(context);
    }
}

void Forwarder::scheduleSilenceCheck(Instant at)
{
    if (!std::exchange(this->silenceCheckScheduled, true)) {
        this->timers.push({at, TimerKind::Silence});
    }
}

void Forwarder::observeSilence(GatewayContext &context)
{
    this->silenceCheckScheduled = false;
    if (this->attempts.empty()) {
        return;
    }
    const Instant heardAt = std::max(this->path.lastReplyAt(), this->silentSince);
    for (const auto &[id, attempt] : this->attempts) {
        const Instant countedFrom = std::max(attempt.sentAt, this->silentSince);
        if (countedFrom + silenceLimit(*attempt.latency) <= context.now) {
            this->targets.onUnanswered(attempt.targetId, countedFrom, context);
        }
    }
    this->findLostDomains(context);
    if (heardAt != Instant::min() && context.now - heardAt < forwarding::minSilence) {
        this->scheduleSilenceCheck(heardAt + forwarding::minSilence);
        return;
    }
    std::set<TargetId> overdue;
    Instant next = context.now + forwarding::minSilence;
    for (const auto &[id, attempt] : this->attempts) {
        const Instant overdueAt =
                std::max(attempt.sentAt, heardAt) + silenceLimit(*attempt.latency);
        if (overdueAt <= context.now) {
            overdue.insert(attempt.targetId);
        } else {
            next = std::min(next, overdueAt);
        }
    }
    this->path.onSilence(std::vector(overdue.begin(), overdue.end()), context);
    this->scheduleSilenceCheck(next);
}

void Forwarder::onPathBroken(GatewayContext &context)
{
    this->retractCrashes();
    context.emit(WithdrawUnsentAttempts {});
    // First the withdrawn attempts end, which shows what was not sent.
    this->timers.push({context.now, TimerKind::PathBroken});
}

void Forwarder::endStranded(GatewayContext &context)
{
    if (this->path.state() != PathState::Down) {
        return;
    }
    std::vector<ExchangeId> ids;
    for (const auto &[id, exchange] : this->exchanges) {
        ids.push_back(id);
    }
    const bool isSilent = this->path.isSilent(context.now);
    for (const ExchangeId id : ids) {
        Exchange &exchange = this->exchanges.at(id);
        if (exchange.isDeclined || exchange.meetsMinimumCoverage(exchange.answeredPartCount())) {
            continue;
        }
        // A request that may not run twice waits: its reply may still arrive once the path works.
        if (!exchange.mayHaveRun() || (exchange.route->idempotent && isSilent)) {
            this->fail(exchange, context);
        }
    }
}

void Forwarder::abandonUnservable(GatewayContext &context)
{
    std::set<ExchangeId> changed;
    for (auto &[id, exchange] : this->exchanges) {
        for (std::size_t i = 0; i < exchange.parts.size(); ++i) {
            Part &part = exchange.parts[i];
            const bool isWaiting =
                    part.phase == PartPhase::Waiting || part.phase == PartPhase::Borrowing;
            if (isWaiting && part.runningAttempts.empty()
                && !this->targets.hasUsable(*part.group, exchange.regionRule())) {
                part.phase = PartPhase::Abandoned;
                exchange.recordStep(TraceKind::NoTarget, i, {}, context.now);
                changed.insert(id);
            }
        }
    }
    for (const ExchangeId id : changed) {
        this->advance(id, context);
    }
}

bool Forwarder::leaveToMembers(Exchange &exchange, GatewayContext &context)
{
    if (exchange.isDeclined || this->path.state() == PathState::Up
        || context.now >= exchange.deadlineAt) {
        return false;
    }
    if (exchange.origin) {
        context.emit(SendReceipt {exchange.origin->address,
                                  {exchange.origin->number, DelegationState::Unreachable}});
    } else {
        this->stranded.push_back(static_cast<const AdmittedRequest &>(exchange));
    }
    this->erase(exchange, context.now);
    return true;
}

void Forwarder::refuseWithoutPath(const AdmittedRequest &request, GatewayContext &context)
{
    // The path is probed several times in this time, and the callers should not return together.
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    this->refuse(
            request, EndReason::NoPath,
            std::chrono::duration_cast<Duration>(retryAfterWithoutPath * spread(context.random)),
            "not run: this instance reaches no target, and no other one took the request", context);
}

void Forwarder::closeSilentAttempts(GatewayContext &context)
{
    for (const auto &[id, attempt] : this->attempts) {
        const Exchange *exchange = attempt.exchange ? this->find(*attempt.exchange) : nullptr;
        if (exchange != nullptr && exchange->route->idempotent
            && exchange->parts[attempt.part].possibleRuns < exchange->route->attempts
            && attempt.sentAt + silenceLimit(*attempt.latency) <= context.now) {
            context.emit(CloseAttempt {id});
        }
    }
}

} // namespace lagoondeck
