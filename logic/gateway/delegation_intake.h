#pragma once

#include "logic/gateway/admitted_request.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/route_table.h"

#include <cstdint>
#include <optional>

namespace lagoondeck {

/// What decides whether this instance can serve requests of other members.
struct IntakeConditions
{
    /// Null while no configuration is known.
    const RouteTable *routes = nullptr;
    bool isStopping = false;
    /// Whether this instance reaches the targets.
    bool reachesTargets = true;
};

/// Takes or declines the requests that members delegate to this instance.
class DelegationIntake
{
public:
    /// `partsPerSecond` is how many parts this instance sends per second for other members.
    explicit DelegationIntake(std::uint32_t partsPerSecond);

    /// Replies to a member's inquiry.
    void reply(const InquiryReceived &event, const IntakeConditions &conditions,
               GatewayContext &context);
    /// Returns a member's request for being served, or declines it.
    std::optional<AdmittedRequest> take(const RequestDelegated &event,
                                        const IntakeConditions &conditions,
                                        GatewayContext &context);
    std::uint64_t takenCount() const { return this->taken; }

private:
    /// Returns whether this instance takes a request now.
    DelegationState stateFor(std::uint64_t minConfigVersion, const IntakeConditions &conditions,
                             Instant now);
    void refillCapacity(Instant now);

    std::uint32_t partsPerSecond;
    /// How many parts may start now.
    double availableParts = 0.0;
    Instant refilledAt {};
    std::uint64_t taken = 0;
};

} // namespace lagoondeck
