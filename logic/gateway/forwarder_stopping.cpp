// The part of Forwarder that ends its requests in time when this instance is asked to stop.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// A request that may not run twice is lost to its caller if it is ended while it runs, so more
/// time is left for it.
constexpr int onceOnlyFactor = 2;

} // namespace

Duration Forwarder::timeNeeded(const Route &route)
{
    const Duration usual = this->latencyOf(route).veryLateThreshold();
    return std::max(route.objective, route.idempotent ? usual : usual * onceOnlyFactor);
}

Instant Forwarder::latestStart(const Exchange &exchange)
{
    return exchange.isCutShort ? exchange.deadlineAt - this->timeNeeded(*exchange.route)
                               : Instant::max();
}

void Forwarder::onStopping(Instant answersDueAt)
{
    for (auto &[id, exchange] : this->exchanges) {
        exchange.endBy(answersDueAt);
        if (exchange.isCutShort) {
            this->timers.push({answersDueAt, TimerKind::Exchange, id.value});
        }
    }
}

void Forwarder::refuseUnsent(Exchange &exchange, GatewayContext &context)
{
    if (exchange.origin) {
        // The member that delegated the request can ask another one.
        context.emit(SendReceipt {exchange.origin->address,
                                  {exchange.origin->number, DelegationState::Leaving}});
    } else {
        this->refuseStopping(exchange, context);
    }
    this->erase(exchange, context.now);
}

void Forwarder::refuse(const AdmittedRequest &request, EndReason reason, Duration retryAfter,
                       std::string detail, GatewayContext &context)
{
    CallerReply reply;
    reply.status = forwarding::statusUnavailable;
    reply.retryAfter = retryAfter;
    reply.detail = std::move(detail);
    ExchangeEnd end {request.route->name, ExchangeOutcome::Refused, reason,
                     context.now - request.arrivedAt};
    logExchangeEnd(*request.request, end, nullptr, this->sampleOneIn, context);
    context.emit(AnswerExchange {request.id, std::move(reply), std::move(end)});
}

void Forwarder::refuseStopping(const AdmittedRequest &request, GatewayContext &context)
{
    this->refuse(request, EndReason::Stopping, forwarding::retryAfterRefusal,
                 "not run: this instance stops and may not answer before its end", context);
}

} // namespace lagoondeck
