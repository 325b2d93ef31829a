#pragma once

#include "core/gateway_settings.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/registration.h"
#include "logic/gateway/target_book.h"
#include "logic/gateway/world_sync.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lagoondeck {

/// What a gateway believes now, for operators.
struct GatewayStatus
{
    bool ready = false;
    bool stopping = false;
    std::uint64_t configVersion = 0;
    std::size_t targets = 0;
    std::size_t members = 0;
    std::size_t exchanges = 0;
    std::size_t attempts = 0;
    bool storeAway = false;
    /// How old the last word of the store is.
    Duration beliefAge {};
    ForwarderCounts counts;
};

/// All decisions of an entry instance that forwards HTTP by routes.
///
/// Every event of gateway_events.h goes in and every effect of gateway_effects.h comes out. It
/// reads no clock and does no I/O, so that a run is replayed by its seed and its events.
class Gateway
{
public:
    explicit Gateway(const GatewaySettings &settings);

    std::vector<GatewayEffect> apply(const GatewayEvent &event, Instant now);

    /// When TimerDue is to come next.
    Instant nextTimer() const;
    /// The balancer may send callers here.
    bool ready() const { return this->sync.ready() && !this->stopping; }
    bool idle() const { return this->forwarder.exchangesInFlight() == 0; }
    /// What callers may send; the defaults until a configuration is known.
    CallerLimits limits() const;
    GatewayStatus status(Instant now) const;

private:
    void on(const GatewayStarted &event, GatewayContext &context);
    void on(const RequestArrived &event, GatewayContext &context);
    void on(const CallerLeft &event, GatewayContext &context);
    void on(const AttemptReplied &event, GatewayContext &context);
    void on(const AttemptEnded &event, GatewayContext &context);
    void on(const StoreAnswered &event, GatewayContext &context);
    void on(const WorldNewsReceived &event, GatewayContext &context);
    void on(const BudgetAsked &event, GatewayContext &context);
    void on(const BudgetLent &event, GatewayContext &context);
    void on(const CrashReported &event, GatewayContext &context);
    void on(const TimerDue &event, GatewayContext &context);
    void on(const ProcessPaused &event, GatewayContext &context);
    void on(const GatewayStopRequested &event, GatewayContext &context);
    /// Tells the members of requests that may crash targets.
    void tellCrashes(GatewayContext &context);
    /// Asks for the extra arrivals that the event wanted and the own budgets don't hold.
    void askForBudget(GatewayContext &context);
    /// Divides what the fleet shares by the number of members.
    void countInstances(Instant now);

    GatewaySettings settings;
    RandomEngine random;
    IdSource ids;
    Instant startedAt {};
    bool stopping = false;
    TargetBook book;
    WorldSync sync;
    Registration registration;
    Forwarder forwarder;
};

} // namespace lagoondeck
