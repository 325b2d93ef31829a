// How Forwarder ends exchanges: what callers are answered, and when.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"
#include "logic/gateway/record_merge.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr int firstFailureStatus = 400;
constexpr int statusBadGateway = 502;
constexpr int statusTimeout = 504;
/// A request waits for a free target at most this part of its objective; refused then, its caller
/// can still be served in time elsewhere.
constexpr int waitPart = 5;
/// An attempt that lost the race is worth its connection for so many median latencies; a target
/// that takes longer is in trouble, and a closed connection frees its slot.
constexpr int keepLostMedians = 2;
constexpr Duration retryAfterRefusal = std::chrono::milliseconds(20);

} // namespace

void Forwarder::release(Exchange &exchange, Instant closeAt, GatewayContext &)
{
    for (Part &part : exchange.parts) {
        for (const AttemptId id : part.out) {
            GatewayAttempt &attempt = this->attempts.at(id);
            attempt.exchange.reset();
            if (closeAt < attempt.closeAt) {
                attempt.closeAt = closeAt;
                this->timers.push({closeAt, TimerKind::Attempt, id.value});
            }
        }
        part.out.clear();
    }
}

ExchangeEnd Forwarder::endOf(const Exchange &exchange, EndReason reason, int status,
                             Instant now) const
{
    ExchangeEnd end;
    end.route = exchange.route->name;
    end.reason = reason;
    end.elapsed = now - exchange.arrivedAt;
    end.partsNeeded = exchange.parts.size();
    end.partsAnswered = exchange.answered();
    if (reason == EndReason::CallerLeft) {
        end.outcome = ExchangeOutcome::Left;
    } else if (status == forwarding::statusUnavailable && end.partsAnswered == 0) {
        end.outcome = ExchangeOutcome::Refused;
    } else if (status >= firstFailureStatus) {
        end.outcome = ExchangeOutcome::Failed;
    } else if (now > exchange.objectiveAt + forwarding::callerWay) {
        end.outcome = ExchangeOutcome::Late;
    } else if (end.partsAnswered < end.partsNeeded) {
        end.outcome = ExchangeOutcome::Partial;
    }
    return end;
}

void Forwarder::finish(Exchange &exchange, CallerReply reply, EndReason reason,
                       GatewayContext &context)
{
    const ExchangeId id = exchange.id;
    this->judgeCrashes(exchange, context);
    ExchangeEnd end = this->endOf(exchange, reason, reply.status, context.now);
    logEnd(*exchange.request, end, &exchange, this->sampleOneIn, context);
    this->release(exchange, context.now + keepLostMedians * exchange.latency->median(), context);
    context.emit(AnswerExchange {id, std::move(reply), std::move(end)});
    this->exchanges.erase(id);
}

void Forwarder::fail(Exchange &exchange, GatewayContext &context)
{
    CallerReply reply;
    if (!exchange.route->gathers() && exchange.parts.front().failure != nullptr) {
        reply.forwarded = exchange.parts.front().failure;
        reply.status = reply.forwarded->status;
        this->finish(exchange, std::move(reply), EndReason::TargetFailed, context);
    } else if (!exchange.mayHaveRun()) {
        reply.status = forwarding::statusUnavailable;
        reply.retryAfter = retryAfterRefusal;
        reply.detail = "not run: no target could take the request";
        this->finish(exchange, std::move(reply), EndReason::NoTarget, context);
    } else if (context.now >= exchange.deadlineAt) {
        reply.status = statusTimeout;
        reply.detail = "the targets did not answer in time";
        this->finish(exchange, std::move(reply), EndReason::DeadlinePassed, context);
    } else {
        reply.status = statusBadGateway;
        reply.detail = "the targets failed";
        this->finish(exchange, std::move(reply), EndReason::TargetsFailed, context);
    }
}

void Forwarder::review(ExchangeId id, GatewayContext &context)
{
    Exchange *exchange = this->find(id);
    if (exchange != nullptr) {
        this->look(*exchange, context);
    }
}

void Forwarder::look(Exchange &exchange, GatewayContext &context)
{
    const std::size_t answered = exchange.answered();
    const std::size_t open = exchange.openParts();
    const bool gathers = exchange.route->gathers();
    if (!gathers && answered == 1) {
        CallerReply reply;
        reply.forwarded = exchange.parts.front().reply;
        reply.status = reply.forwarded->status;
        this->finish(exchange, std::move(reply), EndReason::Complete, context);
        return;
    }
    const bool enough = gathers && exchange.covers(answered);
    if (enough && (open == 0 || context.now >= exchange.objectiveAt)) {
        const EndReason reason = answered == exchange.parts.size() ? EndReason::Complete
                : open == 0                                        ? EndReason::PartsGivenUp
                : context.now > exchange.objectiveAt + forwarding::callerWay
                ? EndReason::CoverageReached
                : EndReason::ObjectiveReached;
        this->finish(exchange, mergedReply(exchange), reason, context);
        return;
    }
    const bool hopeless = open == 0 || (gathers && !exchange.covers(answered + open));
    if (hopeless || context.now >= exchange.deadlineAt) {
        this->fail(exchange, context);
        return;
    }
    const Instant waitUntil = exchange.arrivedAt + exchange.route->objective / waitPart;
    Instant next = exchange.deadlineAt;
    if (gathers && context.now < exchange.objectiveAt) {
        next = std::min(next, exchange.objectiveAt);
    }
    bool gaveUp = false;
    for (std::size_t i = 0; i < exchange.parts.size(); ++i) {
        Part &part = exchange.parts[i];
        if (part.phase == PartPhase::Running && part.out.size() == 1) {
            if (context.now >= part.hedgeAt) {
                this->hedge(exchange, i, context);
            }
            next = std::min(next, part.hedgeAt);
        } else if (part.phase == PartPhase::Waiting && part.loanUntil != Instant::min()) {
            if (context.now >= part.loanUntil) {
                part.phase = PartPhase::Given;
                gaveUp = true;
            } else {
                next = std::min(next, part.loanUntil);
            }
        } else if (part.phase == PartPhase::Waiting) {
            if (context.now >= waitUntil && !(gathers && exchange.mayHaveRun())) {
                part.phase = PartPhase::Given;
                gaveUp = true;
            } else {
                next = std::min(next, std::max(waitUntil, context.now + Duration(1000)));
            }
        }
    }
    if (gaveUp) {
        this->look(exchange, context);
        return;
    }
    if (next < exchange.lookAt || exchange.lookAt <= context.now) {
        exchange.lookAt = next;
        this->timers.push({next, TimerKind::Exchange, exchange.id.value});
    }
}

} // namespace lagoondeck
