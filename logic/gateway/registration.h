#pragma once

#include "core/gateway_settings.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <optional>

namespace lagoondeck {

/// Keeps this instance registered in the store under a lease, so that the other instances can count
/// it.
class Registration
{
public:
    explicit Registration(const GatewaySettings &settings);

    void start(GatewayContext &context);
    void onAnswer(const StoreAnswered &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Called with the newest history of the store that is known. A lease of an earlier history is
    /// void: the restored store may have lost it or given its number to another instance.
    void onHistory(std::uint64_t history, GatewayContext &context);
    /// Called with whether the store lists this instance as a member.
    void onListed(bool listed, GatewayContext &context);
    /// Ends the lease because this instance stops.
    void withdraw(GatewayContext &context);
    Instant nextTimer() const;

private:
    enum class Step { Grant, Register, Renew, Withdrawn };

    void call(StoreCallBody body, GatewayContext &context);
    void sendNextCall(GatewayContext &context);

    MemberRecord self;
    Duration timeToLive;
    Step step = Step::Grant;
    std::uint64_t lease = 0;
    /// The store's history in which the lease was granted.
    std::uint64_t leaseHistory = 0;
    Instant registeredAt {};
    std::optional<StoreOpId> operation;
    Instant nextCallAt {};
};

} // namespace lagoondeck
