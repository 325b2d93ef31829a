// What Forwarder does about requests that crash targets.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A request that crashes targets is told to come back no earlier.
constexpr Duration longestRetryAfter = std::chrono::seconds(5);

Fingerprint fingerprintOf(const ForwardedRequest &request)
{
    return fingerprintOf(EntryName(request.method + " " + request.host + request.path),
                         request.body);
}

} // namespace

bool Forwarder::refuseQuarantined(ExchangeId id, const ForwardedRequest &request,
                                  GatewayContext &context)
{
    const auto until = this->crashBook.empty()
            ? std::nullopt
            : this->crashBook.blockedUntil(fingerprintOf(request), context.now);
    if (!until) {
        return false;
    }
    CallerReply reply;
    reply.status = forwarding::statusUnavailable;
    reply.retryAfter = std::min<Duration>(*until - context.now, longestRetryAfter);
    reply.detail = "not run: the request broke the connections of the targets that ran it";
    ExchangeEnd end {"", ExchangeOutcome::Refused, EndReason::Quarantined};
    logEnd(request, end, nullptr, this->sampleOneIn, context);
    context.emit(AnswerExchange {id, std::move(reply), std::move(end)});
    return true;
}

void Forwarder::judgeCrashes(const Exchange &exchange, GatewayContext &context)
{
    const bool answered = std::ranges::any_of(exchange.parts, [](const Part &part) {
        return part.reply != nullptr || part.failure != nullptr;
    });
    std::uint32_t crashes = 0;
    for (const Part &part : exchange.parts) {
        crashes = std::max(crashes, part.lost);
    }
    if (answered && !this->crashBook.empty()) {
        this->crashBook.clear(fingerprintOf(*exchange.request));
    } else if (!answered && crashes > 0) {
        const CrashSighting sighting {
                fingerprintOf(*exchange.request), crashes, {}, context.random()};
        this->seenCrashes.push_back(sighting);
        this->onCrash(sighting, context);
    }
}

void Forwarder::onCrash(const CrashSighting &sighting, GatewayContext &context)
{
    if (this->crashBook.add(sighting.fingerprint, sighting.crashes, context.now)) {
        context.log(LogEvent::RequestQuarantined,
                    {{"fingerprint", std::to_string(sighting.fingerprint.value)}});
    }
}

} // namespace lagoondeck
