#pragma once

#include "logic/gateway/admitted_request.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/route_table.h"

#include <cstdint>
#include <optional>

namespace lagoondeck {

/// Takes or declines the queries that members delegate to this instance.
class DelegationIntake
{
public:
    /// `partsPerSecond` is how many parts this instance coordinates per second.
    explicit DelegationIntake(std::uint32_t partsPerSecond);

    /// Replies to a member's inquiry. `routes` is null while no configuration is known.
    void reply(const InquiryReceived &event, const RouteTable *routes, bool stopping,
               GatewayContext &context);
    /// Returns a member's query for being served, or declines it.
    std::optional<AdmittedRequest> take(const RequestDelegated &event, const RouteTable *routes,
                                        bool stopping, GatewayContext &context);
    std::uint64_t takenCount() const { return this->taken; }

private:
    /// Returns whether this instance coordinates queries now.
    DelegationState stateFor(std::uint64_t minConfigVersion, const RouteTable *routes,
                             bool stopping, Instant now);
    void refillCapacity(Instant now);

    std::uint32_t partsPerSecond;
    /// How many parts may start now.
    double availableParts = 0.0;
    Instant refilledAt {};
    std::uint64_t taken = 0;
};

} // namespace lagoondeck
