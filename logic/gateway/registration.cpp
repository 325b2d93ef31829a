#include "logic/gateway/registration.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// An instance that ended without a word is forgotten after this long.
constexpr Duration leaseTime = std::chrono::seconds(12);
/// Two renewals may be lost.
constexpr Duration renewInterval = std::chrono::seconds(4);
constexpr Duration retryInterval = std::chrono::seconds(1);
constexpr Duration callTimeout = std::chrono::seconds(1);

} // namespace

Registration::Registration(const GatewaySettings &settings)
    : self {settings.id, settings.peerAddress},
      timeToLive(std::max(leaseTime, settings.shortestLease))
{ }

void Registration::start(GatewayContext &context)
{
    this->actAt = context.now;
    this->act(context);
}

void Registration::call(StoreCallBody body, GatewayContext &context)
{
    this->operation = context.ids.next<StoreOpId>();
    context.emit(CallStore {*this->operation, std::move(body), callTimeout});
}

void Registration::act(GatewayContext &context)
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
    if (event.answer.verdict == StoreVerdict::NotFound) {
        // The lease has ended.
        this->step = Step::Grant;
    } else if (event.answer.verdict != StoreVerdict::Done) {
        this->actAt = context.now + retryInterval;
        return;
    } else if (this->step == Step::Grant) {
        this->lease = event.answer.lease;
        this->step = Step::Register;
    } else {
        this->step = Step::Renew;
        this->actAt = context.now + renewInterval;
        return;
    }
    this->act(context);
}

void Registration::onTimer(GatewayContext &context)
{
    if (!this->operation && context.now >= this->actAt) {
        this->actAt = Instant::max();
        this->act(context);
    }
}

void Registration::withdraw(GatewayContext &context)
{
    const bool held = this->step == Step::Renew || this->step == Step::Register;
    this->step = Step::Withdrawn;
    if (held) {
        this->call(EndLease {this->lease}, context);
    }
}

Instant Registration::nextTimer() const
{
    return this->operation || this->step == Step::Withdrawn ? Instant::max() : this->actAt;
}

} // namespace lagoondeck
