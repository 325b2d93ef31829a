// The part of Forwarder that refuses and reports requests that crash targets.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The upper limit of the retry delay that is sent to the caller of a quarantined request.
constexpr Duration maxRetryAfter = std::chrono::seconds(5);

/// A reply counts as a proof that the path to the targets works if it arrives this long after
/// connections broke.
constexpr Duration crashSettleTime = std::chrono::milliseconds(50);
/// Without such a reply, the path is probed.
constexpr Duration maxProofWait = std::chrono::milliseconds(300);

Fingerprint fingerprintOf(const ForwardedRequest &request)
{
    return fingerprintOf(EntryName(request.method + " " + request.host + request.path),
                         request.body);
}

/// `source` is how this instance knows of the crashes.
void logQuarantine(Fingerprint fingerprint, const std::string &source, GatewayContext &context)
{
    context.log(LogEvent::RequestQuarantined,
                {{"fingerprint", std::to_string(fingerprint.value)}, {"source", source}});
}

} // namespace

bool Forwarder::refuseQuarantined(ExchangeId id, const ForwardedRequest &request,
                                  GatewayContext &context)
{
    const auto until = this->trackedCrashes.empty()
            ? std::nullopt
            : this->trackedCrashes.blockedUntil(fingerprintOf(request), context.now);
    if (!until) {
        return false;
    }
    CallerReply reply;
    reply.status = forwarding::statusUnavailable;
    reply.retryAfter = std::min<Duration>(*until - context.now, maxRetryAfter);
    reply.detail = "not run: the request broke the connections of the targets that ran it";
    ExchangeEnd end {"", ExchangeOutcome::Refused, EndReason::Quarantined};
    logExchangeEnd(request, end, nullptr, this->sampleOneIn, context);
    context.emit(AnswerExchange {id, std::move(reply), std::move(end)});
    return true;
}

void Forwarder::updateCrashTracker(const Exchange &exchange, GatewayContext &context)
{
    const bool answered = std::ranges::any_of(exchange.parts, [](const Part &part) {
        return part.reply != nullptr || part.failure != nullptr;
    });
    std::uint32_t crashes = 0;
    for (const Part &part : exchange.parts) {
        crashes = std::max(crashes, part.lostConnections);
    }
    if (answered && !this->trackedCrashes.empty()) {
        const Fingerprint fingerprint = fingerprintOf(*exchange.request);
        if (this->trackedCrashes.clear(fingerprint)) {
            this->clearedSuspects.push_back(fingerprint);
        }
    } else if (!answered && crashes > 0 && this->path.state() != PathState::Down) {
        const CrashObservation observation {
                fingerprintOf(*exchange.request), crashes, {}, context.random()};
        this->onCrash(observation, context);
        if (this->unconfirmedCrashes.empty()) {
            this->timers.push({context.now + crashSettleTime, TimerKind::Crashes});
        }
        this->unconfirmedCrashes.push_back({observation, context.now});
    }
}

void Forwarder::confirmCrashes(GatewayContext &context)
{
    // A reply that arrives just after the connections broke may have been sent before.
    const Instant provedAt = this->path.provedAt();
    std::erase_if(this->unconfirmedCrashes, [&](const UnconfirmedCrash &crash) {
        const bool confirmed = provedAt != Instant::min() && provedAt >= crash.at + crashSettleTime;
        if (confirmed) {
            this->newCrashes.push_back(crash.observation);
        }
        return confirmed;
    });
    if (this->unconfirmedCrashes.empty()) {
        return;
    }
    if (context.now >= this->unconfirmedCrashes.front().at + maxProofWait) {
        this->path.check(context);
    }
    this->timers.push({context.now + crashSettleTime, TimerKind::Crashes});
}

void Forwarder::retractCrashes()
{
    for (const UnconfirmedCrash &crash : this->unconfirmedCrashes) {
        this->trackedCrashes.retract(crash.observation.fingerprint, crash.observation.crashes);
    }
    this->unconfirmedCrashes.clear();
}

void Forwarder::onCrash(const CrashObservation &observation, GatewayContext &context)
{
    if (this->trackedCrashes.add(observation.fingerprint, observation.crashes, context.now)) {
        logQuarantine(observation.fingerprint,
                      observation.origin.value.empty() ? "observed" : "reported", context);
    }
}

void Forwarder::onSuspect(const SuspectRequest &suspect, const std::string &source,
                          GatewayContext &context)
{
    if (this->trackedCrashes.merge(suspect, context.now)) {
        logQuarantine(suspect.fingerprint, source, context);
    }
}

} // namespace lagoondeck
