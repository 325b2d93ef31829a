// The part of Forwarder that observes the network path from this instance to the targets.

#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>
#include <set>
#include <vector>

namespace lagoondeck {

namespace {

/// A reply is overdue after this many times the latency that few attempts exceed.
constexpr int silenceFactor = 2;

Duration silenceLimit(const LatencyModel &latency)
{
    return std::max(forwarding::minSilence, latency.veryLateThreshold() * silenceFactor);
}

} // namespace

void Forwarder::observeEnd(AttemptEndKind kind, const TargetId &target, Instant now)
{
    switch (kind) {
    case AttemptEndKind::Unreachable:
        ++this->attemptCounts.unreachable;
        this->pathEvidence.onConnectFailed(target, now);
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

void Forwarder::observeReply(const AttemptReplied &event, Instant now)
{
    ++this->attemptCounts.replied;
    this->pathEvidence.onReply(event.onNewConnection, now);
}

void Forwarder::logPathChange(GatewayContext &context)
{
    if (this->pathEvidence.empty() && !this->pathSuspected) {
        return;
    }
    const bool suspected = this->pathEvidence.suggestsBrokenPath(
            this->targets.countUsable(PathEvidence::maxRequiredTargets), context.now);
    if (std::exchange(this->pathSuspected, suspected) != suspected) {
        context.log(suspected ? LogEvent::TargetPathSuspected : LogEvent::TargetPathUp,
                    this->pathEvidence.logFields(context.now));
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
    const Instant heardAt = std::max(this->pathEvidence.lastReplyAt(), this->silentSince);
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
    this->pathEvidence.onSilence(std::vector(overdue.begin(), overdue.end()), context.now);
    this->scheduleSilenceCheck(next);
}

} // namespace lagoondeck
