#pragma once

#include "logic/gateway/budget_loans.h"
#include "logic/gateway/crash_tracker.h"
#include "logic/gateway/delay_estimate.h"
#include "logic/gateway/exchange.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/split_choice.h"
#include "logic/gateway/target_path.h"
#include "logic/gateway/target_registry.h"
#include "logic/workload/group_queue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Counts of attempts by cause since the process started.
struct ForwarderCounts
{
    /// First attempts of a part.
    std::uint64_t first = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Attempts that were not sent at once because the retry budget was spent.
    std::uint64_t withoutBudget = 0;
    /// Requests that were refused because they could not be sent in time, or too many waited.
    std::uint64_t refusedTooLate = 0;

    // How attempts ended.

    std::uint64_t replied = 0;
    /// No connection could be made.
    std::uint64_t unreachable = 0;
    /// The connection broke.
    std::uint64_t lost = 0;
    /// The received bytes were not a reply.
    std::uint64_t malformed = 0;
    /// Closed by this instance before a reply arrived.
    std::uint64_t closed = 0;
};

/// Forwards callers' requests to targets: chooses targets, queues requests, sends retries and
/// hedges, and answers the callers.
class Forwarder
{
public:
    /// Of the requests that end as Served, one in `sampleOneIn` is logged; 0 logs none.
    Forwarder(TargetRegistry &targets, TargetPath &path, RetryAllowance allowance,
              std::uint64_t sampleOneIn);

    /// Checks whether a caller's request may be served, and answers it if not. `storeDataAge` is
    /// the age of the latest data from the store.
    std::optional<AdmittedRequest> admit(const RequestArrived &event, const RouteTable &routes,
                                         Duration storeDataAge, GatewayContext &context);
    /// Starts serving a request.
    void start(AdmittedRequest request, GatewayContext &context);
    void onReply(const AttemptReplied &event, GatewayContext &context);
    void onEnded(const AttemptEnded &event, GatewayContext &context);
    /// Called when the caller closed its connection before it got an answer.
    void onCallerLeft(ExchangeId id, GatewayContext &context);
    /// Called when a member no longer needs the answer to a request that it delegated.
    void onDelegationCancelled(const DelegationCancelled &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Called when an answer was written to its caller's connection.
    void onAnswerWritten(const AnswerWritten &event, GatewayContext &context);
    /// Called when a member lends extra arrivals. Sends the attempts that waited for them.
    void onLoan(const BudgetLent &event, GatewayContext &context);

    /// Called when a member lends requests at limited targets, or refuses to. Sends the attempts
    /// that waited for them.
    void onLimitLent(const LimitLent &event, GatewayContext &context);

    /// Returns when onTimer() must be called next.
    Instant nextTimer() const;
    std::size_t exchangesInFlight() const { return this->exchanges.size(); }
    std::size_t attemptsInFlight() const { return this->attempts.size(); }
    const ForwarderCounts &counts() const { return this->attemptCounts; }
    /// Returns how many parts wait for a target, by the urgency rank of their requests.
    std::map<std::uint32_t, std::size_t> waitingByRank() const;
    /// Returns how many parts were sent before their turn so that their account and priority were
    /// not starved.
    std::uint64_t sentByGuarantee() const;
    /// Called when this instance or a member observed a request that may crash targets.
    void onCrash(const CrashObservation &observation, GatewayContext &context);
    /// Called when a member or the store tells of a request that crashed targets earlier. The
    /// source is logged.
    void onSuspect(const SuspectRequest &suspect, const std::string &source,
                   GatewayContext &context);
    /// Returns the requests that targets answered since the last call, and that had crashed targets
    /// before.
    std::vector<Fingerprint> takeClearedSuspects()
    {
        return std::exchange(this->clearedSuspects, {});
    }
    /// Returns the crashes that this instance confirmed since the last call, to be reported to the
    /// other members.
    std::vector<CrashObservation> takeNewCrashes() { return std::exchange(this->newCrashes, {}); }
    /// The requests that are quarantined or may crash targets.
    CrashTracker &crashTracker() { return this->trackedCrashes; }
    /// The loan requests of this instance.
    BudgetLoans &loans() { return this->budgetLoans; }
    /// Called after this process was paused: replies may have waited unread.
    void onPaused(Instant now) { this->silentSince = now; }
    /// Called when this instance's path to the targets is down.
    void onPathBroken(GatewayContext &context);
    /// Abandons the waiting parts of groups that have no replica in use any more.
    void abandonUnservable(GatewayContext &context);
    /// Closes the attempts that run on connections which fell silent, so that they are tried again
    /// on new ones.
    void closeSilentAttempts(GatewayContext &context);
    /// Returns the requests that this instance can't send to targets itself. Nothing was sent for
    /// them.
    std::vector<AdmittedRequest> takeStranded() { return std::exchange(this->stranded, {}); }
    /// Returns the time that a request of the route takes at most, as far as is known.
    Duration timeNeeded(const Route &route);
    /// Called when this instance is asked to stop: all requests must be answered by the given time.
    void onStopping(Instant answersDueAt);
    /// Refuses a request that can't be answered before this instance ends.
    void refuseStopping(const AdmittedRequest &request, GatewayContext &context);
    /// Refuses a request for which there is no path to the targets.
    void refuseWithoutPath(const AdmittedRequest &request, GatewayContext &context);

private:
    enum class TimerKind { Exchange, Attempt, Silence, PathBroken, Crashes };
    struct Timer
    {
        Instant at {};
        TimerKind kind = TimerKind::Exchange;
        /// The number of the exchange or attempt; 0 for the others.
        std::uint64_t id = 0;

        bool operator>(const Timer &other) const { return this->at > other.at; }
    };
    Exchange *find(ExchangeId id);
    LatencyModel &latencyOf(const Route &route);

    /// Returns how much later than planned this instance sends an answer.
    Duration ownDelay(Instant now) const;
    /// Drops a delegated exchange that is served elsewhere by now, for example because this process
    /// was paused. Returns false if it is still permitted.
    bool dropUnpermitted(const Exchange &exchange, GatewayContext &context);
    /// Updates the limit of the attempt's target from its reply.
    void updateLimit(const GatewayAttempt &attempt, const ForwardedReply &reply,
                     GatewayContext &context);
    /// Removes an exchange that has ended.
    void erase(Exchange &exchange, Instant now);

    // Sending attempts.

    /// Sends the part's next attempt, queues the part or abandons it.
    void dispatch(Exchange &exchange, std::size_t index, TraceKind kind, GatewayContext &context);
    void sendTo(Exchange &exchange, std::size_t index, TargetNode &target, TraceKind kind,
                GatewayContext &context);
    /// Sends a second attempt of the part to an idle replica, if the budget allows.
    void hedge(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Called after an attempt failed. Sends another one or abandons the part.
    void retry(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Queues a part until a replica has capacity. Gives up what can't be sent in time, which may
    /// be the part itself.
    void enqueue(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Removes a part that is not sent from its queue, if it is queued.
    void removeQueued(Exchange &exchange, std::size_t index, Instant now);
    /// Gives up the queued parts that can't be sent in time.
    void abandonLate(TargetGroup &group, GatewayContext &context);
    void markLate(Exchange &exchange, std::size_t index, const LatePart &late,
                  GatewayContext &context);
    /// Refuses a gathered exchange if its parts that can't be sent in time make the minimum
    /// coverage impossible. Nothing has been sent for it.
    bool refuseLate(Exchange &exchange, GatewayContext &context);
    /// Returns until when a queued part of the exchange is sent.
    Instant startBy(const Exchange &exchange);
    /// Lets the queued parts of a gathered exchange wait longer, because something was sent for it.
    void extendQueueTimes(const Exchange &exchange);
    /// Returns until when the exchange waits in queues if nothing was sent for it.
    Instant queueDeadline(const Exchange &exchange);
    /// Returns when the queues that the exchange left without being sent will have drained.
    Duration queueRetryDelay(const Exchange &exchange, GatewayContext &context) const;
    /// Sends queued parts as long as the group's replicas have capacity.
    void sendWaitingParts(TargetGroup &group, GatewayContext &context);
    /// Returns when an attempt sent now should be hedged; Instant::max() for never.
    Instant hedgeTimeFor(const Exchange &exchange, Instant now) const;
    /// Requests an extra arrival from another member and lets the part wait for it. Each part
    /// requests only one loan.
    void requestBudgetLoan(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Dispatches a part that has waited for a loan.
    void dispatchAgain(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Requests one request at a limited replica from another member and lets the part wait for it.
    void awaitLoan(Exchange &exchange, std::size_t index, const TargetNode &target,
                   GatewayContext &context);
    /// Gives up a part because the limits of its replicas leave no request.
    void withhold(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Refuses a gathered exchange that can't reach its minimum coverage because of limits or
    /// pauses. Nothing has been sent for it.
    bool refuseRestricted(Exchange &exchange, GatewayContext &context);
    /// Refuses an exchange for which nothing was sent, because this instance ends.
    void refuseUnsent(Exchange &exchange, GatewayContext &context);
    /// Returns until when an attempt may start, because later ones would not end in time.
    Instant latestStart(const Exchange &exchange);
    /// Returns true if the other parts can reach the minimum coverage without this one.
    bool isDispensable(const Exchange &exchange, const Part &part) const;

    // Ending exchanges.

    /// Advances the exchange unless it has already ended.
    void advance(ExchangeId id, GatewayContext &context);
    /// Answers the exchange if there is no reason to wait any longer. Otherwise sends due hedges,
    /// abandons parts that waited too long and sets the next timer.
    void advanceExchange(Exchange &exchange, GatewayContext &context);
    /// Sends the answer to the caller and removes the exchange.
    void finish(Exchange &exchange, CallerReply reply, EndReason reason, GatewayContext &context);
    /// Tells the member that delegated the request that it is still being served.
    void sendReceipt(Exchange &exchange, GatewayContext &context);
    /// Returns after how long a request that the limits of targets refused may be sent again.
    Duration retryDelayFor(const Exchange &exchange, GatewayContext &context) const;
    /// Answers the exchange with the error that fits what its attempts did.
    void fail(Exchange &exchange, GatewayContext &context);
    /// Reports the request if it crashed its targets; clears it if a target answered it.
    void updateCrashTracker(const Exchange &exchange, GatewayContext &context);
    /// Confirms the observed crashes if the path to the targets has worked since.
    void confirmCrashes(GatewayContext &context);
    /// Takes back the crashes that are not confirmed: the connections broke with the path.
    void retractCrashes();
    /// Refuses a quarantined request. Returns false if the request may run.
    bool refuseQuarantined(ExchangeId id, const ForwardedRequest &request, GatewayContext &context);
    ExchangeEnd makeExchangeEnd(const Exchange &exchange, EndReason reason, int status,
                                Instant now) const;
    /// Separates running attempts from their ending exchange. Their connections are closed at
    /// `closeAt` unless the targets reply earlier.
    void detachAttempts(Exchange &exchange, Instant closeAt, GatewayContext &context);
    /// Removes an attempt that has ended and updates its target's statistics.
    GatewayAttempt removeAttempt(AttemptId id, TargetOutcome outcome, GatewayContext &context);
    /// Closes the attempt's connection if its closing time has passed without a reply.
    void closeOverdueAttempt(AttemptId id, GatewayContext &context);

    // Observing the network path to the targets (forwarder_path.cpp).

    /// Records how an attempt ended.
    void observeEnd(AttemptEndKind kind, const GatewayAttempt &attempt, GatewayContext &context);
    /// Looks for lost failure domains if the path works.
    void findLostDomains(GatewayContext &context);
    void observeReply(const AttemptReplied &event, GatewayContext &context);
    /// Sets the timer for observeSilence() unless it is set.
    void scheduleSilenceCheck(Instant at);
    /// Records the targets whose replies are overdue if no target has replied for a while.
    void observeSilence(GatewayContext &context);

    /// Ends the exchanges that can't be completed because the path to the targets is down.
    void endStranded(GatewayContext &context);
    /// Leaves an exchange for which nothing was sent to another member. Returns false if that is
    /// not possible.
    bool leaveToMembers(Exchange &exchange, GatewayContext &context);
    /// Refuses a request for which nothing was sent.
    void refuse(const AdmittedRequest &request, EndReason reason, Duration retryAfter,
                std::string detail, GatewayContext &context);

    TargetRegistry &targets;
    TargetPath &path;
    RetryAllowance allowance;
    std::uint64_t sampleOneIn;
    ForwarderCounts attemptCounts;
    SplitChoice splitChoice;
    /// By route name.
    std::unordered_map<std::string, std::unique_ptr<LatencyModel>> latencies;
    std::unordered_map<ExchangeId, Exchange> exchanges;
    /// The exchanges of requests that members delegated, by member and the member's number.
    std::map<std::pair<InstanceId, std::uint64_t>, ExchangeId> delegatedExchanges;
    std::unordered_map<AttemptId, GatewayAttempt> attempts;
    /// Parts that wait for a replica with capacity.
    std::unordered_map<GroupName, GroupQueue> waitingParts;
    /// Parts that wait for a budget loan.
    std::unordered_map<GroupName, std::deque<WaitingPart>> partsAwaitingLoan;
    /// Parts that wait for a loan of a request at a limited target, by target.
    std::unordered_map<TargetId, std::vector<WaitingPart>> partsAwaitingLimit;
    BudgetLoans budgetLoans;
    CrashTracker trackedCrashes;
    /// A crash that was observed when connections broke, and when.
    struct UnconfirmedCrash
    {
        CrashObservation observation;
        Instant at {};
    };
    std::vector<UnconfirmedCrash> unconfirmedCrashes;
    std::vector<CrashObservation> newCrashes;
    std::vector<Fingerprint> clearedSuspects;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<AdmittedRequest> stranded;
    bool silenceCheckScheduled = false;
    /// Attempts that were sent earlier count as sent at this time when a silence is measured.
    Instant silentSince = Instant::min();
    /// How late timers fire.
    DelayEstimate timerDelay;
    /// How long it takes to merge and write a gathered answer.
    DelayEstimate writeDelay;
};

} // namespace lagoondeck
