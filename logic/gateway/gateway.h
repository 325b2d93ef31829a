#pragma once

#include "core/gateway_settings.h"
#include "logic/accounts/account_caps.h"
#include "logic/accounts/config_confirmation.h"
#include "logic/gateway/coordinator_ranking.h"
#include "logic/gateway/delegation_intake.h"
#include "logic/gateway/forwarder.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/helper_choice.h"
#include "logic/gateway/learned_state_sync.h"
#include "logic/gateway/quarantine_recorder.h"
#include "logic/gateway/query_rate.h"
#include "logic/gateway/recent_members.h"
#include "logic/gateway/registration.h"
#include "logic/gateway/request_delegator.h"
#include "logic/gateway/seen_numbers.h"
#include "logic/gateway/shutdown.h"
#include "logic/gateway/store_sync.h"
#include "logic/gateway/target_path.h"
#include "logic/gateway/target_registry.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoondeck {

/// The current state of a gateway, as it is shown to operators.
struct GatewayStatus
{
    bool ready = false;
    bool stopping = false;
    std::uint64_t configVersion = 0;
    std::size_t targets = 0;
    std::size_t members = 0;
    std::size_t exchanges = 0;
    std::size_t attempts = 0;
    bool storeUnavailable = false;
    /// How long ago the known state was last confirmed by the store or by a member that had read
    /// the store.
    Duration storeDataAge {};
    PathState path = PathState::Up;
    /// How long ago the last target replied; empty if none has.
    std::optional<Duration> targetReplyAge;
    /// The store's history; it increases each time that the store is restored from a copy.
    std::uint64_t storeHistory = 0;
    ForwarderCounts counts;
    DelegatorCounts delegation;
    /// Queries that this instance coordinated for other members.
    std::uint64_t coordinated = 0;
    bool isCoordinator = false;
    /// How many targets limit the requests that they take.
    std::size_t limitedTargets = 0;
    LimitCounts limitedAttempts;
    /// How the requests of capped accounts were decided.
    AccountUsage accountUsage;
    std::size_t evacuatedDomains = 0;
    std::size_t lostDomains = 0;
    /// How many targets are limited because they are cold.
    std::size_t coldTargets = 0;
    PlacementCounts placement;
    /// How many parts wait for a target, by the urgency rank of their requests.
    std::map<std::uint32_t, std::size_t> waitingByRank;
    std::uint64_t sentByGuarantee = 0;
};

/// Makes all decisions of an entry instance that forwards HTTP requests by routes.
///
/// It takes the events of gateway_events.h and returns the effects of gateway_effects.h. It reads
/// no clock and does no I/O, so that a run can be replayed from its seed and its events.
class Gateway
{
public:
    explicit Gateway(const GatewaySettings &settings);

    std::vector<GatewayEffect> apply(const GatewayEvent &event, Instant now);

    /// Returns when the next TimerDue event must be passed to apply().
    Instant nextTimer() const;
    /// Returns whether the load balancer may send callers to this instance.
    bool isReady() const
    {
        return this->storeSync.isReady()
                && this->configConfirmation.permits(this->storeSync.configVersion())
                && !this->shutdown.hasBegun();
    }
    bool isIdle() const
    {
        return this->forwarder.exchangesInFlight() == 0 && this->delegator.size() == 0
                && this->accountCaps.size() == 0;
    }
    /// The schedule of a requested stop.
    const Shutdown &shutdownSchedule() const { return this->shutdown; }
    /// Returns what callers may send: the defaults until a configuration is known.
    CallerLimits limits() const;
    /// Returns false until a configuration has been read.
    bool knowsConfig() const { return this->storeSync.routes() != nullptr; }
    GatewayStatus status(Instant now) const;
    /// The registered members by id, and a number that increases whenever they change.
    const std::map<std::string, MemberRecord> &members() const { return this->storeSync.members(); }
    std::uint64_t memberRevision() const { return this->storeSync.memberRevision(); }

private:
    void on(const GatewayStarted &event, GatewayContext &context);
    void on(const RequestArrived &event, GatewayContext &context);
    void on(const CallerLeft &event, GatewayContext &context);
    void on(const AnswerWritten &event, GatewayContext &context);
    void on(const AttemptReplied &event, GatewayContext &context);
    void on(const AttemptEnded &event, GatewayContext &context);
    void on(const PathProbed &event, GatewayContext &context);
    void on(const StoreAnswered &event, GatewayContext &context);
    void on(const StoreUpdateReceived &event, GatewayContext &context);
    void on(const BudgetRequested &event, GatewayContext &context);
    void on(const BudgetLent &event, GatewayContext &context);
    void on(const CrashReported &event, GatewayContext &context);
    void on(const LimitsReported &event, GatewayContext &context);
    void on(const LimitRequested &event, GatewayContext &context);
    void on(const LimitLent &event, GatewayContext &context);
    void on(const LearnedStateRequested &event, GatewayContext &context);
    void on(const LearnedStateReceived &event, GatewayContext &context);
    void on(const InquiryReceived &event, GatewayContext &context);
    void on(const OfferReceived &event, GatewayContext &context);
    void on(const RequestDelegated &event, GatewayContext &context);
    void on(const ReceiptReceived &event, GatewayContext &context);
    void on(const DelegatedAnswerReceived &event, GatewayContext &context);
    void on(const DelegationCancelled &event, GatewayContext &context);
    void on(const AccountTokensAsked &event, GatewayContext &context);
    void on(const AccountTokensGranted &event, GatewayContext &context);
    void on(const TimerDue &event, GatewayContext &context);
    void on(const ProcessPaused &event, GatewayContext &context);
    void on(const GatewayStopRequested &event, GatewayContext &context);
    /// Serves a caller's request here or at another member.
    void serve(AdmittedRequest request, GatewayContext &context);
    /// Refuses a request that arrived before this instance may admit any.
    void refuseNotReady(const RequestArrived &event, EndReason reason, const char *detail,
                        GatewayContext &context);
    /// Returns the routes, or null if this instance is not ready.
    const RouteTable *readyRoutes() const;
    /// Returns the coordinators that the known members and targets give.
    const CoordinatorRanking &ranking(Instant now);
    /// Returns true if this instance should delegate a gathered query that has arrived.
    bool shouldDelegate(Instant now);
    /// Applies a change of the path to the targets to the running requests.
    void applyPathChange(GatewayContext &context);
    /// Refuses a request that can't be answered before this instance ends. Otherwise makes sure
    /// that it is answered by then, and returns false.
    bool refuseIfTooLate(AdmittedRequest &request, GatewayContext &context);
    /// Asks other members to serve a request, or serves it if there is nobody to ask.
    void requestHelp(AdmittedRequest request, GatewayContext &context);
    /// Serves or refuses a request that no other member took.
    void startReturned(AdmittedRequest request, GatewayContext &context);
    /// Passes on the requests that are not served where they were.
    void passOnRequests(GatewayContext &context);
    IntakeConditions intakeConditions() const;
    /// Reports requests that may crash targets to other members, and records those that are refused
    /// in the store.
    void reportCrashes(GatewayContext &context);
    void recordQuarantine(Fingerprint fingerprint, GatewayContext &context);
    /// Applies the quarantines that the store lists.
    void applyQuarantines(GatewayContext &context);
    /// Tells other members of limits that targets stated to this instance.
    void reportLimits(GatewayContext &context);
    /// Requests budget loans for the extra arrivals that the event needed and that this instance's
    /// own budgets don't cover.
    void requestBudget(GatewayContext &context);
    /// Registers this instance again if the store has lost its registration.
    void checkRegistration(GatewayContext &context);
    /// Updates what depends on the members and targets that are known from the store.
    void applyStoreState(GatewayContext &context);
    /// Updates the instances among which fleet-wide limits are divided.
    void updateInstances(Instant now);

    GatewaySettings settings;
    RandomEngine random;
    IdSource ids;
    Instant startedAt {};
    Shutdown shutdown;
    TargetRegistry targets;
    TargetPath path;
    StoreSync storeSync;
    Registration registration;
    Forwarder forwarder;
    RequestDelegator delegator;
    DelegationIntake intake;
    QueryRate gatheredRate;
    CoordinatorRanking coordinatorRanking;
    Instant rankedAt {};
    /// The reports of members that were passed on.
    SeenNumbers seenReports;
    LearnedStateSync learnedState;
    ConfigConfirmation configConfirmation;
    QuarantineRecorder quarantineRecorder;
    /// The members among which fleet-wide limits are divided.
    RecentMembers recentMembers;
    HelperChoice helpers;
    AccountCaps accountCaps;
    /// The revisions of the members, targets and configuration that the ranking is computed from.
    std::array<std::uint64_t, 3> rankedRevisions {};
};

} // namespace lagoondeck
