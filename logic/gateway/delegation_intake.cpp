#include "logic/gateway/delegation_intake.h"

#include "logic/accounts/account_gate.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>
#include <chrono>

namespace lagoondeck {

namespace {

/// By how much the time on an offer may be ahead of this instance's clock. It is ahead if the
/// process has been restarted on another machine since.
constexpr Duration maxClockLead = std::chrono::milliseconds(5);
/// Capacity that was not used is kept for so long.
constexpr std::chrono::duration<double> burstTime = std::chrono::milliseconds(500);
/// Sets the ids of delegated requests apart from those of this instance's own callers.
constexpr std::uint64_t firstExchangeId = std::uint64_t(1) << 63U;

} // namespace

DelegationIntake::DelegationIntake(std::uint32_t partsPerSecond)
    : partsPerSecond(partsPerSecond) { }

void DelegationIntake::refillCapacity(Instant now)
{
    const std::chrono::duration<double> elapsed = now - this->refilledAt;
    this->availableParts = std::min(this->availableParts + elapsed.count() * this->partsPerSecond,
                                    this->partsPerSecond * burstTime.count());
    this->refilledAt = now;
}

DelegationState DelegationIntake::stateFor(std::uint64_t minConfigVersion,
                                           const IntakeConditions &conditions, Instant now)
{
    if (conditions.isStopping) {
        return DelegationState::Leaving;
    }
    if (conditions.routes == nullptr || conditions.routes->config()->version < minConfigVersion) {
        return DelegationState::Outdated;
    }
    if (!conditions.reachesTargets) {
        return DelegationState::Unreachable;
    }
    this->refillCapacity(now);
    return this->availableParts > 0.0 ? DelegationState::Accepted : DelegationState::Busy;
}

void DelegationIntake::reply(const InquiryReceived &event, const IntakeConditions &conditions,
                             GatewayContext &context)
{
    const DelegationState state =
            this->stateFor(event.inquiry.minConfigVersion, conditions, context.now);
    context.emit(SendOffer {event.sender, {event.inquiry.number, state, context.now}});
}

std::optional<AdmittedRequest> DelegationIntake::take(const RequestDelegated &event,
                                                      const IntakeConditions &conditions,
                                                      GatewayContext &context)
{
    const DelegatedRequest &query = event.query;
    DelegationState state = this->stateFor(query.minConfigVersion, conditions, context.now);
    const Route *route = nullptr;
    std::optional<IdentifiedRequest> identified;
    if (state == DelegationState::Accepted) {
        route = conditions.routes->find(query.request->host, query.request->path);
        if (route != nullptr) {
            identified = identifyDelegated(query.request, *route, conditions.routes->accounts());
        }
        if (!identified) {
            state = DelegationState::Outdated;
        } else if (context.now - query.sentAt > forwarding::maxTransitTime
                   || query.sentAt - context.now > maxClockLead) {
            state = DelegationState::Expired;
        }
    }
    if (state != DelegationState::Accepted) {
        context.emit(SendReceipt {event.sender, {query.number, state}});
        return std::nullopt;
    }
    // One request may use more than what is left; the next ones wait until it is regained.
    this->availableParts -= route->gathers() ? static_cast<double>(route->gather.size()) : 1.0;
    AdmittedRequest request;
    request.id = ExchangeId(firstExchangeId + ++this->taken);
    request.request = identified->request;
    request.account = identified->account;
    request.config = conditions.routes->config();
    request.route = route;
    request.urgencyRank = conditions.routes->urgencyRank(*route, request.account);
    request.arrivedAt = query.sentAt;
    request.objectiveAt = query.sentAt + query.objectiveLeft;
    request.lateAt = request.objectiveAt;
    request.deadlineAt = query.sentAt + query.timeLeft;
    request.origin = DelegationOrigin {event.member, event.sender, query.number};
    return request;
}

} // namespace lagoondeck
