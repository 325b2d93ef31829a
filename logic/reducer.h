#pragma once

#include "core/settings.h"
#include "logic/admission/admission.h"
#include "logic/catalogue/catalogue.h"
#include "logic/catalogue/catalogue_sync.h"
#include "logic/claims/claims.h"
#include "logic/context.h"
#include "logic/effects.h"
#include "logic/events.h"
#include "logic/fanout/query_engine.h"
#include "logic/membership/membership.h"
#include "logic/node_status.h"
#include "logic/policy.h"
#include "logic/quarantine/quarantine.h"
#include "logic/selection/target_table.h"
#include "logic/shares/demand_meter.h"
#include "logic/shares/shares.h"

#include <optional>
#include <vector>

namespace lagoondeck {

/// Makes all decisions of one entry instance.
///
/// Its only inputs are the events of logic/events.h and its only outputs are the effects of
/// logic/effects.h. The reducer reads no clock, does no I/O and starts no thread, so a run can be
/// replayed from its seed and its events.
class Reducer
{
public:
    Reducer(const Settings &settings, Policy policy);

    /// Applies one event and returns the effects to execute. Throws InvariantViolation when an
    /// invariant is violated.
    std::vector<Effect> apply(const Event &event);

    NodeStatus status() const;
    /// Whether this instance has a catalogue and accepts callers.
    bool isReady() const;
    bool isStopping() const { return this->stopPhase != StopPhase::Serving; }

private:
    // One handler for each type of event.
    void on(const ProcessStarted &event, Context &context);
    void on(const CallerRequest &event, Context &context);
    void on(const CallerGone &event, Context &context);
    void on(const TargetReplied &event, Context &context);
    void on(const ConnectionOpened &event, Context &context);
    void on(const ConnectionClosed &event, Context &context);
    void on(const TargetHealth &event, Context &context);
    void on(const CancelConfirmed &event, Context &context);
    void on(const TimerFired &event, Context &context);
    void on(const InstancesListed &event, Context &context);
    void on(const PeerMessageReceived &event, Context &context);
    void on(const StoreReplied &event, Context &context);
    void on(const StopRequested &event, Context &context);

    /// Returns why a request is rejected before any limit is checked, or nullopt.
    std::optional<FailureReason> rejectionReason(const CallerRequest &request, WallTime wall) const;
    void fillGossip(proto::PeerMessage &message) const;
    void refuse(const CallerRequest &request, Refusal refusal, Context &context);
    /// Runs an admitted request, unless quarantine makes it wait or refuses it.
    void runAdmitted(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt,
                     Context &context);
    void answerNotRun(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt,
                      FailureReason reason, Context &context);
    /// Runs or refuses the requests whose wait for a canary has ended.
    void resumeCanaryWaits(Context &context);
    /// Starts the requests whose claim was acquired during this event, and answers those whose
    /// claim was refused.
    void processClaimResults(Context &context);
    /// Passes the effects from index `first` on to the components that track them.
    void handleEffects(Context &context, std::size_t first);
    void exchangeShares(Context &context);
    void completeStopIfIdle(Context &context);

    enum class StopPhase {
        Serving,
        Announced, ///< Reports not ready, but still accepts requests.
        Draining,  ///< Rejects new requests and completes those in flight.
        Done,
    };

    Settings settings;
    Policy policy;
    RandomEngine random;
    IdSource ids;
    StopPhase stopPhase = StopPhase::Serving;
    Instant drainAt {};
    Catalogue catalogue;
    Membership membership;
    CatalogueSync catalogueSync;
    Shares shares;
    DemandMeter demand;
    TargetTable targets;
    Admission admission;
    QueryEngine engine;
    Claims claims;
    Quarantine quarantine;
};

} // namespace lagoondeck
