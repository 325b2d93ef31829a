#include "logic/gateway/registration.h"

#include "logic/gateway/coordinator_capacity.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lagoondeck {

namespace {

/// An instance that ended without withdrawing its registration is removed after this long.
constexpr Duration leaseDuration = std::chrono::seconds(12);
/// With this interval two renewals in a row may be lost before the lease expires.
constexpr Duration renewInterval = std::chrono::seconds(4);
constexpr Duration retryInterval = std::chrono::seconds(1);
constexpr Duration callTimeout = std::chrono::seconds(1);
/// After a restore all members register again, spread over this time. The other members count an
/// instance for longer than this without its registration.
constexpr Duration maxRegistrationSpread = std::chrono::seconds(1);

} // namespace

Registration::Registration(const GatewaySettings &settings)
    : self {settings.id, settings.peerAddress, settings.failureDomain,
            coordinatorCapacity(settings), true},
      timeToLive(std::max(leaseDuration, settings.minLease))
{ }

void Registration::start(GatewayContext &context)
{
    this->nextCallAt = context.now;
    this->sendNextCall(context);
}

void Registration::call(StoreCallBody body, GatewayContext &context)
{
    this->operation = context.ids.next<StoreOpId>();
    context.emit(CallStore {*this->operation, std::move(body), callTimeout, callTimeout});
}

void Registration::sendNextCall(GatewayContext &context)
{
    switch (this->step) {
    case Step::Grant:
        this->call(GrantLease {this->timeToLive}, context);
        break;
    case Step::Register:
        this->call(RegisterMember {this->self, this->lease}, context);
        break;
    case Step::Renew:
        this->call(RenewLease {this->lease}, context);
        break;
    case Step::Withdrawn:
        break;
    }
}

void Registration::onAnswer(const StoreAnswered &event, GatewayContext &context)
{
    if (event.operation != this->operation) {
        return;
    }
    this->operation.reset();
    if (this->step == Step::Withdrawn) {
        return;
    }
    if (event.answer.status == StoreCallStatus::NotFound) {
        // The lease has expired.
        this->step = Step::Grant;
    } else if (event.answer.status != StoreCallStatus::Done) {
        this->nextCallAt = context.now + retryInterval;
        return;
    } else if (this->step == Step::Grant) {
        this->lease = event.answer.lease;
        this->leaseHistory = event.answer.history;
        this->step = Step::Register;
    } else if (event.answer.history > this->leaseHistory) {
        this->onHistory(event.answer.history, context);
        return;
    } else {
        this->registeredAt = this->step == Step::Register ? context.now : this->registeredAt;
        this->step = Step::Renew;
        this->nextCallAt = context.now + renewInterval;
        return;
    }
    this->sendNextCall(context);
}

void Registration::onTimer(GatewayContext &context)
{
    if (!this->operation && context.now >= this->nextCallAt) {
        this->nextCallAt = Instant::max();
        this->sendNextCall(context);
    }
}

void Registration::onHistory(std::uint64_t history, GatewayContext &context)
{
    const bool hasLease = this->step == Step::Register || this->step == Step::Renew;
    if (!hasLease || history <= this->leaseHistory) {
        return;
    }
    this->step = Step::Grant;
    this->operation.reset();
    std::uniform_int_distribution<Duration::rep> spread(0, maxRegistrationSpread.count());
    this->nextCallAt = context.now + Duration(spread(context.random));
}

void Registration::onListed(bool listed, GatewayContext &context)
{
    // The list may be older than the registration by a renewal or two.
    if (!listed && this->step == Step::Renew && !this->operation
        && context.now - this->registeredAt > renewInterval) {
        this->step = Step::Register;
        this->registeredAt = context.now;
        this->nextCallAt = context.now;
    }
}

void Registration::withdraw(GatewayContext &context)
{
    const bool hasLease = this->step == Step::Renew || this->step == Step::Register;
    this->step = Step::Withdrawn;
    if (hasLease) {
        this->call(EndLease {this->lease}, context);
    }
}

Instant Registration::nextTimer() const
{
    return this->operation || this->step == Step::Withdrawn ? Instant::max() : this->nextCallAt;
}

} // namespace lagoondeck
