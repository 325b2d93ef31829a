// The part of Forwarder that ends exchanges: decides when and with what callers are answered.

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/forwarding_constants.h"
#include "logic/gateway/record_merge.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr int minErrorStatus = 400;
/// How many median latencies to wait for the replies that an answered exchange no longer needs,
/// which keeps their connections usable. A target that takes longer is overloaded or stalled, and
/// closing the connection frees its slot.
constexpr int losingAttemptMedianFactor = 2;
/// Longer replies are not sent to the member that delegated the request: the messages between
/// members are limited.
constexpr std::size_t maxDelegatedReply = 3 * 1024 * 1024;
/// While a delegated request is served past its objective, the member that delegated it gets a
/// receipt this often.
constexpr Duration receiptInterval = std::chrono::milliseconds(100);

} // namespace

void Forwarder::detachAttempts(Exchange &exchange, Instant closeAt, GatewayContext &)
{
    for (Part &part : exchange.parts) {
        for (const AttemptId id : part.runningAttempts) {
            GatewayAttempt &attempt = this->attempts.at(id);
            attempt.exchange.reset();
            if (closeAt < attempt.closeAt) {
                attempt.closeAt = closeAt;
                this->timers.push({closeAt, TimerKind::Attempt, id.value});
            }
        }
        part.runningAttempts.clear();
    }
}

ExchangeEnd Forwarder::makeExchangeEnd(const Exchange &exchange, EndReason reason, int status,
                                       Instant now) const
{
    ExchangeEnd end;
    end.route = exchange.route->name;
    end.reason = reason;
    end.elapsed = now - exchange.arrivedAt;
    end.partsNeeded = exchange.parts.size();
    end.partsAnswered = exchange.answeredPartCount();
    if (reason == EndReason::CallerLeft) {
        end.outcome = ExchangeOutcome::CallerLeft;
    } else if (status == forwarding::statusUnavailable && end.partsAnswered == 0) {
        end.outcome = ExchangeOutcome::Refused;
    } else if (status >= minErrorStatus) {
        end.outcome = ExchangeOutcome::Failed;
    } else if (now > exchange.lateAt) {
        end.outcome = ExchangeOutcome::Late;
    } else if (end.partsAnswered < end.partsNeeded) {
        end.outcome = ExchangeOutcome::Partial;
    }
    return end;
}

void Forwarder::finish(Exchange &exchange, CallerReply reply, EndReason reason,
                       GatewayContext &context)
{
    this->updateCrashTracker(exchange, context);
    if (exchange.origin && reply.forwarded != nullptr
        && reply.forwarded->body.size() > maxDelegatedReply) {
        reply = CallerReply();
        reply.status = forwarding::statusBadGateway;
        reply.detail = "the target's reply is too long for another instance's caller; it has run";
    }
    ExchangeEnd end = this->makeExchangeEnd(exchange, reason, reply.status, context.now);
    // The caller's answer comes first, because the other effects take time.
    if (exchange.origin) {
        context.emit(SendDelegatedAnswer {exchange.origin->address,
                                          {exchange.origin->number, exchange.request->requestId,
                                           std::move(reply), exchange.config->version,
                                           exchange.leavingTargets}});
    } else {
        context.emit(AnswerExchange {exchange.id, std::move(reply), end});
    }
    logExchangeEnd(*exchange.request, end, &exchange, this->sampleOneIn, context);
    this->detachAttempts(exchange,
                         context.now + losingAttemptMedianFactor * exchange.latency->median(),
                         context);
    this->erase(exchange, context.now);
}

Duration Forwarder::retryDelayFor(const Exchange &exchange, GatewayContext &context) const
{
    // The scarcest group decides. Less urgent callers come back later, and each one at another
    // time, so that they don't meet again.
    std::chrono::duration<double> perRequest {};
    for (const Part &part : exchange.parts) {
        if (part.limitReached) {
            const double rate = this->targets.limitedRate(*part.group, context.now);
            perRequest =
                    std::max(perRequest, std::chrono::duration<double>(1.0 / std::max(rate, 1.0)));
        }
    }
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto delay = std::chrono::duration_cast<Duration>(perRequest * (exchange.urgencyRank + 1)
                                                            * spread(context.random));
    return std::max(delay, forwarding::retryAfterRefusal);
}

void Forwarder::fail(Exchange &exchange, GatewayContext &context)
{
    CallerReply reply;
    if (!exchange.route->gathers() && exchange.parts.front().failure != nullptr) {
        reply.forwarded = exchange.parts.front().failure;
        reply.status = reply.forwarded->status;
        this->finish(exchange, std::move(reply), EndReason::TargetFailed, context);
    } else if (!exchange.mayHaveRun() && std::ranges::any_of(exchange.parts, &Part::limitReached)) {
        reply.status = forwarding::statusUnavailable;
        reply.retryAfter = this->retryDelayFor(exchange, context);
        reply.detail = "not run: the targets take no more requests now";
        this->finish(exchange, std::move(reply), EndReason::TargetsLimited, context);
    } else if (!exchange.mayHaveRun() && this->leaveToMembers(exchange, context)) {
        return;
    } else if (!exchange.mayHaveRun() && context.now >= this->latestStart(exchange)) {
        this->refuseUnsent(exchange, context);
    } else if (!exchange.mayHaveRun() && std::ranges::any_of(exchange.parts, &Part::isTooLate)) {
        ++this->attemptCounts.refusedTooLate;
        reply.status = forwarding::statusUnavailable;
        reply.retryAfter = this->queueRetryDelay(exchange, context);
        reply.detail = "not run: too many requests wait for the targets";
        this->finish(exchange, std::move(reply), EndReason::QueueTooLong, context);
    } else if (!exchange.mayHaveRun()) {
        reply.status = forwarding::statusUnavailable;
        reply.retryAfter = this->queueRetryDelay(exchange, context);
        reply.detail = "not run: no target could take the request";
        this->finish(exchange, std::move(reply), EndReason::NoTarget, context);
    } else if (context.now >= exchange.deadlineAt) {
        reply.status = forwarding::statusTimeout;
        reply.detail = exchange.isCutShort
                ? "this instance stops, and no target answered before; the request may have run"
                : "the targets did not answer in time";
        this->finish(exchange, std::move(reply),
                     exchange.isCutShort ? EndReason::Stopping : EndReason::DeadlinePassed,
                     context);
    } else {
        reply.status = forwarding::statusBadGateway;
        reply.detail = "the targets failed";
        this->finish(exchange, std::move(reply), EndReason::TargetsFailed, context);
    }
}

void Forwarder::sendReceipt(Exchange &exchange, GatewayContext &context)
{
    exchange.permittedUntil =
            std::max(exchange.permittedUntil,
                     context.now + forwarding::receiptTimeout - forwarding::receiptDelay);
    context.emit(SendReceipt {exchange.origin->address,
                              {exchange.origin->number, DelegationState::Accepted}});
}

void Forwarder::advance(ExchangeId id, GatewayContext &context)
{
    Exchange *exchange = this->find(id);
    if (exchange != nullptr && !this->dropUnpermitted(*exchange, context)) {
        this->advanceExchange(*exchange, context);
    }
}

void Forwarder::advanceExchange(Exchange &exchange, GatewayContext &context)
{
    const std::size_t answered = exchange.answeredPartCount();
    const std::size_t openParts = exchange.openPartCount();
    const bool gathers = exchange.route->gathers();
    if (!gathers && answered == 1) {
        CallerReply reply;
        reply.forwarded = exchange.parts.front().reply;
        reply.status = reply.forwarded->status;
        this->finish(exchange, std::move(reply), EndReason::Complete, context);
        return;
    }
    const bool coverageReached = gathers && exchange.meetsMinimumCoverage(answered);
    if (coverageReached && (openParts == 0 || context.now >= exchange.objectiveAt)) {
        const EndReason reason = answered == exchange.parts.size() ? EndReason::Complete
                : openParts == 0                                   ? EndReason::PartsAbandoned
                : context.now > exchange.lateAt                    ? EndReason::CoverageReached
                                                                   : EndReason::ObjectiveReached;
        this->finish(exchange, mergedReply(exchange), reason, context);
        return;
    }
    const bool cannotSucceed =
            openParts == 0 || (gathers && !exchange.meetsMinimumCoverage(answered + openParts));
    if (cannotSucceed || context.now >= exchange.deadlineAt) {
        this->fail(exchange, context);
        return;
    }
    const Instant queueDeadline = this->queueDeadline(exchange);
    Instant next = exchange.deadlineAt;
    if (gathers && context.now < exchange.objectiveAt) {
        next = std::min(next, exchange.objectiveAt);
    }
    if (context.now >= exchange.nextReceiptAt) {
        exchange.nextReceiptAt = context.now + receiptInterval;
        this->sendReceipt(exchange, context);
    }
    next = std::min(next, exchange.nextReceiptAt);
    bool partAbandoned = false;
    for (std::size_t i = 0; i < exchange.parts.size(); ++i) {
        Part &part = exchange.parts[i];
        if (part.phase == PartPhase::Running && part.runningAttempts.size() == 1) {
            if (context.now >= part.hedgeAt) {
                this->hedge(exchange, i, context);
            }
            next = std::min(next, part.hedgeAt);
        } else if (part.phase == PartPhase::Borrowing) {
            if (context.now >= part.limitLoanDeadline) {
                this->dispatchAgain(exchange, i, context);
                partAbandoned = partAbandoned || part.phase == PartPhase::Abandoned;
            }
            next = std::min(next, std::max(part.limitLoanDeadline, context.now + Duration(1000)));
        } else if (part.phase == PartPhase::Waiting && part.loanDeadline != Instant::min()) {
            if (context.now >= part.loanDeadline) {
                this->removeQueued(exchange, i, context.now);
                part.phase = PartPhase::Abandoned;
                partAbandoned = true;
            } else {
                next = std::min(next, part.loanDeadline);
            }
        } else if (part.phase == PartPhase::Waiting) {
            if (context.now >= queueDeadline && !(gathers && exchange.mayHaveRun())) {
                this->removeQueued(exchange, i, context.now);
                part.phase = PartPhase::Abandoned;
                part.queueTimePassed = true;
                partAbandoned = true;
            } else {
                next = std::min(next, std::max(queueDeadline, context.now + Duration(1000)));
            }
        }
    }
    if (partAbandoned) {
        this->advanceExchange(exchange, context);
        return;
    }
    if (next < exchange.nextCheckAt || exchange.nextCheckAt <= context.now) {
        exchange.nextCheckAt = next;
        this->timers.push({next, TimerKind::Exchange, exchange.id.value});
    }
}

} // namespace lagoondeck
